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

test("an entry with all fields is accepted", () => {
  const update = decodeEntry(ENTRY);
  assert.equal(update.kind, ServerUpdateKind.Listed);
});

test("an entry without the start time of its server is accepted", () => {
  const { born: _born, ...entry } = ENTRY;
  assert.equal(decodeEntry(entry).kind, ServerUpdateKind.Listed);
});

for (const field of Object.keys(ENTRY).filter((name) => name !== "born")) {
  // Guards against an incomplete entry, written by another client, that makes a
  // draining server usable again.
  test(`an entry without ${field} is rejected`, () => {
    const update = decodeEntry({ ...ENTRY, [field]: undefined });
    assert.equal(update.kind, ServerUpdateKind.Unreadable);
  });
}

for (const field of Object.keys(ENTRY)) {
  test(`an entry whose ${field} has the wrong type is rejected`, () => {
    const update = decodeEntry({ ...ENTRY, [field]: [] });
    assert.equal(update.kind, ServerUpdateKind.Unreadable);
  });
}

/** JSON nested so deeply that a recursive parser overflows its stack. */
const DEEP_JSON = "[".repeat(100_000) + "]".repeat(100_000);

/** Fields of the right type with unusable values. */
const UNUSABLE_FIELDS: Record<string, unknown> = {
  "a port out of range": { Address: "10.0.0.1:70000" },
  "no port": { Address: "10.0.0.1:0" },
  "a host with a line break": { Address: "10.0.0.1\n:80" },
  "a host with a NUL byte": { Address: "10.0.0.1\0:80" },
  "more slots than possible connections": { Slots: 1e15 },
  "a sequence number that no server reaches": { Sequence: 2 ** 52 },
  "a start time in microseconds": { born: 1e15 },
  "a negative start time": { born: -1 },
  "an infinite cold time": { ColdRemaining: "9".repeat(400) + "s" },
};

for (const [name, fields] of Object.entries(UNUSABLE_FIELDS)) {
  // Guards against an entry, written by another client, that never expires or
  // is preferred to those of real servers.
  test(`an entry with ${name} is rejected`, () => {
    const update = decodeEntry({ ...ENTRY, ...fields as object });
    assert.equal(update.kind, ServerUpdateKind.Unreadable);
  });
}

// Guards against an id that can't be sent to the server in a header field.
test("an entry whose id contains a line break is rejected", () => {
  const value = Buffer.from(JSON.stringify(ENTRY));
  const update = decodeServerRecord({ offset: 1, key: "i\n1", value });
  assert.equal(update.kind, ServerUpdateKind.Unreadable);
});

// Guards against an entry whose decoding throws and thereby ends the reader.
test("deeply nested and infinite values are rejected, unknown fields ignored", () => {
  const text = JSON.stringify(ENTRY);
  const values = [DEEP_JSON, `{"a":${DEEP_JSON}}`, text.replace("4", "1e999")];
  for (const field of Object.keys(ENTRY)) {
    values.push(
      JSON.stringify({ ...ENTRY, [field]: "X" }).replace('"X"', DEEP_JSON),
    );
  }
  for (const text of values) {
    const value = Buffer.from(text);
    const update = decodeServerRecord({ offset: 1, key: "i-1", value });
    assert.equal(update.kind, ServerUpdateKind.Unreadable);
  }
  const value = Buffer.from(`${text.slice(0, -1)},"more":${DEEP_JSON}}`);
  const update = decodeServerRecord({ offset: 1, key: "i-1", value });
  assert.equal(update.kind, ServerUpdateKind.Listed);
});
