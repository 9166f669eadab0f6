import assert from "node:assert/strict";
import { test } from "node:test";
import { ServerPhase } from "../../model/mod.ts";
import { Configuration } from "../configuration/mod.ts";
import type { Clock } from "../clock/mod.ts";
import type { Logger } from "../logging/mod.ts";
import { ServerRegistry } from "./server_registry.ts";
import { ServerOrigin, ServerUpdateKind } from "./source.ts";
import type { ServerEntry, ServerUpdate } from "./source.ts";

const logger: Logger = {
  debug: () => {},
  info: () => {},
  warn: () => {},
  error: () => {},
};
const clock: Clock = {
  now: () => 0,
  wallNow: () => 0,
  startTimer: () => () => {},
  sleep: () => Promise.resolve(),
};

interface Fixture {
  readonly registry: ServerRegistry;
  readonly configuration: Configuration;
  /** Lists the servers of the configuration with their phases. */
  list(): string[];
}

function createFixture(): Fixture {
  const configuration = new Configuration("cell", clock);
  const registry = new ServerRegistry({ configuration, logger });
  return {
    registry,
    configuration,
    list: () =>
      [...configuration.state.servers.values()]
        .map(({ id, phase }) => `${id} ${phase}`),
  };
}

interface EntryOptions {
  readonly sequence: number;
  readonly phase?: ServerPhase;
  readonly startedAt?: number;
  readonly id?: string;
  readonly coldMs?: number;
}

function createEntry(options: EntryOptions): ServerEntry {
  return {
    server: {
      id: options.id ?? "s1",
      service: "rota",
      host: "10.0.0.1",
      port: 80,
      failureDomain: "a",
      slots: 4,
      phase: options.phase ?? ServerPhase.Active,
      coldMs: options.coldMs ?? 0,
    },
    startedAt: options.startedAt ?? 1,
    sequence: options.sequence,
  };
}

function createListed(
  offset: number,
  options: EntryOptions,
): Extract<ServerUpdate, { kind: ServerUpdateKind.Listed }> {
  return { kind: ServerUpdateKind.Listed, offset, entry: createEntry(options) };
}

const removed = (offset: number, id = "s1"): ServerUpdate => ({
  kind: ServerUpdateKind.Removed,
  offset,
  id,
});

test("an entry written late does not reactivate a draining server", () => {
  const { registry, list } = createFixture();
  registry.apply(createListed(0, { sequence: 4 }), 0);
  registry.apply(
    createListed(1, { sequence: 5, phase: ServerPhase.Draining }),
    0,
  );
  registry.apply(createListed(2, { sequence: 4 }), 0);
  assert.deepEqual(list(), ["s1 draining"]);
});

test("an entry written late does not add a removed server again", () => {
  const { registry, list } = createFixture();
  registry.apply(createListed(0, { sequence: 4 }), 0);
  registry.apply(removed(1), 0);
  registry.apply(createListed(2, { sequence: 4 }), 0);
  assert.deepEqual(list(), []);
  registry.apply(createListed(3, { sequence: 5 }), 0);
  assert.deepEqual(list(), ["s1 active"]);
});

test("a server that restarts under the same id is a new one", () => {
  const { registry, list } = createFixture();
  registry.apply(
    createListed(0, { sequence: 9, phase: ServerPhase.Draining }),
    0,
  );
  registry.apply(createListed(1, { sequence: 1, startedAt: 2 }), 0);
  assert.deepEqual(list(), ["s1 active"]);
});

test("an unreadable entry removes its own server and no other", () => {
  const { registry, list } = createFixture();
  registry.apply(createListed(0, { sequence: 4 }), 0);
  registry.apply({
    kind: ServerUpdateKind.Unreadable,
    offset: 1,
    id: "s2",
    reason: "no JSON",
  }, 0);
  assert.deepEqual(list(), ["s1 active"]);
  registry.apply({
    kind: ServerUpdateKind.Unreadable,
    offset: 2,
    id: "s1",
    reason: "no JSON",
  }, 0);
  assert.deepEqual(list(), []);
});

test("an entry that expired in an outage may be written again for two seconds", () => {
  const { registry, list } = createFixture();
  registry.apply(createListed(0, { sequence: 4 }), 0);
  registry.recordOutageEnd(10_000);
  registry.apply(removed(1), 10_000);
  registry.removeExpired(11_900);
  assert.deepEqual(list(), ["s1 active"]);
  registry.apply(createListed(2, { sequence: 5 }), 11_950);
  registry.removeExpired(20_000);
  assert.deepEqual(list(), ["s1 active"]);
});

test("an entry that is not written again after an outage is removed", () => {
  const { registry, list } = createFixture();
  registry.apply(createListed(0, { sequence: 4 }), 0);
  registry.recordOutageEnd(10_000);
  registry.apply(removed(1), 10_000);
  registry.removeExpired(13_000);
  assert.deepEqual(list(), []);
});

test("an earlier state does not overwrite a later one", () => {
  const { registry, list } = createFixture();
  registry.apply(createListed(7, { sequence: 4 }), 0);
  registry.apply(removed(8), 0);
  registry.replaceAll(
    [createListed(4, { sequence: 4 })],
    5,
    0,
    ServerOrigin.Store,
  );
  assert.deepEqual(list(), []);
});

test("a server that left while the store rejected this VM is removed at once", () => {
  const { registry, list } = createFixture();
  for (const [offset, id] of ["s1", "s2", "s3", "s4"].entries()) {
    registry.apply(createListed(offset, { sequence: 1, id }), 0);
  }
  registry.recordOutageEnd(10_000);
  registry.apply(removed(4, "s1"), 10_000);
  registry.removeFewExpired();
  assert.deepEqual(list(), ["s2 active", "s3 active", "s4 active"]);
});

test("servers that expire together in an outage are retained for a while", () => {
  const { registry, list } = createFixture();
  for (const [offset, id] of ["s1", "s2", "s3", "s4"].entries()) {
    registry.apply(createListed(offset, { sequence: 1, id }), 0);
  }
  registry.recordOutageEnd(10_000);
  registry.replaceAll(
    [createListed(8, { sequence: 2, id: "s4" })],
    9,
    10_000,
    ServerOrigin.Store,
  );
  registry.removeFewExpired();
  assert.equal(list().length, 4);
  registry.removeExpired(12_300);
  assert.deepEqual(list(), ["s4 active"]);
});

test("the digest depends on the servers alone, not on the order of changes", () => {
  const { registry } = createFixture();
  const empty = registry.computeDigest();
  registry.apply(createListed(1, { sequence: 1 }), 0);
  const one = registry.computeDigest();
  assert.notEqual(one, empty);
  registry.apply(createListed(2, { sequence: 2 }), 0);
  assert.equal(registry.computeDigest(), one, "a heartbeat changes nothing");
  const draining = { sequence: 3, phase: ServerPhase.Draining };
  registry.apply(createListed(3, draining), 0);
  assert.notEqual(registry.computeDigest(), one);
  registry.apply(createListed(4, { sequence: 4 }), 0);
  assert.equal(registry.computeDigest(), one);
  registry.apply(createListed(5, { id: "s2", sequence: 1 }), 0);
  registry.apply({ kind: ServerUpdateKind.Removed, offset: 6, id: "s1" }, 0);
  const other = createFixture().registry;
  other.apply(createListed(1, { id: "s2", sequence: 7 }), 0);
  assert.equal(registry.computeDigest(), other.computeDigest());
});

// Guards against an older list of another VM that overwrites newer state.
test("the list of a VM that has read less adds no removed server", () => {
  const { registry, list } = createFixture();
  registry.setRelayed(createListed(1, { sequence: 1 }), 0);
  registry.replaceAll([], 20, 0, ServerOrigin.Store);
  // The other VM has read heartbeats that were not relayed to this one.
  const heartbeat = createListed(15, { sequence: 9 });
  registry.replaceAll([heartbeat], 18, 0, ServerOrigin.HubList);
  assert.deepEqual(list(), []);
  registry.setRelayed(heartbeat, 0);
  assert.deepEqual(list(), []);
});

test("the list of a VM that has read less removes no server that joined", () => {
  const { registry, list } = createFixture();
  registry.apply(createListed(30, { sequence: 1 }), 0);
  registry.replaceAll([], 20, 0, ServerOrigin.HubList);
  assert.deepEqual(list(), ["s1 active"]);
});

test("a server that was never listed here is not set by an older change", () => {
  const { registry, list } = createFixture();
  registry.apply(removed(20), 0);
  registry.setRelayed(createListed(15, { sequence: 3 }), 0);
  assert.deepEqual(list(), []);
});

test("the list of a VM that has read less still sets a server to draining", () => {
  const { registry, list } = createFixture();
  // A late entry, read by a VM that has just started.
  registry.replaceAll(
    [createListed(30, { sequence: 4 })],
    30,
    0,
    ServerOrigin.Store,
  );
  const draining = { sequence: 5, phase: ServerPhase.Draining };
  const listing = createListed(28, draining);
  registry.replaceAll([listing], 29, 0, ServerOrigin.HubList);
  assert.deepEqual(list(), ["s1 draining"]);
});

test("a relayed removal contains the version by which late entries are rejected", () => {
  const { registry, list } = createFixture();
  registry.setRelayed(createListed(1, { sequence: 1 }), 0);
  registry.removeRelayed(
    { id: "s1", offset: 30, startedAt: 1, sequence: 20 },
    0,
  );
  registry.apply(createListed(31, { sequence: 19 }), 0);
  assert.deepEqual(list(), []);
  registry.apply(createListed(32, { sequence: 21 }), 0);
  assert.deepEqual(list(), ["s1 active"]);
});

/** Entries of one start: time of the read, remaining cold time, when it ends. */
const COLD_ENTRIES: [number, number, number][] = [
  [100, 3_000, 3_100],
  [1_620, 1_500, 3_100],
  [3_110, 0, 3_100],
  [20_000, 3_000, 23_000],
  [21_520, 1_480, 23_000],
  [22_000, 3_000, 25_000],
];

// Guards against a server that is cold again, while it serves, and gets as many
// requests as before; and against one whose repeated entries keep it cold.
test("a server is cold again when its remaining cold time rises", () => {
  const { registry, configuration } = createFixture();
  const relayed: number[] = [];
  registry.setListener({
    recordSet: ({ offset }) => void relayed.push(offset),
    recordRemoved: () => {},
    recordReplaced: () => {},
  });
  for (const [sequence, [now, coldMs, until]] of COLD_ENTRIES.entries()) {
    registry.apply(createListed(sequence, { sequence, coldMs }), now);
    const server = configuration.state.servers.get("s1");
    assert.equal((server?.listedAt ?? 0) + (server?.coldMs ?? 0), until);
  }
  assert.deepEqual(relayed, [0, 3, 5]);
});
