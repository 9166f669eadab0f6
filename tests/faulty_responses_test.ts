import assert from "node:assert/strict";
import { once } from "node:events";
import net from "node:net";
import type { AddressInfo, Socket } from "node:net";
import { test } from "node:test";
import { PLATFORM_DIALECT } from "../platform/dialect.ts";
import { OutcomeKind, ServerPhase } from "../src/model/mod.ts";
import { createHttpUpstreamClient } from "../src/protocols/http/upstream_client.ts";
import { BodyError } from "../src/services/forwarding/upstream.ts";
import type {
  Attempt,
  UpstreamClient,
} from "../src/services/forwarding/upstream.ts";

const ATTEMPT = "a-1";
const HEAD = "HTTP/1.1 200 OK\r\n" +
  `rhubarbwall-attempt-id: ${ATTEMPT}\r\n` +
  "rhubarbwall-response-signature: proof\r\n";
/** Responses that mark their own end rather than close the connection. */
const COMPLETE: Record<string, string> = {
  "a length": `${HEAD}content-length: 12\r\n\r\nhello world!`,
  "chunks": `${HEAD}transfer-encoding: chunked\r\n\r\n` +
    "5\r\nhello\r\n7\r\n world!\r\n0\r\n\r\n",
};

function createAttempt(port: number, id: string): Attempt {
  return {
    id,
    server: {
      id: "i-1",
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
    mayReuseConnection: true,
    isAllowed: () => true,
    signal: new AbortController().signal,
    waitSignal: new AbortController().signal,
  };
}

/** Starts a server and runs `body` with a client and the server's port. */
async function runWithServer<T>(
  serve: (socket: Socket) => void,
  body: (client: UpstreamClient, port: number) => Promise<T>,
): Promise<T> {
  const server = net.createServer((socket) => {
    socket.on("error", () => {});
    serve(socket);
  });
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  const client = createHttpUpstreamClient(PLATFORM_DIALECT);
  try {
    return await body(client, (server.address() as AddressInfo).port);
  } finally {
    client.close();
    server.close();
  }
}

/** Fetches a response body; undefined if the response is incomplete. */
async function fetchComplete(
  client: UpstreamClient,
  port: number,
): Promise<string | undefined> {
  const outcome = await client.send(createAttempt(port, ATTEMPT));
  if (outcome.kind !== OutcomeKind.Responded) return undefined;
  let body = "";
  try {
    for await (const chunk of outcome.response.readBody()) {
      body += Buffer.from(chunk).toString();
    }
  } catch (error) {
    if (error instanceof BodyError) return undefined;
    throw error;
  }
  return body;
}

for (const [kind, response] of Object.entries(COMPLETE)) {
  // Guards against a truncated 200 response that looks complete.
  test(`a response with ${kind} that breaks off at any byte is incomplete`, async () => {
    let sent = 0;
    const serve = (socket: Socket): void => {
      socket.once("data", () => socket.end(response.slice(0, sent)));
    };
    await runWithServer(serve, async (client, port) => {
      for (; sent < response.length; sent += 1) {
        const body = await fetchComplete(client, port);
        assert.equal(body, undefined, `after ${sent} bytes: ${body}`);
      }
      assert.equal(await fetchComplete(client, port), "hello world!");
    });
  });
}

// Guards against a truncated head without a length that looks complete.
test("a response without a length that breaks off in its head is incomplete", async () => {
  let sent = 0;
  const serve = (socket: Socket): void => {
    socket.once("data", () => socket.end(`${HEAD}\r\n`.slice(0, sent)));
  };
  await runWithServer(serve, async (client, port) => {
    for (; sent < HEAD.length + 2; sent += 1) {
      const body = await fetchComplete(client, port);
      assert.equal(body, undefined, `after ${sent} bytes`);
    }
  });
});

const REFUSALS: Record<string, string> = {
  "not run": "HTTP/1.1 503 Busy\r\nrhubarbwall-not-executed: full\r\n",
  "misdirected": "HTTP/1.1 421 Misdirected\r\n",
};

for (const [kind, head] of Object.entries(REFUSALS)) {
  // Guards against a refusal that may belong to an earlier request.
  test(`a refusal (${kind}) without an attempt id on a reused connection is ignored`, async () => {
    const serve = (socket: Socket): void => {
      socket.on("data", () => socket.write(`${head}content-length: 0\r\n\r\n`));
    };
    await runWithServer(serve, async (client, port) => {
      const sent = await client.send(createAttempt(port, "a-2"));
      assert.equal(sent.kind, OutcomeKind.Responded);
      if (sent.kind !== OutcomeKind.Responded) return;
      assert.equal(sent.response.isNotRun, false);
      assert.equal(sent.response.isMisdirected, false);
      sent.response.cancel();
    });
  });
}
