/** Guards the value to callers when capacity is scarce, load by load. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { SCARCITY_LOADS } from "../standins/scarcity_loads.ts";
import { Decider, runScarcity } from "../standins/scarcity_run.ts";
import { getKnownRedOptions } from "./known_red.ts";

const SEED = 1;
/** Minimum share of the overall share that a kind or a team must get. */
const MIN_SHARE = 0.25;
/** Target of the value relative to a central queue, for views 200 ms old. */
const CENTRAL_RATIO_TARGET = 0.95;
/** Load whose views are older than those that the target is stated for. */
const OLD_VIEWS = "views 1 s old";

/** Value by load, relative to a central queue and to today's decision. */
const centralRatios = new Map<string, number>();
const todayRatios = new Map<string, number>();

for (const load of SCARCITY_LOADS) {
  // Guards against starvation, and against requests that are held too long.
  test(`scarcity: ${load.name}`, async () => {
    const run = (decider: Decider): ReturnType<typeof runScarcity> =>
      runScarcity({ load, decider, seed: SEED });
    const cost = await run(Decider.Cost);
    const central = await run(Decider.Central);
    const today = await run(Decider.Today);
    centralRatios.set(load.name, cost.valueRatio / central.valueRatio);
    todayRatios.set(load.name, cost.valueRatio / today.valueRatio);
    assert.equal(cost.overdue, 0);
    assert.ok(cost.worstKind >= MIN_SHARE, `worst kind ${cost.worstKind}`);
    assert.ok(cost.worstTeam >= MIN_SHARE, `worst team ${cost.worstTeam}`);
  });
}

/** Formats the loads whose ratio is below `min`. */
function listBelow(ratios: ReadonlyMap<string, number>, min: number): string[] {
  return [...ratios]
    .filter(([name, ratio]) => name !== OLD_VIEWS && ratio < min)
    .map(([name, ratio]) => `${name}: ${ratio.toFixed(3)}`);
}

// Guards against a policy that is worse for callers than the one it replaces.
const BEATS_TODAY = "scarcity: no load has less value than by priority";
test(BEATS_TODAY, getKnownRedOptions(BEATS_TODAY), () => {
  assert.equal(todayRatios.size, SCARCITY_LOADS.length);
  assert.deepEqual(listBelow(todayRatios, 1), []);
});

// Guards against value that is lost because VMs decide by delayed views.
const NEAR_CENTRAL = "scarcity: each load has 0.95 of a central queue's value";
test(NEAR_CENTRAL, getKnownRedOptions(NEAR_CENTRAL), () => {
  assert.equal(centralRatios.size, SCARCITY_LOADS.length);
  assert.deepEqual(listBelow(centralRatios, CENTRAL_RATIO_TARGET), []);
});
