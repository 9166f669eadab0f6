/** Guards the value to callers when capacity is scarce, load by load. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { SCARCITY_LOADS } from "../standins/scarcity_loads.ts";
import { Decider, runScarcity } from "../standins/scarcity_run.ts";

const SEED = 1;
/** The users require a quarter; the rest is a margin. */
const MIN_SHARE = 0.3;
/**
 * Value relative to a central queue. Measured with this seed: 0.85 to 0.96; the
 * target of 0.95 is not reached (docs/design/scarcity.md).
 */
const MIN_CENTRAL_RATIO = 0.8;

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
    assert.equal(cost.overdue, 0);
    assert.ok(cost.worstKind >= MIN_SHARE, `worst kind ${cost.worstKind}`);
    assert.ok(cost.worstTeam >= MIN_SHARE, `worst team ${cost.worstTeam}`);
    const ratio = cost.valueRatio / central.valueRatio;
    assert.ok(ratio >= MIN_CENTRAL_RATIO, `value ${ratio} of a central queue`);
  });
}
