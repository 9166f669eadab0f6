import assert from "node:assert/strict";
import { once } from "node:events";
import http from "node:http";
import type { AddressInfo } from "node:net";
import { test } from "node:test";
import {
  createStoreClient,
  StoreResultKind,
} from "../platform/store_client.ts";
import type { KeyedRecords, StoreClient } from "../platform/store_client.ts";
import type { StoreResult } from "../platform/store_client.ts";
import { createVmDirectory } from "../platform/vm_directory.ts";
import { createPosition } from "../src/model/mod.ts";
import { FeedReadKind } from "../src/services/feed/source.ts";
import { startStoreStandin, StoreMode } from "../standins/store_standin.ts";
import type { StoreStandin } from "../standins/store_standin.ts";

const TOPIC = "keyed.op";
/** Age of a copy that contains nothing of what a test wrote. */
const EMPTY_COPY_MS = 60_000;
/** Wait of a read that only a new era can end in time. */
const LONG_WAIT_MS = 20_000;

async function runWithStore(
  run: (store: StoreClient, standin: StoreStandin) => Promise<void>,
): Promise<void> {
  const standin = await startStoreStandin();
  const store = createStoreClient({ host: "127.0.0.1", port: standin.port });
  try {
    await run(store, standin);
  } finally {
    store.close();
    await standin.close();
  }
}

function getDone(result: StoreResult<KeyedRecords>): KeyedRecords {
  assert.equal(result.kind, StoreResultKind.Done);
  if (result.kind !== StoreResultKind.Done) throw new Error("not done");
  return result.value;
}

test("positions of a new era are after all positions of the earlier one", async () => {
  await runWithStore(async (store, standin) => {
    standin.put(TOPIC, "config", "1");
    standin.put(TOPIC, "config", "2");
    const before = getDone(await store.listNewest(TOPIC));
    assert.equal(before.next, 2);
    standin.restoreCopy(EMPTY_COPY_MS);
    standin.put(TOPIC, "config", "3");
    const after = getDone(await store.listNewest(TOPIC));
    assert.equal(after.next, createPosition(1, 1));
    assert.equal(after.records[0]?.offset, createPosition(1, 0));
    standin.put(TOPIC, "config", "4");
    const read = getDone(await store.readFrom(TOPIC, after.next, 0));
    assert.equal(read.records[0]?.offset, createPosition(1, 1));
    assert.equal(read.next, createPosition(1, 2));
  });
});

// Guards against a record that is missed because an offset was assigned again.
test("an offset of the earlier era is not used in the new one", async () => {
  await runWithStore(async (store, standin) => {
    standin.put(TOPIC, "config", "1");
    const { next } = getDone(await store.listNewest(TOPIC));
    standin.restoreCopy(EMPTY_COPY_MS);
    standin.put(TOPIC, "config", "2");
    standin.put(TOPIC, "evacuate/a", "{}");
    const read = await store.readFrom(TOPIC, next, 0);
    assert.equal(read.kind, StoreResultKind.EraChanged);
    const { calls } = standin;
    const again = await store.readFrom(TOPIC, next, 0);
    assert.equal(again.kind, StoreResultKind.EraChanged);
    assert.equal(standin.calls, calls);
  });
});

const NEW_ERA_ANSWERS: Record<
  string,
  (store: StoreClient, standin: StoreStandin) => Promise<unknown>
> = {
  "a read of another topic": (store) => store.listNewest("keyed.servers"),
  "an append": (store) => store.append("keyed.vms", "vm-1", Buffer.from("{}")),
  "a refusal": (store, standin) => {
    standin.mode = StoreMode.Busy;
    return store.listNewest("keyed.servers");
  },
  "a read from an offset that is gone": (store) =>
    store.readFrom("keyed.servers", 7, 0),
};

for (const [answer, call] of Object.entries(NEW_ERA_ANSWERS)) {
  test(`${answer} shows the new era and ends waiting reads`, async () => {
    await runWithStore(async (store, standin) => {
      standin.put("keyed.servers", "i-0", "{}");
      const { next } = getDone(await store.listNewest(TOPIC));
      const changes: unknown[] = [];
      store.eras.addListener((change) => void changes.push(change));
      const waiting = store.readFrom(TOPIC, next, LONG_WAIT_MS);
      standin.startEra();
      await call(store, standin);
      assert.deepEqual(changes, [{ earlier: 0, era: 1 }]);
      assert.equal((await waiting).kind, StoreResultKind.EraChanged);
    });
  });
}

test("an append whose response is lost across the change is tried again", async () => {
  await runWithStore(async (store, standin) => {
    const directory = createVmDirectory(store);
    const vm = {
      name: "vm-1",
      incarnation: 1,
      failureDomain: "a",
      callerAddress: "127.0.0.1:1",
      peerAddress: "127.0.0.1:2",
      capacity: 1,
    };
    standin.mode = StoreMode.LoseResponses;
    assert.equal(await directory.announce(vm), false);
    standin.restoreCopy(EMPTY_COPY_MS);
    standin.mode = StoreMode.Up;
    assert.equal(await directory.announce(vm), true);
    const read = await directory.readNewest();
    assert.equal(read.kind, FeedReadKind.Updates);
    if (read.kind !== FeedReadKind.Updates) return;
    assert.equal(read.updates.length, 1);
  });
});

/** Answers every call with an empty page and the next one of `eras`. */
async function startErasServer(
  eras: readonly (string | undefined)[],
): Promise<http.Server> {
  const remaining = [...eras];
  const server = http.createServer((_request, response) => {
    const era = remaining.shift();
    if (era !== undefined) response.setHeader("Store-Era", era);
    response.end(JSON.stringify({ items: [], HasMore: false, End: 0 }));
  });
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  return server;
}

test("an answer of an earlier era is discarded, and a malformed one is no answer", async () => {
  const expected: [string | undefined, StoreResultKind][] = [
    ["2", StoreResultKind.Done],
    ["1", StoreResultKind.EraChanged],
    [undefined, StoreResultKind.EraChanged],
    ["x", StoreResultKind.Lost],
    ["-1", StoreResultKind.Lost],
    ["99999999", StoreResultKind.Lost],
    ["2", StoreResultKind.Done],
    ["3", StoreResultKind.Done],
  ];
  const server = await startErasServer(expected.map(([era]) => era));
  const { port } = server.address() as AddressInfo;
  const store = createStoreClient({ host: "127.0.0.1", port });
  try {
    for (const [era, kind] of expected) {
      const result = await store.listNewest(TOPIC);
      assert.equal(result.kind, kind, era);
    }
    assert.equal(store.eras.current, 3);
  } finally {
    store.close();
    server.close();
  }
});
