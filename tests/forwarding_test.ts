import assert from "node:assert/strict";
import { test } from "node:test";
import type http from "node:http";
import { once } from "node:events";
import net from "node:net";
import type { Route } from "../src/model/mod.ts";
import { ServerMode, startServerStandin } from "../standins/server_standin.ts";
import type { ServerStandin } from "../standins/server_standin.ts";
import {
  createRoute,
  formatRequest,
  KEY_LINE,
  sendRaw,
  startDaemon,
  startScriptedServer,
} from "./harness.ts";
import type { TestDaemon } from "./harness.ts";

const SLOTS = 4;
/** Maximum time until a refusal in ms; well below Node's own timeouts. */
const STALL_LIMIT_MS = 5_000;

interface Setup {
  readonly daemon: TestDaemon;
  readonly servers: readonly ServerStandin[];
}

/** Runs `body` with a daemon that forwards to servers in the given modes. */
async function runWithServers(
  modes: readonly ServerMode[],
  body: (setup: Setup) => Promise<void>,
  route: Partial<Route> = {},
): Promise<void> {
  const servers = await Promise.all(modes.map(async (mode, index) => {
    const name = `rota-${index + 1}`;
    const server = await startServerStandin({ name, workMs: 0 });
    server.mode = mode;
    return server;
  }));
  const ports = servers.map((server) => server.port);
  const daemon = await startDaemon({ servers: ports, route });
  try {
    await body({ daemon, servers });
  } finally {
    await daemon.stop();
    await Promise.all(servers.map((server) => server.close()));
  }
}

/** Runs `body` with a daemon that forwards to a server scripted by the test. */
async function runWithScript(
  serve: http.RequestListener,
  body: (daemon: TestDaemon) => Promise<void>,
): Promise<void> {
  const server = await startScriptedServer(serve);
  const daemon = await startDaemon({ servers: [server.port] });
  try {
    await body(daemon);
  } finally {
    await daemon.stop();
    await server.close();
  }
}

function sendGet(daemon: TestDaemon): Promise<string> {
  return sendRaw(daemon.port, formatRequest("GET /turns", [KEY_LINE]));
}

function sendPost(daemon: TestDaemon): Promise<string> {
  const headers = [KEY_LINE, "content-length: 2"];
  return sendRaw(daemon.port, formatRequest("POST /swaps", headers, "ab"));
}

const { Healthy, Truncate, Mismatch, Drop, Hang, Shed } = ServerMode;

for (const mode of [Truncate, Mismatch, Drop]) {
  test(`an idempotent request is retried after a server in mode ${mode}`, async () => {
    await runWithServers([mode, Healthy], async ({ daemon }) => {
      for (let index = 0; index < 4; index += 1) {
        const response = await sendGet(daemon);
        assert.match(response, /^HTTP\/1.1 200 /);
        assert.match(response, /"server":"rota-2"/);
      }
    });
  });

  test(`a non-idempotent request runs once at a server in mode ${mode}`, async () => {
    await runWithServers([mode, mode], async ({ daemon, servers }) => {
      const response = await sendPost(daemon);
      assert.match(response, /^HTTP\/1.1 502 /);
      assert.match(response, /"run":"unknown"/);
      const runs = servers.map((server) => server.runCount);
      assert.equal(runs.reduce((sum, count) => sum + count), 1);
    });
  });
}

test("a request is retried if a server refuses the connection", async () => {
  const closed = await startServerStandin({ name: "closed" });
  const { port } = closed;
  await closed.close();
  const server = await startServerStandin({ name: "rota-2", workMs: 0 });
  const daemon = await startDaemon({ servers: [port, server.port] });
  try {
    for (let index = 0; index < 4; index += 1) {
      assert.match(await sendPost(daemon), /^HTTP\/1.1 200 /);
    }
    assert.equal(server.runCount, 4);
  } finally {
    await daemon.stop();
    await server.close();
  }
});

test("a request is refused as not run if no server accepts a connection", async () => {
  const closed = await startServerStandin({ name: "closed" });
  const { port } = closed;
  await closed.close();
  const daemon = await startDaemon({ servers: [port] });
  try {
    const response = await sendPost(daemon);
    assert.match(response, /^HTTP\/1.1 503 /);
    assert.match(response, /"run":"not run"/);
    assert.match(response, /"peer":"rota-1"/);
  } finally {
    await daemon.stop();
  }
});

test("a shed request that is marked as not run is sent to another server", async () => {
  const shedding = await startScriptedServer((request, response) => {
    request.resume();
    response.writeHead(503, {
      "rhubarbwall-not-run": "true",
      "content-length": "0",
    });
    response.end();
  });
  const server = await startServerStandin({ name: "rota-2", workMs: 0 });
  const daemon = await startDaemon({ servers: [shedding.port, server.port] });
  try {
    for (let index = 0; index < 4; index += 1) {
      assert.match(await sendPost(daemon), /^HTTP\/1.1 200 /);
    }
    assert.equal(server.runCount, 4);
  } finally {
    await daemon.stop();
    await server.close();
    await shedding.close();
  }
});

test("a request whose deadline passes at a server is refused as unknown", async () => {
  await runWithServers([Hang], async ({ daemon, servers }) => {
    const response = await sendGet(daemon);
    assert.match(response, /^HTTP\/1.1 504 /);
    assert.match(response, /"run":"unknown"/);
    assert.equal(servers[0]?.runCount, 1);
  }, { deadlineMs: 100 });
});

test("a request whose deadline passes in the queue is refused as not run", async () => {
  const openResponses: http.ServerResponse[] = [];
  let isFull: () => void = () => {};
  const full = new Promise<void>((resolve) => isFull = resolve);
  await runWithScript((_request, response) => {
    openResponses.push(response);
    if (openResponses.length === SLOTS) isFull();
  }, async (daemon) => {
    await daemon.publish(createRoute("late", { deadlineMs: 50 }));
    const running = Array.from({ length: SLOTS }, () => sendGet(daemon));
    await full;
    const line = formatRequest("GET /late", [KEY_LINE]);
    const response = await sendRaw(daemon.port, line);
    assert.match(response, /^HTTP\/1.1 504 /);
    assert.match(response, /"run":"not run"/);
    for (const open of openResponses) open.end();
    await Promise.all(running);
    assert.equal(openResponses.length, SLOTS);
  });
});

test("the server gets the remaining time until the deadline", async () => {
  await runWithServers([Healthy], async ({ daemon, servers }) => {
    await sendGet(daemon);
    const headers = servers[0]?.recordedRequests[0]?.headers ?? {};
    const remainingMs = Number(headers["rhubarbwall-deadline-ms"]);
    assert.ok(remainingMs > 0 && remainingMs <= 5_000);
  });
});

test("a caller that disconnects cancels its request at the server", async () => {
  let isCancelled: () => void = () => {};
  const cancelled = new Promise<void>((resolve) => isCancelled = resolve);
  let isStarted: () => void = () => {};
  const started = new Promise<void>((resolve) => isStarted = resolve);
  await runWithScript((request) => {
    isStarted();
    request.socket.once("close", isCancelled);
  }, async (daemon) => {
    const socket = net.connect(daemon.port, "127.0.0.1");
    socket.write(formatRequest("GET /turns", [KEY_LINE]));
    await started;
    socket.destroy();
    await cancelled;
  });
});

test("a long response that breaks off never looks complete", async () => {
  await runWithScript((_request, response) => {
    response.writeHead(200, { "content-length": "1000000" });
    response.write("x".repeat(600_000));
    setTimeout(() => response.destroy(), 50);
  }, async (daemon) => {
    const response = await sendGet(daemon);
    assert.match(response, /content-length: 1000000/);
    assert.ok(response.length < 1_000_000);
  });
});

test("a long chunked response that breaks off has no last chunk", async () => {
  await runWithScript((_request, response) => {
    response.writeHead(200);
    response.write("x".repeat(600_000));
    setTimeout(() => response.destroy(), 50);
  }, async (daemon) => {
    const response = await sendGet(daemon);
    assert.match(response, /transfer-encoding: chunked/i);
    assert.equal(response.endsWith("0\r\n\r\n"), false);
  });
});

test("a long response is forwarded completely", async () => {
  await runWithScript((_request, response) => {
    response.writeHead(200, { "content-length": "900000" });
    response.end("y".repeat(900_000));
  }, async (daemon) => {
    const response = await sendGet(daemon);
    assert.equal(response.split("\r\n\r\n")[1]?.length, 900_000);
  });
});

test("bytes beyond the announced length of a response are not forwarded", async () => {
  await runWithScript((request) => {
    request.socket.end("HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nabEXTRA");
  }, async (daemon) => {
    const response = await sendGet(daemon);
    assert.equal(response.includes("EXTRA"), false);
  });
});

for (const status of [204, 304]) {
  test(`a response with status ${status} is forwarded without a body`, async () => {
    await runWithScript((_request, response) => {
      response.writeHead(status, { etag: '"1"' });
      response.end();
    }, async (daemon) => {
      const response = await sendGet(daemon);
      assert.match(response, new RegExp(`^HTTP/1.1 ${status} `));
      assert.match(response, /etag: "1"/);
      assert.match(response, /\r\n\r\n$/);
    });
  });
}

test("hop-by-hop fields of a response are not forwarded", async () => {
  await runWithScript((_request, response) => {
    response.writeHead(200, {
      "connection": "x-hop, close",
      "x-hop": "1",
      "x-kept": "2",
      "rhubarbwall-load": "running=1, waiting=0",
    });
    response.end("ok");
  }, async (daemon) => {
    const response = await sendGet(daemon);
    assert.equal(/x-hop|rhubarbwall-load/i.test(response), false);
    assert.match(response, /x-kept: 2/);
  });
});

test("a request whose body breaks off is not sent to a server", async () => {
  await runWithServers([Shed], async ({ daemon, servers }) => {
    const socket = net.connect(daemon.port, "127.0.0.1");
    const headers = [KEY_LINE, "content-length: 10"];
    socket.end(formatRequest("POST /swaps", headers, "abc"));
    socket.resume();
    await once(socket, "close");
    await sendPost(daemon);
    assert.equal(servers[0]?.runCount, 1);
  });
});

for (const length of ["content-length: 10", "transfer-encoding: chunked"]) {
  // Guards against callers that wait forever because their body does not end.
  test(`a body with ${length} that stalls is refused at the deadline`, async () => {
    const deadlineMs = 300;
    await runWithServers([Healthy], async ({ daemon, servers }) => {
      const startedAt = performance.now();
      const request = formatRequest("POST /swaps", [KEY_LINE, length], "3\r\n");
      const response = await sendRaw(daemon.port, request);
      assert.match(response, /^HTTP\/1.1 504 .*"run":"not run"/s);
      assert.ok(performance.now() - startedAt < STALL_LIMIT_MS);
      assert.equal(servers[0]?.runCount, 0);
    }, { deadlineMs });
  });
}
