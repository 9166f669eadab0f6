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
import { NO_WARM_UP, Warmth } from "../warm_up/mod.ts";
import { FailureImpact, Selection } from "./mod.ts";

const SLOTS = 4;
const COLD = "s0";
const SERVERS = [COLD, "s1", "s2"];

/** Creates a selection whose server `s0` is cold and may be suspected. */
function createSelection(warmth: Warmth, probability: number): Selection {
  const clock = new VirtualClock(new VirtualTime());
  const configuration = new Configuration("cell", clock);
  for (const [port, id] of SERVERS.entries()) {
    configuration.setServer({
      id,
      service: "rota",
      host: "h",
      port,
      failureDomain: "a",
      slots: SLOTS,
      phase: ServerPhase.Active,
      revision: 1,
    });
  }
  const detector: Partial<Detector> = {
    getEjectionState: () => EjectionState.Admitted,
    isSuspect: () => false,
    getFailureProbability: ({ id }) => id === COLD ? probability : 0,
    getAdmittedMs: () => Infinity,
  };
  return new Selection({
    configuration,
    detector: detector as Detector,
    notices: new ServerNotices({
      clock,
      metrics: new Metrics(),
      logger: SILENT_LOGGER,
    }),
    warmUp: {
      ...NO_WARM_UP,
      getWarmth: ({ id }) => id === COLD ? warmth : Warmth.Warm,
      getRateLimit: () => 3.8,
    },
    clock,
    random: createSeededRandom(1),
    loads: { setSource: () => {}, countOthers: () => 0 },
    failureDomain: "a",
  });
}

const { Attempt, Request } = FailureImpact;
/** Permission, failure probability, what a failure loses, place of `s0`. */
const CASES: [Warmth, number, FailureImpact, number][] = [
  [Warmth.Permitted, 0, Attempt, 0],
  [Warmth.Permitted, 0, Request, 0],
  [Warmth.Permitted, 0.2, Attempt, 0],
  [Warmth.Permitted, 0.2, Request, 2],
  [Warmth.Unclear, 0, Attempt, 2],
  [Warmth.Withheld, 0, Attempt, -1],
  [Warmth.Slow, 0, Attempt, 2],
];

for (const [warmth, probability, impact, place] of CASES) {
  // Guards against new servers that get no requests, and against requests that
  // are lost because a suspected server is preferred.
  test(`a cold server (${warmth}, failing at ${probability}) is at place ${place} if a failure loses the ${impact}`, () => {
    const selection = createSelection(warmth, probability);
    const selected = [...selection.selectServers("rota", impact)];
    assert.equal(selected.findIndex(({ id }) => id === COLD), place);
  });
}

// Guards against a concurrency for servers that take hardly any requests.
test("a cold server's slots count by the requests that it may take", () => {
  const selection = createSelection(Warmth.Withheld, 0);
  assert.ok(selection.countSlots("rota") < (SERVERS.length - 1) * SLOTS + 1);
});
