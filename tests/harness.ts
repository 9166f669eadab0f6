/** Runs a daemon in the test's process, with stand-ins for the platform. */
import http from "node:http";
import net from "node:net";
import type { AddressInfo } from "node:net";
import { once } from "node:events";
import { RECORD_VERSION, SHARDS_PER_CELL } from "../src/constants.ts";
import { createDaemonKernel } from "../src/daemon/wiring/mod.ts";
import type { Kernel } from "../src/kernel/mod.ts";
import {
  Idempotency,
  LogFormat,
  LogLevel,
  RecordKind,
  RouteAccess,
  ServerPhase,
} from "../src/model/mod.ts";
import type { Change, Route } from "../src/model/mod.ts";
import { encodeRecord } from "../src/protocols/log/record_codec.ts";
import { computeKeyDigest } from "../src/services/admission/mod.ts";
import { ServiceName } from "../src/services/catalog.ts";
import type { Services } from "../src/services/catalog.ts";
import { createLogging } from "../src/services/logging/mod.ts";
import { Metrics } from "../src/services/metrics/mod.ts";
import { ResolutionKind, resolveDaemonSettings } from "../src/settings/mod.ts";
import { closeServer } from "../standins/json_server.ts";
import { startLogStandin } from "../standins/log_standin.ts";
import type { MemoryLog } from "../standins/log_standin.ts";
import { startVmListStandin } from "../standins/vm_list_standin.ts";

/** Key of the team `team-1` on every test daemon. */
export const TEAM_KEY = "test-key-of-team-1";
/** Maximum time for a daemon to read the log, in milliseconds. */
const READY_LIMIT_MS = 5_000;
const INCARNATION = 1;

/** A running daemon with its stand-ins. */
export interface TestDaemon {
  readonly kernel: Kernel<Services>;
  readonly log: MemoryLog;
  /** Port to which callers connect. */
  readonly port: number;
  /** Appends a change; resolves when it is in force. */
  publish(change: Change, base?: number): Promise<void>;
  /** Runs the daemon's planned stop, then closes the stand-ins. */
  stop(): Promise<void>;
}

/** Options of {@linkcode startDaemon}. */
export interface TestDaemonOptions {
  /** Ports of the backend servers of the service `rota`. */
  readonly servers: readonly number[];
  /**
   * Properties that override those of the routes `/turns` and `/swaps`.
   * @default none
   */
  readonly route?: Partial<Route>;
  /**
   * Flags that override those of the daemon.
   * @default none
   */
  readonly flags?: Readonly<Record<string, string>>;
}

let recordCount = 0;

/** Appends a change to the log and returns its offset. */
export function appendChange(log: MemoryLog, change: Change, base = 0): number {
  recordCount += 1;
  return log.append(encodeRecord({
    version: RECORD_VERSION,
    id: `record-${recordCount}`,
    base,
    change,
  }));
}

/** Yields the changes that a daemon needs to serve `rota` to `team-1`. */
export function* listBasicChanges(
  options: TestDaemonOptions,
): Generator<Change> {
  yield { kind: RecordKind.ServiceSet, service: { id: "rota" } };
  for (const [index, port] of options.servers.entries()) {
    yield {
      kind: RecordKind.ServerSet,
      server: {
        id: `rota-${index + 1}`,
        service: "rota",
        host: "127.0.0.1",
        port,
        failureDomain: "domain-1",
        slots: 4,
        phase: ServerPhase.Active,
      },
    };
  }
  yield createRoute("turns", {
    idempotency: Idempotency.Idempotent,
    ...options.route,
  });
  yield createRoute("swaps", options.route);
  yield {
    kind: RecordKind.TeamSet,
    team: { id: "team-1", cell: "cell-1", ratePerSecond: 1e4, burst: 1e4 },
  };
  yield {
    kind: RecordKind.KeyIssue,
    digest: computeKeyDigest(TEAM_KEY),
    team: "team-1",
  };
}

/** Yields claims that make the test daemon the owner of all quota shards. */
function* listShardClaims(): Generator<Change> {
  for (let shard = 0; shard < SHARDS_PER_CELL; shard += 1) {
    yield {
      kind: RecordKind.ShardClaim,
      claim: {
        cell: "cell-1",
        seat: shard,
        epoch: 1,
        vm: "vm-1",
        incarnation: INCARNATION,
      },
    };
  }
}

/** Creates a non-idempotent route from `/<id>` to the service `rota`. */
export function createRoute(id: string, changes: Partial<Route> = {}): Change {
  return {
    kind: RecordKind.RouteSet,
    route: {
      id,
      method: "*",
      path: `/${id}`,
      service: "rota",
      access: RouteAccess.TeamBound,
      idempotency: Idempotency.NonIdempotent,
      deadlineMs: 5_000,
      floor: 0.5,
      ...changes,
    },
  };
}

/**
 * Starts a daemon that serves `/turns` and `/swaps`; resolves when it has read
 * the log.
 */
export async function startDaemon(
  options: TestDaemonOptions,
): Promise<TestDaemon> {
  const logServer = await startLogStandin();
  const listServer = await startVmListStandin();
  const { log } = logServer;
  for (const change of listBasicChanges(options)) appendChange(log, change);
  for (const change of listShardClaims()) appendChange(log, change);
  const kernel = createDaemonKernel({
    settings: {
      ...resolveTestSettings({
        "log-url": `http://127.0.0.1:${logServer.port}`,
        "vm-list-url": `http://127.0.0.1:${listServer.port}/vms`,
        ...options.flags,
      }),
      incarnation: INCARNATION,
    },
    logging: createLogging({
      level: LogLevel.Error,
      format: LogFormat.Text,
      vm: "vm-1",
    }),
    metrics: new Metrics(),
    observer: {
      recordFailure: (owner, cause) => {
        throw new Error(`${owner} failed`, { cause });
      },
      recordHandlerFailure: (owner, peer, cause) => {
        throw new Error(`${owner} failed on input of ${peer}`, { cause });
      },
    },
  });
  await kernel.start();
  await waitForOffset(kernel, log.head);
  return {
    kernel,
    log,
    port: kernel.find(ServiceName.CallerServer).port,
    publish: async (change, base) => {
      appendChange(log, change, base);
      await waitForOffset(kernel, log.head);
    },
    stop: async () => {
      await kernel.stop(new Promise(() => {}));
      await logServer.close();
      await listServer.close();
    },
  };
}

/** Resolves settings of a daemon that listens on free loopback ports. */
export function resolveTestSettings(
  overrides: Record<string, string>,
): Services[ServiceName.Settings] {
  const resolution = resolveDaemonSettings({
    "vm": "vm-1",
    "failure-domain": "domain-1",
    "caller-listen": "127.0.0.1:0",
    "peer-listen": "127.0.0.1:0",
    "operator-listen": "127.0.0.1:0",
    "address-ttl-ms": "1",
    ...overrides,
  }, Date.now());
  if (resolution.kind === ResolutionKind.Invalid) {
    throw new Error(resolution.errors.join("\n"));
  }
  return resolution.settings;
}

async function waitForOffset(
  kernel: Kernel<Services>,
  offset: number,
): Promise<void> {
  const end = performance.now() + READY_LIMIT_MS;
  while (kernel.find(ServiceName.Configuration).offset < offset) {
    if (performance.now() > end) throw new Error("timed out reading the log");
    await new Promise((resolve) => setTimeout(resolve, 5));
  }
}

/** A backend server whose responses are written by the test. */
export interface ScriptedServer {
  readonly port: number;
  close(): Promise<void>;
}

/** Starts an HTTP server on a free loopback port. */
export async function startScriptedServer(
  serve: http.RequestListener,
): Promise<ScriptedServer> {
  const server = http.createServer(serve);
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  return {
    port: (server.address() as AddressInfo).port,
    close: () => closeServer(server),
  };
}

/** Sends text to a port; resolves with all data received until the close. */
export async function sendRaw(port: number, text: string): Promise<string> {
  const socket = net.connect(port, "127.0.0.1");
  let received = "";
  socket.on("data", (chunk) => received += chunk.toString("latin1"));
  socket.on("error", () => {});
  socket.write(text);
  await once(socket, "close");
  return received;
}

/** Formats an HTTP/1.1 request after which the connection is closed. */
export function formatRequest(
  line: string,
  headers: readonly string[] = [],
  body = "",
): string {
  return [
    `${line} HTTP/1.1`,
    "host: test",
    "connection: close",
    ...headers,
    "",
    body,
  ].join("\r\n");
}

/** Header line with the key of `team-1`. */
export const KEY_LINE = `authorization: Bearer ${TEAM_KEY}`;
