import assert from "node:assert/strict";
import { test } from "node:test";
import { decodeServerRecord } from "../platform/server_decoder.ts";
import { ServerUpdateKind } from "../src/services/feed/source.ts";
import type { ServerUpdate } from "../src/services/feed/source.ts";

const ENTRY = {
  Service: "rota",
  Address: "10.0.0.1:80",
  Zone: "a",
  Version: "v1",
  Slots: 4,
  State: "ready",
  ColdRemaining: "0ms",
  Sequence: 1,
  born: 1,
};

function decodeEntry(entry: object): ServerUpdate {
  const value = Buffer.from(JSON.stringify(entry));
  return decodeServerRecord({ offset: 1, key: "i-1", value });
}

test("an entry with all of its fields names a server", () => {
  const update = decodeEntry(ENTRY);
  assert.equal(update.kind, ServerUpdateKind.Listed);
});

test("an entry of a server that does not tell its start names it", () => {
  const { born: _born, ...entry } = ENTRY;
  assert.equal(decodeEntry(entry).kind, ServerUpdateKind.Listed);
});

for (const field of Object.keys(ENTRY).filter((name) => name !== "born")) {
  // Guards against another writer's entry that makes a leaving server usable.
  test(`an entry without ${field} names no server`, () => {
    const update = decodeEntry({ ...ENTRY, [field]: undefined });
    assert.equal(update.kind, ServerUpdateKind.Unreadable);
  });
}

for (const field of Object.keys(ENTRY)) {
  test(`an entry whose ${field} is of another type names no server`, () => {
    const update = decodeEntry({ ...ENTRY, [field]: [] });
    assert.equal(update.kind, ServerUpdateKind.Unreadable);
  });
}
