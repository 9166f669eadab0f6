import assert from "node:assert/strict";
import { once } from "node:events";
import net from "node:net";
import type { AddressInfo } from "node:net";
import { test } from "node:test";
import {
  createStoreClient,
  StoreResultKind,
} from "../platform/store_client.ts";
import { startStoreStandin } from "../standins/store_standin.ts";

/**
 * Idle time of a connection, in milliseconds; after as long without faults, the
 * users' bounds apply to a VM again.
 */
const IDLE_MS = 3_000;
/**
 * Time left for a read of the store, out of the two seconds within which VMs
 * must learn that a server leaves: an unresponsive hub takes up 900 ms, the
 * heartbeat interval 250 ms and the interval of the hub check 200 ms.
 */
const READ_LIMIT_MS = 650;

/** Wait of a read that exceeds the idle limit of a connection. */
const LONG_WAIT_MS = 2_500;

const EMPTY_PAGE = JSON.stringify({ items: [], HasMore: false, End: 0 });

/** Starts a store that responds only to the first call on each connection. */
async function startOneResponseStore(body = EMPTY_PAGE): Promise<net.Server> {
  const head = `HTTP/1.1 200 OK\r\ncontent-length: ${body.length}\r\n\r\n`;
  const server = net.createServer((socket) => {
    socket.on("error", () => socket.destroy());
    socket.once("data", () => socket.write(head + body));
  });
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  return server;
}

// Guards against a follower that reads the store too late after losing its hub.
test("a store connection that was lost while idle delays no call", async () => {
  const server = await startOneResponseStore();
  const { port } = server.address() as AddressInfo;
  const store = createStoreClient({ host: "127.0.0.1", port });
  try {
    const first = await store.listNewest("keyed.servers");
    assert.equal(first.kind, StoreResultKind.Done);
    await new Promise((resolve) => setTimeout(resolve, IDLE_MS));
    const startedAt = performance.now();
    const second = await store.listNewest("keyed.servers");
    assert.equal(second.kind, StoreResultKind.Done);
    assert.ok(performance.now() - startedAt < READ_LIMIT_MS);
  } finally {
    store.close();
    server.close();
  }
});

test("a read that waits beyond the idle limit keeps its connection", async () => {
  const standin = await startStoreStandin();
  const store = createStoreClient({ host: "127.0.0.1", port: standin.port });
  try {
    const read = await store.readFrom("keyed.servers", 0, LONG_WAIT_MS);
    assert.equal(read.kind, StoreResultKind.Done);
  } finally {
    store.close();
    await standin.close();
  }
});

const ITEM = { Key: "config", Value: "e30=", Offset: 0 };
const MALFORMED_PAGES: readonly unknown[] = [
  {},
  null,
  [],
  7,
  { HasMore: false, End: 0 },
  { items: null, HasMore: false, End: 0 },
  { items: {}, HasMore: false, End: 0 },
  { items: [null], HasMore: false, End: 1 },
  { items: ["config"], HasMore: false, End: 1 },
  { items: [{ ...ITEM, Key: 1 }], HasMore: false, End: 1 },
  { items: [{ ...ITEM, Value: 1 }], HasMore: false, End: 1 },
  { items: [{ ...ITEM, Offset: "0" }], HasMore: false, End: 1 },
  { items: [{ ...ITEM, Offset: -1 }], HasMore: false, End: 1 },
  { items: [ITEM], HasMore: false },
  { items: [ITEM], HasMore: false, End: 0.5 },
  { items: [], HasMore: true, End: 1 },
];

// Guards against a page that ends the task that reads: the promise rejected.
test("a malformed page of the newest records is a failed read", async () => {
  for (const page of MALFORMED_PAGES) {
    const server = await startOneResponseStore(JSON.stringify(page));
    const { port } = server.address() as AddressInfo;
    const store = createStoreClient({ host: "127.0.0.1", port });
    try {
      const read = await store.listNewest("keyed.op");
      assert.equal(read.kind, StoreResultKind.Lost, JSON.stringify(page));
    } finally {
      store.close();
      server.close();
    }
  }
});

// Guards against reads in a loop without a pause, which found no record each.
test("a read of part of one record is a failed read", async () => {
  const server = await startOneResponseStore(`${"\0".repeat(18)}\x07abc`);
  const { port } = server.address() as AddressInfo;
  const store = createStoreClient({ host: "127.0.0.1", port });
  try {
    const read = await store.readFrom("keyed.op", 0, 0);
    assert.equal(read.kind, StoreResultKind.Lost);
  } finally {
    store.close();
    server.close();
  }
});
