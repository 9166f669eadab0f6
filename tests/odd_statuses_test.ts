import assert from "node:assert/strict";
import { once } from "node:events";
import net from "node:net";
import type { AddressInfo, Socket } from "node:net";
import { test } from "node:test";
import { MAX_CONNECTIONS_PER_SERVER } from "../src/constants.ts";
import { FailureKind, OutcomeKind, ServerPhase } from "../src/model/mod.ts";
import { DEFAULT_DIALECT } from "../src/protocols/http/dialect.ts";
import { createHttpUpstreamClient } from "../src/protocols/http/upstream_client.ts";
import { ServiceName } from "../src/services/catalog.ts";
import { AttemptVerdict } from "../src/services/detector/mod.ts";
import type { Attempt } from "../src/services/forwarding/upstream.ts";
import { formatRequest, KEY_LINE, sendRaw, startDaemon } from "./harness.ts";

/** Maximum time for a connection to close or a response to arrive, in ms. */
const TIMEOUT_MS = 5_000;
/** Time after the stop for which a daemon keeps a timer, in milliseconds. */
const GRACE_MS = "1000";
/** Number of responses after which unreleased connections would be missing. */
const MANY_RESPONSES = MAX_CONNECTIONS_PER_SERVER + 4;

/** A raw TCP server that answers each request with the same bytes. */
interface RawServer {
  readonly port: number;
  /** Accepted connections, oldest first. */
  readonly sockets: Socket[];
  close(): void;
}

/** Starts a raw server; `response` lacks the attempt id after its first line. */
async function startRawServer(
  response: string,
  closesAfterResponse: boolean,
): Promise<RawServer> {
  const sockets: Socket[] = [];
  const server = net.createServer((socket) => {
    sockets.push(socket);
    socket.on("error", () => {});
    socket.on("data", (data) => {
      const attempt = /rhubarbwall-attempt: (\S+)/.exec(data.toString())?.[1];
      const field = `\r\nrhubarbwall-attempt: ${attempt}\r\n`;
      socket.write(response.replace("\r\n", field));
      if (closesAfterResponse) socket.end();
    });
  });
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  return {
    port: (server.address() as AddressInfo).port,
    sockets,
    close: () => {
      for (const socket of sockets) socket.destroy();
      server.close();
    },
  };
}

function createAttempt(port: number, method: string): Attempt {
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
    method,
    target: "/",
    headers: [],
    bodyLength: 0,
    body: undefined,
    remainingMs: TIMEOUT_MS,
    mayReuseConnection: true,
    isAllowed: () => true,
    signal: AbortSignal.timeout(TIMEOUT_MS),
    waitSignal: new AbortController().signal,
  };
}

/** Responses that are not valid ones of the protocol. */
const INVALID: Record<string, { response: string; closes: boolean }> = {
  "000": {
    response: "HTTP/1.1 000 None\r\ncontent-length: 0\r\n\r\n",
    closes: false,
  },
  "099": {
    response: "HTTP/1.1 099 None\r\ncontent-length: 0\r\n\r\n",
    closes: false,
  },
  "101 with an upgrade": {
    response: "HTTP/1.1 101 Switching Protocols\r\n" +
      "connection: upgrade\r\nupgrade: other\r\n\r\n",
    closes: false,
  },
  "101 without an upgrade": {
    response: "HTTP/1.1 101 Switching Protocols\r\n\r\n",
    closes: false,
  },
  "100 as the final one": {
    response: "HTTP/1.1 100 Continue\r\n\r\n",
    closes: true,
  },
  "103 as the final one": {
    response: "HTTP/1.1 103 Early Hints\r\n\r\n",
    closes: true,
  },
  "199 as the final one": {
    response: "HTTP/1.1 199 None\r\n\r\n",
    closes: true,
  },
  "600": {
    response: "HTTP/1.1 600 None\r\ncontent-length: 0\r\n\r\n",
    closes: false,
  },
  "999": {
    response: "HTTP/1.1 999 None\r\ncontent-length: 0\r\n\r\n",
    closes: false,
  },
};

for (const [status, { response, closes }] of Object.entries(INVALID)) {
  // Guards against an invalid response that counts as a success.
  test(`an attempt that gets status ${status} fails, and its connection closes`, async () => {
    const server = await startRawServer(response, closes);
    const client = createHttpUpstreamClient(DEFAULT_DIALECT);
    try {
      const outcome = await client.send(createAttempt(server.port, "GET"));
      assert.equal(outcome.kind, OutcomeKind.MayHaveRun);
      if (outcome.kind !== OutcomeKind.MayHaveRun) return;
      assert.equal(outcome.failure.kind, FailureKind.InvalidResponse);
      await waitForClose(server.sockets[0]);
    } finally {
      client.close();
      server.close();
    }
  });
}

// Guards against a faulty server that is not recognized by its statuses.
test("a request that runs once gets 502 for an invalid status, and the server a failure", async () => {
  for (const [status, { response, closes }] of Object.entries(INVALID)) {
    const server = await startRawServer(response, closes);
    const daemon = await startDaemon({
      servers: [server.port],
      flags: { "grace-ms": GRACE_MS },
    });
    const detector = daemon.kernel.find(ServiceName.Detector);
    const verdicts: AttemptVerdict[] = [];
    detector.recordEnd = (_tracked, verdict) => void verdicts.push(verdict);
    try {
      const headers = [KEY_LINE, "content-length: 2"];
      const request = formatRequest("POST /swaps", headers, "ab");
      const received = await sendRaw(daemon.port, request);
      assert.match(received, /^HTTP\/1.1 502 .*"run":"unknown"/s, status);
      assert.deepEqual(verdicts, [AttemptVerdict.Failed], status);
      assert.equal(server.sockets.length, 1, status);
    } finally {
      await daemon.stop();
      server.close();
    }
  }
});

/** Responses without a body; `method` is GET unless it is given. */
const BODILESS: Record<string, { response: string; method?: string }> = {
  "204": { response: "HTTP/1.1 204 No Content\r\n\r\n" },
  "205": {
    response: "HTTP/1.1 205 Reset Content\r\ncontent-length: 0\r\n\r\n",
  },
  "304": { response: "HTTP/1.1 304 Not Modified\r\n\r\n" },
  "304 with the length of its body": {
    response: "HTTP/1.1 304 Not Modified\r\ncontent-length: 4\r\n\r\n",
  },
  "200 to HEAD": {
    response: "HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\n",
    method: "HEAD",
  },
  "404 to HEAD in chunks": {
    response: "HTTP/1.1 404 Not Found\r\ntransfer-encoding: chunked\r\n\r\n",
    method: "HEAD",
  },
};

for (const [kind, { response, method = "GET" }] of Object.entries(BODILESS)) {
  // Guards against connections that are never released.
  test(`responses with status ${kind} release their connection`, async () => {
    const server = await startRawServer(response, false);
    const client = createHttpUpstreamClient(DEFAULT_DIALECT);
    try {
      for (let index = 0; index < MANY_RESPONSES; index += 1) {
        const outcome = await client.send(createAttempt(server.port, method));
        assert.equal(outcome.kind, OutcomeKind.Responded, `number ${index}`);
      }
      assert.ok(server.sockets.length < MAX_CONNECTIONS_PER_SERVER);
    } finally {
      client.close();
      server.close();
    }
  });
}

/** Responses with a body although their status or method allows none. */
const WITH_BODY: Record<string, { response: string; method?: string }> = {
  "204 with a length": {
    response: "HTTP/1.1 204 No Content\r\ncontent-length: 4\r\n\r\nbody",
  },
  "204 in chunks": {
    response: "HTTP/1.1 204 No Content\r\ntransfer-encoding: chunked\r\n\r\n" +
      "4\r\nbody\r\n0\r\n\r\n",
  },
  "204 without a length": {
    response: "HTTP/1.1 204 No Content\r\n\r\nbody",
  },
  "205 with a length": {
    response: "HTTP/1.1 205 Reset Content\r\ncontent-length: 4\r\n\r\nbody",
  },
  "205 without a length": {
    response: "HTTP/1.1 205 Reset Content\r\n\r\nbody",
  },
  "304 with a length": {
    response: "HTTP/1.1 304 Not Modified\r\ncontent-length: 4\r\n\r\nbody",
  },
  "200 to HEAD": {
    response: "HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nbody",
    method: "HEAD",
  },
};

for (const [kind, { response, method = "GET" }] of Object.entries(WITH_BODY)) {
  // Guards against a body that is taken for the response to the next request.
  test(`a body after status ${kind} closes the connection`, async () => {
    const server = await startRawServer(response, false);
    const client = createHttpUpstreamClient(DEFAULT_DIALECT);
    try {
      const outcome = await client.send(createAttempt(server.port, method));
      assert.equal(outcome.kind, OutcomeKind.Responded);
      await waitForClose(server.sockets[0]);
    } finally {
      client.close();
      server.close();
    }
  });
}

// Guards against a late body that is taken for the response to the next request.
test("data on an idle connection closes it", async () => {
  const response = "HTTP/1.1 204 No Content\r\n\r\n";
  const server = await startRawServer(response, false);
  const client = createHttpUpstreamClient(DEFAULT_DIALECT);
  try {
    await client.send(createAttempt(server.port, "GET"));
    await new Promise((resolve) => setImmediate(resolve));
    server.sockets[0]?.write("HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n");
    await waitForClose(server.sockets[0]);
  } finally {
    client.close();
    server.close();
  }
});

async function waitForClose(socket: Socket | undefined): Promise<void> {
  assert.ok(socket);
  if (socket.destroyed) return;
  await once(socket, "close", { signal: AbortSignal.timeout(TIMEOUT_MS) });
}
