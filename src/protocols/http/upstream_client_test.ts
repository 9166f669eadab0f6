import assert from "node:assert/strict";
import { once } from "node:events";
import net from "node:net";
import type { AddressInfo, Socket } from "node:net";
import { test } from "node:test";
import { MAX_CONNECTIONS_PER_SERVER } from "../../constants.ts";
import { OutcomeKind, ServerPhase } from "../../model/mod.ts";
import { BodyError } from "../../services/forwarding/upstream.ts";
import type { Attempt } from "../../services/forwarding/upstream.ts";
import { DEFAULT_DIALECT } from "./dialect.ts";
import { createHttpUpstreamClient } from "./upstream_client.ts";

const HEAD = "HTTP/1.1 200 OK\r\nrhubarbwall-attempt: a-1\r\n\r\n";

/** Runs `callback` with the port of a server that calls `respond`. */
async function runWithServer<T>(
  respond: (socket: Socket) => void,
  callback: (port: number) => Promise<T>,
): Promise<T> {
  const server = net.createServer((socket) => {
    socket.on("error", () => {});
    socket.once("data", () => respond(socket));
  });
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  try {
    return await callback((server.address() as AddressInfo).port);
  } finally {
    server.close();
  }
}

function createAttempt(port: number): Attempt {
  return {
    id: "a-1",
    server: {
      id: "s-1",
      service: "rota",
      host: "127.0.0.1",
      port,
      failureDomain: "a",
      slots: 4,
      phase: ServerPhase.Active,
      revision: 1,
    },
    team: undefined,
    method: "GET",
    target: "/",
    headers: [],
    bodyLength: 0,
    body: undefined,
    remainingMs: 1_000,
    mayReuseConnection: false,
    isAllowed: () => true,
    signal: new AbortController().signal,
    waitSignal: new AbortController().signal,
  };
}

/** Sends a request to a server that calls `respond`; reads the body. */
function fetchBody(respond: (socket: Socket) => void): Promise<string> {
  return runWithServer(respond, async (port) => {
    const client = createHttpUpstreamClient(DEFAULT_DIALECT);
    try {
      const outcome = await client.send(createAttempt(port));
      assert.equal(outcome.kind, OutcomeKind.Responded);
      if (outcome.kind !== OutcomeKind.Responded) return "";
      let body = "";
      for await (const chunk of outcome.response.readBody()) {
        body += Buffer.from(chunk).toString();
      }
      return body;
    } finally {
      client.close();
    }
  });
}

test("a response without a length is complete when its connection closes", async () => {
  const body = await fetchBody((socket) => socket.end(HEAD + "whole"));
  assert.equal(body, "whole");
});

for (const delayMs of [0, 1, 50]) {
  test(`a response without a length that is reset after ${delayMs} ms is incomplete`, async () => {
    await assert.rejects(
      fetchBody((socket) => {
        socket.write(HEAD + "par");
        if (delayMs === 0) socket.resetAndDestroy();
        else setTimeout(() => socket.resetAndDestroy(), delayMs);
      }),
      BodyError,
    );
  });
}

for (const mayReuseConnection of [false, true]) {
  const connection = mayReuseConnection ? "a reusable" : "a new";
  // Guards against requests to a server that leaves while the client connects.
  test(`a request on ${connection} connection is not sent if it is no longer allowed`, async () => {
    let requestCount = 0;
    const countRequest = (socket: Socket): void => {
      requestCount += 1;
      socket.end(HEAD);
    };
    const outcome = await runWithServer(countRequest, async (port) => {
      const client = createHttpUpstreamClient(DEFAULT_DIALECT);
      const options = { mayReuseConnection, isAllowed: () => false };
      const result = await client.send({ ...createAttempt(port), ...options });
      client.close();
      return result;
    });
    assert.equal(outcome.kind, OutcomeKind.NotRun);
    assert.equal(requestCount, 0);
  });
}

for (const name of ["signal", "waitSignal"] as const) {
  // Guards against a request that waits for a connection beyond its deadline or
  // the stop of the VM.
  test(`a wait for a connection ends when the ${name} aborts`, async () => {
    const keepOpen = (): void => {};
    await runWithServer(keepOpen, async (port) => {
      const client = createHttpUpstreamClient(DEFAULT_DIALECT);
      const ended = new AbortController();
      const attempt = createAttempt(port);
      const running = Array.from(
        { length: MAX_CONNECTIONS_PER_SERVER },
        () => client.send({ ...attempt, signal: ended.signal }),
      );
      const wait = new AbortController();
      const waiting = client.send({ ...attempt, [name]: wait.signal });
      assert.deepEqual(client.countConnections(), {
        inUse: MAX_CONNECTIONS_PER_SERVER,
        waiting: 1,
        idle: 0,
      });
      wait.abort();
      const outcome = await waiting;
      assert.equal(outcome.kind, OutcomeKind.NotRun);
      ended.abort();
      await Promise.all(running);
      client.close();
    });
  });
}
