import assert from "node:assert/strict";
import { test } from "node:test";
import { FaultBelief, FaultSign } from "./fault_belief.ts";

/** Failure probability above which other servers are preferred. */
const AVOIDED_CHANCE = 0.5;

test("one error of a healthy server suffices to prefer the others", () => {
  const belief = new FaultBelief(0);
  const sibling = new FaultBelief(0);
  belief.record(FaultSign.Failure, 1, 100);
  assert.ok(belief.getChance(100) > 10 * sibling.getChance(100));
});

test("two consecutive errors suffice to avoid a server", () => {
  const belief = new FaultBelief(0);
  belief.record(FaultSign.Failure, 1, 0);
  belief.record(FaultSign.Failure, 1, 50);
  assert.ok(belief.getChance(50) > AVOIDED_CHANCE);
});

test("the estimate decays within seconds after a fault has ended", () => {
  const belief = new FaultBelief(0);
  belief.record(FaultSign.Failure, 20, 0);
  assert.ok(belief.getChance(0) > AVOIDED_CHANCE);
  assert.ok(belief.getChance(4_000) < AVOIDED_CHANCE);
});

test("a successful test request lowers the estimate, a failed one raises it", () => {
  const passed = new FaultBelief(0);
  const failed = new FaultBelief(0);
  for (const belief of [passed, failed]) {
    belief.record(FaultSign.Failure, 3, 0);
  }
  passed.record(FaultSign.Success, 1, 1_500);
  failed.record(FaultSign.Failure, 1, 1_500);
  assert.ok(passed.getChance(2_000) < failed.getChance(2_000) / 1.5);
});

test("many earlier successes do not delay the detection of a fault", () => {
  const belief = new FaultBelief(0);
  belief.record(FaultSign.Success, 1_000, 0);
  belief.record(FaultSign.Failure, 3, 10);
  assert.ok(belief.getChance(10) > AVOIDED_CHANCE);
});
