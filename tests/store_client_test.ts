import assert from "node:assert/strict";
import { once } from "node:events";
import net from "node:net";
import type { AddressInfo } from "node:net";
import { test } from "node:test";
import { createStoreClient, StoreReplyKind } from "../platform/store_client.ts";
import { startStoreStandin } from "../standins/store_standin.ts";

/** Undisturbed time after which the users' bounds hold for a VM. */
const IDLE_MS = 3_000;
/**
 * What is left of the two seconds in which a leaving server must be known once
 * a hub has been silent for 900 ms, a beat of 250 ms and a look of 200 ms.
 */
const READ_LIMIT_MS = 650;

/** Wait of a read that is longer than a connection may be idle. */
const LONG_WAIT_MS = 2_500;

/** A store that answers the first call of each connection alone. */
async function startForgetfulStore(): Promise<net.Server> {
  const body = JSON.stringify({ items: [], HasMore: false, End: 0 });
  const head = `HTTP/1.1 200 OK\r\ncontent-length: ${body.length}\r\n\r\n`;
  const server = net.createServer((socket) => {
    socket.on("error", () => socket.destroy());
    socket.once("data", () => socket.write(head + body));
  });
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  return server;
}

// Guards against a follower that reads the store too late when its hub is lost.
test("a connection to the store that went silent while idle costs no time", async () => {
  const server = await startForgetfulStore();
  const { port } = server.address() as AddressInfo;
  const store = createStoreClient({ host: "127.0.0.1", port });
  try {
    const first = await store.listNewest("keyed.servers");
    assert.equal(first.kind, StoreReplyKind.Done);
    await new Promise((resolve) => setTimeout(resolve, IDLE_MS));
    const startedAt = performance.now();
    const second = await store.listNewest("keyed.servers");
    assert.equal(second.kind, StoreReplyKind.Done);
    assert.ok(performance.now() - startedAt < READ_LIMIT_MS);
  } finally {
    store.close();
    server.close();
  }
});

test("a read that waits for long keeps its connection", async () => {
  const standin = await startStoreStandin();
  const store = createStoreClient({ host: "127.0.0.1", port: standin.port });
  try {
    const read = await store.readFrom("keyed.servers", 0, LONG_WAIT_MS);
    assert.equal(read.kind, StoreReplyKind.Done);
  } finally {
    store.close();
    await standin.close();
  }
});
