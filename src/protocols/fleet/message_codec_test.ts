import assert from "node:assert/strict";
import { test } from "node:test";
import { pack, unpack } from "msgpackr";
import { createPosition, ERA_MAX, ERA_OFFSET_MAX } from "../../model/mod.ts";
import { FleetMessageKind } from "../../services/fleet/message.ts";
import type { FleetMessage } from "../../services/fleet/message.ts";
import { FLEET_CODEC } from "./message_codec.ts";

const LOAD: FleetMessage = {
  kind: FleetMessageKind.Load,
  load: [{ server: "s1", inFlight: 3 }, { server: "s2", inFlight: 0 }],
};

test("a decoded load message equals the encoded one", () => {
  assert.deepEqual(FLEET_CODEC.decode(FLEET_CODEC.encode(LOAD)), LOAD);
});

// Guards against positions that are rejected or rounded: with an era, they need
// more than 32 bits.
test("positions of a late era and versions of 13 digits are exact", () => {
  const offset = createPosition(ERA_MAX, ERA_OFFSET_MAX);
  const servers: FleetMessage = {
    kind: FleetMessageKind.Servers,
    offset,
    listings: [],
    tombstones: [{ id: "s1", offset: offset - 1, startedAt: 1, sequence: 2 }],
  };
  const report: FleetMessage = {
    kind: FleetMessageKind.DomainReport,
    version: 2 ** 52 - 1,
    usage: [],
    vms: undefined,
    vmChanges: undefined,
  };
  for (const message of [servers, report]) {
    const decoded = FLEET_CODEC.decode(FLEET_CODEC.encode(message));
    assert.deepEqual(decoded, message);
  }
});

for (
  const load of [
    undefined,
    "s1",
    [["s1"]],
    [["s1", 1, 2]],
    [[1, "s1"]],
    [["s1", 0.5]],
    [["s1", -1]],
    [["s".repeat(256), 1]],
    [{ server: "s1", inFlight: 1 }],
  ]
) {
  test(`a load message with the list ${JSON.stringify(load)?.slice(0, 20)} is rejected`, () => {
    const sent = unpack(FLEET_CODEC.encode(LOAD));
    const bytes = pack({ ...sent, load });
    assert.equal(FLEET_CODEC.decode(bytes), undefined);
  });
}
