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

/** Nesting that a parser by recursion has no stack for. */
const DEEP = "[".repeat(100_000) + "]".repeat(100_000);

/** Fields that are of the right type and yet name nothing that can be used. */
const ODD_FIELDS: Record<string, unknown> = {
  "a port out of range": { Address: "10.0.0.1:70000" },
  "no port": { Address: "10.0.0.1:0" },
  "a host with a line end": { Address: "10.0.0.1\n:80" },
  "a host with a NUL byte": { Address: "10.0.0.1\0:80" },
  "more slots than connections": { Slots: 1e15 },
  "a sequence that no start reaches": { Sequence: 2 ** 52 },
  "a start in another unit than milliseconds": { born: 1e15 },
  "a start before all time": { born: -1 },
  "a cold time without end": { ColdRemaining: "9".repeat(400) + "s" },
};

for (const [name, fields] of Object.entries(ODD_FIELDS)) {
  // Guards against another writer's entry that outlasts or outranks servers.
  test(`an entry with ${name} names no server`, () => {
    const update = decodeEntry({ ...ENTRY, ...fields as object });
    assert.equal(update.kind, ServerUpdateKind.Unreadable);
  });
}

// Guards against an id that can't be sent to a server in a header field.
test("an entry under an id with a line end names no server", () => {
  const value = Buffer.from(JSON.stringify(ENTRY));
  const update = decodeServerRecord({ offset: 1, key: "i\n1", value });
  assert.equal(update.kind, ServerUpdateKind.Unreadable);
});

// Guards against an entry at which a reader of the list ends.
test("deep nesting and numbers without end are read as what they are", () => {
  const text = JSON.stringify(ENTRY);
  const values = [DEEP, `{"a":${DEEP}}`, text.replace("4", "1e999")];
  for (const field of Object.keys(ENTRY)) {
    values.push(
      JSON.stringify({ ...ENTRY, [field]: "X" }).replace('"X"', DEEP),
    );
  }
  for (const text of values) {
    const value = Buffer.from(text);
    const update = decodeServerRecord({ offset: 1, key: "i-1", value });
    assert.equal(update.kind, ServerUpdateKind.Unreadable);
  }
  const beside = Buffer.from(`${text.slice(0, -1)},"more":${DEEP}}`);
  const update = decodeServerRecord({ offset: 1, key: "i-1", value: beside });
  assert.equal(update.kind, ServerUpdateKind.Listed);
});
