/** A small fleet of processes on loopback ports, for the demo and tests. */
import { createHash } from "node:crypto";
import type { ChildProcess } from "node:child_process";
import http from "node:http";
import { VmPhase } from "../src/model/mod.ts";
import { findFreePorts, ProcessGroup, waitUntil } from "./processes.ts";
import type { ProcessResult } from "./processes.ts";

const OPERATOR_KEY = "demo-operator-key";
const START_TIMEOUT_MS = 10_000;

/** One daemon of the fleet. */
export interface FleetDaemon {
  readonly name: string;
  readonly callerPort: number;
  readonly peerPort: number;
  readonly operatorPort: number;
  process: ChildProcess;
}

/** Options of {@linkcode startFleet}. */
export interface FleetOptions {
  /**
   * Number of daemons.
   * @default 3
   */
  daemons?: number;
  /**
   * Number of backend servers of the service `rota`.
   * @default 4
   */
  servers?: number;
  /**
   * Time for which callers may cache an address response, in milliseconds.
   * @default 1000
   */
  addressTtlMs?: number;
}

/** Status and body of a response. */
export interface CallerResponse {
  readonly status: number;
  readonly body: string;
}

/** A running fleet: processes of the log, VM list, backend servers, daemons. */
export interface Fleet {
  readonly group: ProcessGroup;
  readonly logPort: number;
  readonly serverPorts: readonly number[];
  readonly daemons: readonly FleetDaemon[];
  /** Environment variables with which `rhubarbctl` connects to the fleet. */
  readonly ctlEnvironment: Record<string, string>;
  /** Runs `rhubarbctl` with the given arguments. */
  runCtl(...args: readonly string[]): Promise<ProcessResult>;
  /** Starts a daemon again, on the same ports. */
  startDaemon(daemon: FleetDaemon): void;
}

/** Starts a fleet whose daemons all serve callers; its `group` stops it. */
export async function startFleet(options: FleetOptions = {}): Promise<Fleet> {
  const group = new ProcessGroup();
  const serverCount = options.servers ?? 4;
  const daemonCount = options.daemons ?? 3;
  const ports = await findFreePorts(2 + serverCount + 3 * daemonCount);
  const [logPort = 0, vmListPort = 0] = ports.splice(0, 2);
  const serverPorts = ports.splice(0, serverCount);
  startStandins(group, { logPort, vmListPort, serverPorts });
  await waitUntil(() => isResponding(vmListPort, "/vms"), START_TIMEOUT_MS);
  const daemons: FleetDaemon[] = [];
  const start = (daemon: Omit<FleetDaemon, "process">): ChildProcess =>
    startDaemonProcess(group, daemon, {
      logPort,
      vmListPort,
      addressTtlMs: options.addressTtlMs ?? 1_000,
    });
  for (let index = 0; index < daemonCount; index += 1) {
    const [callerPort = 0, peerPort = 0, operatorPort = 0] = ports.splice(0, 3);
    const name = `vm-${index + 1}`;
    const daemon = { name, callerPort, peerPort, operatorPort };
    daemons.push({ ...daemon, process: start(daemon) });
  }
  await updateVmList(vmListPort, daemons);
  await waitUntil(
    async () => (await Promise.all(daemons.map(isServing))).every(Boolean),
    START_TIMEOUT_MS,
  );
  const ctlEnvironment = {
    RHUBARBWALL_LOG_URL: `http://127.0.0.1:${logPort}`,
    RHUBARBWALL_OPERATOR_KEY: OPERATOR_KEY,
    RHUBARBWALL_DAEMONS: daemons.map((daemon) =>
      `http://127.0.0.1:${daemon.operatorPort}`
    ).join(),
  };
  return {
    group,
    logPort,
    serverPorts,
    daemons,
    ctlEnvironment,
    runCtl: (...args) => group.run("src/ctl/main.js", args, ctlEnvironment),
    startDaemon: (daemon) => {
      daemon.process = start(daemon);
    },
  };
}

interface StandinPorts {
  readonly logPort: number;
  readonly vmListPort: number;
  readonly serverPorts: readonly number[];
}

interface DaemonOptions extends Omit<StandinPorts, "serverPorts"> {
  readonly addressTtlMs: number;
}

function startStandins(group: ProcessGroup, ports: StandinPorts): void {
  group.start("standins/main.js", ["log", String(ports.logPort)]);
  group.start("standins/main.js", ["vm_list", String(ports.vmListPort)]);
  ports.serverPorts.forEach((port, index) =>
    group.start("standins/main.js", [
      "server",
      String(port),
      `rota-${index + 1}`,
    ])
  );
}

function startDaemonProcess(
  group: ProcessGroup,
  daemon: Omit<FleetDaemon, "process">,
  options: DaemonOptions,
): ChildProcess {
  const domain = Number(daemon.name.slice(3)) % 3 + 1;
  return group.start("src/daemon/main.js", [
    `--vm=${daemon.name}`,
    `--failure-domain=domain-${domain}`,
    `--caller-listen=127.0.0.1:${daemon.callerPort}`,
    `--peer-listen=127.0.0.1:${daemon.peerPort}`,
    `--operator-listen=127.0.0.1:${daemon.operatorPort}`,
    `--address-ttl-ms=${options.addressTtlMs}`,
    `--log-url=http://127.0.0.1:${options.logPort}`,
    `--vm-list-url=http://127.0.0.1:${options.vmListPort}/vms`,
    `--operator-keys=${
      createHash("sha256").update(OPERATOR_KEY).digest("hex")
    }`,
  ]);
}

async function updateVmList(
  vmListPort: number,
  daemons: readonly FleetDaemon[],
): Promise<void> {
  const vms = daemons.map((daemon) => ({
    name: daemon.name,
    peerAddress: `127.0.0.1:${daemon.peerPort}`,
    leaving: false,
  }));
  await fetch(`http://127.0.0.1:${vmListPort}/vms`, {
    method: "PUT",
    body: JSON.stringify(vms),
  });
}

/** Whether a daemon reports that it serves callers. */
async function isServing({ operatorPort }: FleetDaemon): Promise<boolean> {
  const response = await fetch(`http://127.0.0.1:${operatorPort}/status`, {
    headers: { authorization: `Bearer ${OPERATOR_KEY}` },
  });
  const { phase } = await response.json() as { phase?: VmPhase };
  return phase === VmPhase.Serving;
}

async function isResponding(port: number, path: string): Promise<boolean> {
  const response = await fetch(`http://127.0.0.1:${port}${path}`);
  await response.arrayBuffer();
  return response.ok;
}

/** Options of {@linkcode sendRequest}. */
export interface CallerRequest {
  readonly port: number;
  readonly path: string;
  /** @default "GET" */
  readonly method?: string;
  /** @default no key */
  readonly key?: string;
  /** @default no body */
  readonly body?: string;
  /** @default a new connection */
  readonly agent?: http.Agent;
}

/** Sends one request as a caller; rejects without a complete response. */
export function sendRequest(request: CallerRequest): Promise<CallerResponse> {
  return new Promise((resolve, reject) => {
    const clientRequest = http.request({
      host: "127.0.0.1",
      port: request.port,
      path: request.path,
      method: request.method ?? "GET",
      ...(request.agent && { agent: request.agent }),
      headers: {
        ...(request.key && { authorization: `Bearer ${request.key}` }),
        ...(request.body && {
          "content-length": String(Buffer.byteLength(request.body)),
        }),
      },
    }, (response) => {
      let body = "";
      response.on("data", (chunk) => body += chunk);
      response.on("error", reject);
      response.on("end", () => {
        if (!response.complete) return reject(new Error("incomplete body"));
        resolve({ status: response.statusCode ?? 0, body });
      });
    });
    clientRequest.on("error", reject);
    clientRequest.end(request.body);
  });
}
