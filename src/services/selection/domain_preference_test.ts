import assert from "node:assert/strict";
import { test } from "node:test";
import { SILENT_LOGGER } from "../../../standins/silent_logger.ts";
import { VirtualClock, VirtualTime } from "../../../standins/virtual_clock.ts";
import { ServerPhase } from "../../model/mod.ts";
import { Configuration } from "../configuration/mod.ts";
import { EjectionState } from "../detector/mod.ts";
import type { Detector } from "../detector/mod.ts";
import { Metrics } from "../metrics/mod.ts";
import { createSeededRandom } from "../random/mod.ts";
import { ServerNotices } from "../server_notices/mod.ts";
import { NO_WARM_UP } from "../warm_up/mod.ts";
import { FailureImpact, Selection } from "./mod.ts";

const SLOTS = 2;
const SERVERS_PER_DOMAIN = 3;
const DOMAINS = ["a", "b", "c"];
const LOCAL_DOMAIN = "a";
const REQUESTS = 400;
const LATENCY_MS = 250;

/** Returns the share of requests that leave the domain `a`, 0 to 1. */
function measureLeavingShare(inFlight: Record<string, number>): number {
  const clock = new VirtualClock(new VirtualTime());
  const configuration = new Configuration("cell", clock);
  for (const failureDomain of DOMAINS) {
    for (let index = 0; index < SERVERS_PER_DOMAIN; index += 1) {
      configuration.setServer({
        id: `${failureDomain}${index}`,
        service: "rota",
        host: "h",
        port: index,
        failureDomain,
        slots: SLOTS,
        phase: ServerPhase.Active,
        revision: 1,
      });
    }
  }
  const detector: Partial<Detector> = {
    getEjectionState: () => EjectionState.Admitted,
    isSuspect: () => false,
    getFailureProbability: () => 0,
    getAdmittedMs: () => Infinity,
  };
  const selection = new Selection({
    configuration,
    detector: detector as Detector,
    notices: new ServerNotices({
      clock,
      metrics: new Metrics(),
      logger: SILENT_LOGGER,
    }),
    warmUp: NO_WARM_UP,
    clock,
    random: createSeededRandom(1),
    loads: {
      setSource: () => {},
      countOthers: (server) => inFlight[server.slice(0, 1)] ?? 0,
    },
    failureDomain: LOCAL_DOMAIN,
  });
  let leaving = 0;
  for (let request = 0; request < REQUESTS; request += 1) {
    const server = selection.selectServers("rota", FailureImpact.Request)
      .next().value;
    assert.ok(server);
    if (server.failureDomain !== LOCAL_DOMAIN) leaving += 1;
    selection.recordStart(server);
    selection.recordEnd(server, {
      latencyMs: LATENCY_MS,
      load: undefined,
      isShed: false,
      hadCapacity: true,
    });
  }
  return leaving / REQUESTS;
}

/** Requests in flight at each server, by domain; and the share that leaves. */
const CASES: [string, Record<string, number>, number, number][] = [
  ["idle servers everywhere", { a: 0, b: 0, c: 0 }, 0, 0],
  ["a free slot at each server of its domain", { a: 1, b: 0, c: 0 }, 0, 0],
  ["a request in each slot of its domain", { a: 2, b: 0, c: 0 }, 0, 0],
  ["a queue at each server of its domain", { a: 4, b: 0, c: 0 }, 0.9, 1],
  ["a queue at every server", { a: 4, b: 4, c: 4 }, 0, 0],
];

for (const [name, inFlight, min, max] of CASES) {
  // Guards against requests whose bytes are billed for a wait that is shorter
  // than the processing itself.
  test(`${min * 100} to ${max * 100}% of requests leave their domain given ${name}`, () => {
    const share = measureLeavingShare(inFlight);
    assert.ok(share >= min && share <= max, `${share}`);
  });
}
