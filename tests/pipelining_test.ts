import assert from "node:assert/strict";
import { EventEmitter, once } from "node:events";
import type http from "node:http";
import net from "node:net";
import { test } from "node:test";
import type { TestContext } from "node:test";
import { ServiceName } from "../src/services/catalog.ts";
import {
  formatRequest,
  KEY_LINE,
  startDaemon,
  startScriptedServer,
} from "./harness.ts";
import type { TestDaemon, TestDaemonOptions } from "./harness.ts";

/** A server that holds each request until the test answers it. */
class HoldingServer extends EventEmitter {
  readonly received: string[] = [];
  readonly remainingMs: number[] = [];
  readonly #held = new Map<string, http.ServerResponse>();
  /** Requests whose connection closed before they were answered. */
  readonly lost: string[] = [];

  handle(request: http.IncomingMessage, response: http.ServerResponse): void {
    const path = request.url ?? "";
    this.received.push(path);
    const remaining = request.headers["rhubarbwall-deadline-ms"];
    this.remainingMs.push(Number(remaining));
    this.#held.set(path, response);
    response.once("close", () => {
      if (!response.writableFinished) this.lost.push(path);
      this.emit("change");
    });
    this.emit("change");
  }

  complete(path: string): void {
    this.#held.get(path)?.end(`done ${path}`);
  }

  async waitUntil(condition: () => boolean): Promise<void> {
    while (!condition()) await once(this, "change");
  }
}

interface Fixture {
  readonly server: HoldingServer;
  readonly daemon: TestDaemon;
  readonly caller: Caller;
}

/** A caller's connection. */
class Caller {
  readonly socket: net.Socket;
  readonly closed: Promise<unknown>;
  received = "";

  constructor(port: number) {
    this.socket = net.connect(port, "127.0.0.1");
    this.socket.on("data", (chunk) => this.received += chunk.toString());
    this.socket.on("error", () => {});
    this.closed = once(this.socket, "close");
  }

  send(...lines: string[]): void {
    this.socket.write(lines.map(formatKeptRequest).join(""));
  }

  get responses(): string[] {
    return this.received.split(/(?=HTTP\/1\.1 )/);
  }
}

function formatKeptRequest(line: string): string {
  return formatRequest(line, [KEY_LINE, "content-length: 0"])
    .replace("connection: close\r\n", "");
}

async function createFixture(
  context: TestContext,
  options: Partial<TestDaemonOptions> = {},
): Promise<Fixture> {
  const server = new HoldingServer();
  const scripted = await startScriptedServer((request, response) =>
    server.handle(request, response)
  );
  const daemon = await startDaemon({
    servers: [scripted.port],
    ...options,
    // A timer of the planned stop keeps the process alive for this long.
    flags: { "grace-ms": "1000", ...options.flags },
  });
  const caller = new Caller(daemon.port);
  context.after(async () => {
    caller.socket.destroy();
    await daemon.stop();
    await scripted.close();
  });
  return { server, daemon, caller };
}

function countClosing(responses: readonly string[]): boolean[] {
  return responses.map((text) => /^connection: close\r$/im.test(text));
}

test("idempotent requests run together and are answered in order", async (context) => {
  const { server, caller } = await createFixture(context);
  const paths = ["/turns/1", "/turns/2", "/turns/3", "/turns/4"];
  caller.send(...paths.map((path) => `GET ${path}`));
  await server.waitUntil(() => server.received.length === 4);
  for (const path of paths.toReversed()) server.complete(path);
  while (!caller.received.includes("done /turns/4")) {
    await once(caller.socket, "data");
  }
  assert.deepEqual(
    caller.responses.map((text) => /done (\S+)/.exec(text)?.[1]),
    paths,
  );
});

test("the wait behind another request counts against the deadline", async (context) => {
  const waitMs = 300;
  const deadlineMs = 2_000;
  const { server, caller } = await createFixture(context, {
    route: { deadlineMs },
  });
  caller.send("POST /swaps/1", "POST /swaps/2");
  await server.waitUntil(() => server.received.length === 1);
  await new Promise((resolve) => setTimeout(resolve, waitMs));
  assert.deepEqual(server.received, ["/swaps/1"]);
  server.complete("/swaps/1");
  await server.waitUntil(() => server.received.length === 2);
  assert.ok(Number(server.remainingMs[1]) <= deadlineMs - waitMs);
});

test("at a stop, requests that were not passed on are dropped", async (context) => {
  const { server, daemon, caller } = await createFixture(context, {
    flags: { "pipeline-limit": "2" },
  });
  caller.send("GET /turns/1", "GET /turns/2", "GET /turns/3", "POST /swaps/4");
  await server.waitUntil(() => server.received.length === 2);
  daemon.kernel.find(ServiceName.CallerServer).closeAfterResponses();
  server.complete("/turns/1");
  while (!caller.received.includes("done")) await once(caller.socket, "data");
  server.complete("/turns/2");
  await caller.closed;
  assert.deepEqual(countClosing(caller.responses), [false, true]);
  assert.deepEqual(server.received, ["/turns/1", "/turns/2"]);
});

test("behind a response that closes, no request is passed on", async (context) => {
  const { server, daemon, caller } = await createFixture(context);
  caller.send("GET /turns/1", "POST /swaps/2", "GET /turns/3");
  await server.waitUntil(() => server.received.length === 1);
  daemon.kernel.find(ServiceName.CallerServer).closeAfterResponses();
  server.complete("/turns/1");
  await caller.closed;
  assert.deepEqual(countClosing(caller.responses), [true]);
  assert.deepEqual(server.received, ["/turns/1"]);
});

test("a caller that disconnects cancels all of its requests", async (context) => {
  const { server, caller } = await createFixture(context);
  caller.send("GET /turns/1", "GET /turns/2", "GET /turns/3", "POST /swaps/4");
  await server.waitUntil(() => server.received.length === 3);
  caller.socket.destroy();
  await server.waitUntil(() => server.lost.length === 3);
  assert.deepEqual(server.received.includes("/swaps/4"), false);
});

test("input that is not a request gets no response before earlier ones", async (context) => {
  const { server, caller } = await createFixture(context);
  caller.send("GET /turns/1");
  await server.waitUntil(() => server.received.length === 1);
  caller.socket.write("WHAT IS THIS\r\n\r\n");
  // The daemon reads on the loopback before the server's response arrives.
  await new Promise((resolve) => setTimeout(resolve, 50));
  server.complete("/turns/1");
  await caller.closed;
  assert.match(caller.received, /^HTTP\/1.1 200 [^]*done \/turns\/1$/);
});
