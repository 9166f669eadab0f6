/** Guards the value to callers when capacity is scarce, load by load. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { SCARCITY_LOADS } from "../standins/scarcity_loads.ts";
import { Decider, runScarcity } from "../standins/scarcity_run.ts";

const SEED = 1;
/** The users require a quarter; the rest is a margin. */
const MIN_SHARE = 0.3;
/**
 * Minimum value relative to a central queue; measured with this seed: 0.90 to
 * 0.95. The target of 0.95 is not reached everywhere (docs/design/scarcity.md).
 */
const MIN_CENTRAL_RATIO = 0.87;
/** The same for loads that the policy handles less well; 0.78 and 0.63. */
const LOW_CENTRAL_RATIOS: Readonly<Record<string, number>> = {
  "servers of half speed": 0.74,
  "views 1 s old": 0.58,
};
/** Minimum value relative to the decision by priority. */
const MIN_TODAY_RATIO = 0.98;

for (const load of SCARCITY_LOADS) {
  test(`scarcity: ${load.name}`, async () => {
    const cost = await runScarcity({
      load,
      decider: Decider.Cost,
      seed: SEED,
    });
    const central = await runScarcity({
      load,
      decider: Decider.Central,
      seed: SEED,
    });
    const today = await runScarcity({
      load,
      decider: Decider.Today,
      seed: SEED,
    });
    assert.equal(cost.overdue, 0);
    assert.ok(cost.worstKind >= MIN_SHARE, `worst kind ${cost.worstKind}`);
    assert.ok(cost.worstTeam >= MIN_SHARE, `worst team ${cost.worstTeam}`);
    const ratio = cost.valueRatio / central.valueRatio;
    const minRatio = LOW_CENTRAL_RATIOS[load.name] ?? MIN_CENTRAL_RATIO;
    assert.ok(ratio >= minRatio, `value ${ratio} of a central queue`);
    const todayRatio = cost.valueRatio / today.valueRatio;
    assert.ok(todayRatio >= MIN_TODAY_RATIO, `value ${todayRatio} of today's`);
  });
}
