import assert from "node:assert/strict";
import { test } from "node:test";
import { decodeConfiguration } from "../platform/configuration_decoder.ts";
import { RouteAccess } from "../src/model/mod.ts";
import type { ConfigurationDocument } from "../src/model/mod.ts";
import { FLEET_CODEC } from "../src/protocols/fleet/message_codec.ts";
import { DocumentUpdateKind } from "../src/services/feed/source.ts";
import { FleetMessageKind } from "../src/services/fleet/mod.ts";

/** Sends the document of a configuration with `fields` to a follower. */
function sendDocument(fields: object): ConfigurationDocument {
  const configuration = {
    Version: "1",
    Routes: [],
    Services: [],
    Limits: {
      MaxHeaderBytes: 1,
      MaxBodyBytes: 1,
      HeaderTimeout: "1s",
      IdleTimeout: "1s",
    },
    ...fields,
  };
  const bytes = Buffer.from(JSON.stringify(configuration));
  const update = decodeConfiguration(bytes, 1, "cell");
  assert.ok(update.kind === DocumentUpdateKind.Readable);
  const { document } = update;
  const kind = FleetMessageKind.Document;
  const message = FLEET_CODEC.decode(FLEET_CODEC.encode({ kind, document }));
  assert.ok(message?.kind === kind);
  return message.document;
}

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
    const document = sendDocument({
      Services: [{ Name: "rota", ...fields }],
    });
    assert.deepEqual(document.services[0]?.warmUp, expected);
  });
}

/** Fields of a configuration and of its route, and who may use the route. */
const ACCESS_CASES: [string, object, object, RouteAccess][] = [
  ["no list of tenants", {}, {}, RouteAccess.Open],
  ["an empty list of tenants", { Tenants: [] }, {}, RouteAccess.TeamBound],
  [
    "a tenant without keys",
    { Tenants: [{ Name: "huka", ApiKeys: [] }] },
    {},
    RouteAccess.TeamBound,
  ],
  [
    "an empty list of tenants and a public route",
    { Tenants: [] },
    { Public: true },
    RouteAccess.Open,
  ],
];

for (const [name, fields, routeFields, expected] of ACCESS_CASES) {
  // Guards against requests with unknown or withdrawn keys that run once the
  // last tenant is removed, as if the configuration did not use keys.
  test(`the access of a route is decoded and relayed given ${name}`, () => {
    const route = {
      Name: "turns",
      Host: "rota.example",
      PathPrefix: "/turns/",
      Kind: "safe",
      Timeout: "1s",
      Service: "rota",
      ...routeFields,
    };
    const document = sendDocument({ Routes: [route], ...fields });
    assert.equal(document.routes[0]?.access, expected);
  });
}
