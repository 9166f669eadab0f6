import assert from "node:assert/strict";
import { EventEmitter, once } from "node:events";
import type http from "node:http";
import { Socket } from "node:net";
import { test } from "node:test";
import type { CallerExchange } from "../../services/caller_front/exchange.ts";
import { Connection } from "./caller_connection.ts";

function addRequest(connection: Connection): void {
  connection.addRequest(
    { complete: true } as http.IncomingMessage,
    new EventEmitter() as http.ServerResponse,
    () => ({}) as CallerExchange,
  );
}

test("a socket with many waiting requests is not read until they start", async () => {
  const socket = new Socket();
  const connection = new Connection(socket, false);
  const exchanges = connection.listExchanges();
  for (let count = 0; count < 100; count += 1) addRequest(connection);
  assert.equal(socket.isPaused(), true);
  // Node's server resumes the socket at the end of each request.
  socket.resume();
  await once(socket, "resume");
  assert.equal(socket.isPaused(), true);
  for (let count = 0; count < 100; count += 1) await exchanges.next();
  assert.equal(socket.isPaused(), false);
});
