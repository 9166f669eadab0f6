import assert from "node:assert/strict";
import { test } from "node:test";
import { FailureEstimator, FailureObservation } from "./failure_estimator.ts";

/** Failure probability above which other servers are preferred. */
const AVOIDED_PROBABILITY = 0.5;

test("one error of a healthy server suffices to prefer the others", () => {
  const estimator = new FailureEstimator(0);
  const sibling = new FailureEstimator(0);
  estimator.record(FailureObservation.Failure, 1, 100);
  assert.ok(estimator.getProbability(100) > 10 * sibling.getProbability(100));
});

test("two consecutive errors suffice to avoid a server", () => {
  const estimator = new FailureEstimator(0);
  estimator.record(FailureObservation.Failure, 1, 0);
  estimator.record(FailureObservation.Failure, 1, 50);
  assert.ok(estimator.getProbability(50) > AVOIDED_PROBABILITY);
});

test("the estimate decays within seconds after a fault has ended", () => {
  const estimator = new FailureEstimator(0);
  estimator.record(FailureObservation.Failure, 20, 0);
  assert.ok(estimator.getProbability(0) > AVOIDED_PROBABILITY);
  assert.ok(estimator.getProbability(4_000) < AVOIDED_PROBABILITY);
});

test("a successful test request lowers the estimate, a failed one raises it", () => {
  const passed = new FailureEstimator(0);
  const failed = new FailureEstimator(0);
  for (const estimator of [passed, failed]) {
    estimator.record(FailureObservation.Failure, 3, 0);
  }
  passed.record(FailureObservation.Success, 1, 1_500);
  failed.record(FailureObservation.Failure, 1, 1_500);
  assert.ok(passed.getProbability(2_000) < failed.getProbability(2_000) / 1.5);
});

test("many earlier successes do not delay the detection of a fault", () => {
  const estimator = new FailureEstimator(0);
  estimator.record(FailureObservation.Success, 1_000, 0);
  estimator.record(FailureObservation.Failure, 3, 10);
  assert.ok(estimator.getProbability(10) > AVOIDED_PROBABILITY);
});
