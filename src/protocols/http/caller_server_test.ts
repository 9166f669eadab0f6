import assert from "node:assert/strict";
import { once } from "node:events";
import net from "node:net";
import { test } from "node:test";
import { createSystemClock } from "../../services/clock/mod.ts";
import type {
  CallerConnection,
  CallerServer,
} from "../../services/caller_front/exchange.ts";
import { createHttpCallerServer } from "./caller_server.ts";
import { DEFAULT_DIALECT } from "./dialect.ts";

const REQUESTS = 40;
/** More than the system buffers for a connection, with all requests. */
const BODY_BYTES = 1_000_000;
const REQUEST = "GET /turns HTTP/1.1\r\nhost: rota.example\r\n\r\n";

function createServer(): CallerServer {
  return createHttpCallerServer({
    address: { host: "127.0.0.1", port: 0 },
    dialect: DEFAULT_DIALECT,
    clock: createSystemClock(),
    boundary: { run: (_peer, handler) => void handler() },
  });
}

/** Sends the responses to all requests; resolves once none is missing. */
async function sendResponses(connection: CallerConnection): Promise<void> {
  const body = Buffer.alloc(BODY_BYTES, "x");
  let count = 0;
  for await (const exchange of connection.listExchanges()) {
    assert.ok(exchange.tryPassOn());
    void exchange.sendBuffered({ status: 200, headers: [], body });
    count += 1;
    if (count === REQUESTS) return;
  }
}

// Guards against responses that a planned stop discards: they are ready, but
// the caller reads slowly, so that they are not written yet.
test("a server that closes writes the responses that are ready", async () => {
  const server = createServer();
  await server.open();
  const socket = net.connect(server.port, "127.0.0.1");
  await once(socket, "connect");
  socket.pause();
  socket.write(REQUEST.repeat(REQUESTS));
  for await (const connection of server.listConnections()) {
    await sendResponses(connection);
    break;
  }
  const closed = server.close();
  let bodyBytes = 0;
  let heads = 0;
  socket.on("data", (chunk: Buffer) => {
    const text = chunk.toString("latin1");
    heads += text.split("HTTP/1.1 200 ").length - 1;
    bodyBytes += text.split("x").length - 1;
  });
  socket.resume();
  await once(socket, "close");
  await closed;
  assert.equal(bodyBytes, REQUESTS * BODY_BYTES);
  assert.ok(heads >= REQUESTS - 1);
});

test("a server that closes ends connections without a pending response", async () => {
  const server = createServer();
  await server.open();
  const socket = net.connect(server.port, "127.0.0.1");
  await once(socket, "connect");
  socket.resume();
  for await (const _connection of server.listConnections()) break;
  await Promise.all([once(socket, "close"), server.close()]);
});
