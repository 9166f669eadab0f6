import assert from "node:assert/strict";
import { test } from "node:test";
import { pack, unpack } from "msgpackr";
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
