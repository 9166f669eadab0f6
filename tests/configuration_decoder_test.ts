import assert from "node:assert/strict";
import { test } from "node:test";
import { decodeConfiguration } from "../platform/configuration_decoder.ts";
import { FLEET_CODEC } from "../src/protocols/fleet/message_codec.ts";
import { DocumentUpdateKind } from "../src/services/feed/source.ts";
import { FleetMessageKind } from "../src/services/fleet/mod.ts";

/** Fields of a service, and the limit that they request. */
const CASES: [string, object, object | undefined][] = [
  ["no limit", {}, undefined],
  ["a limit of 0", { WarmupPerS: 0, ColdStart: "3s" }, undefined],
  ["a limit", { WarmupPerS: 3.8, ColdStart: "3s" }, {
    perSecond: 3.8,
    coldMs: 3_000,
  }],
  ["a limit without a cold time", { WarmupPerS: 3.8 }, {
    perSecond: 3.8,
    coldMs: 0,
  }],
];

for (const [name, fields, expected] of CASES) {
  // Guards against a limit that followers don't get from their hub.
  test(`the warm-up limit is decoded and relayed given ${name}`, () => {
    const configuration = {
      Version: "1",
      Routes: [],
      Services: [{ Name: "rota", ...fields }],
      Limits: {
        MaxHeaderBytes: 1,
        MaxBodyBytes: 1,
        HeaderTimeout: "1s",
        IdleTimeout: "1s",
      },
    };
    const bytes = Buffer.from(JSON.stringify(configuration));
    const update = decodeConfiguration(bytes, 1, "cell");
    assert.ok(update.kind === DocumentUpdateKind.Readable);
    const { document } = update;
    const kind = FleetMessageKind.Document;
    const message = FLEET_CODEC.decode(FLEET_CODEC.encode({ kind, document }));
    assert.ok(message?.kind === kind);
    assert.deepEqual(message.document.services[0]?.warmUp, expected);
  });
}
