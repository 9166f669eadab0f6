import assert from "node:assert/strict";
import { test } from "node:test";
import { ServerFailureEstimator } from "./server_failure_estimator.ts";

/** Failure probability above which other servers are preferred. */
const AVOIDED_PROBABILITY = 0.5;
const SLOW = { good: 0, failed: 0, slow: 1 };
const FAILED = { good: 0, failed: 1, slow: 0 };

test("a path that is lost for one VM in five: the others still use the server", () => {
  const estimator = new ServerFailureEstimator(0);
  // Six of 32 VMs notice the loss of their own path within some seconds.
  for (let vm = 0; vm < 6; vm += 1) estimator.recordRemote(SLOW, vm * 800);
  assert.ok(estimator.getFailureProbability(4_000) < AVOIDED_PROBABILITY);
});

test("a path that is lost for this VM: only this VM avoids the server", () => {
  const estimator = new ServerFailureEstimator(0);
  estimator.recordLocal(SLOW, 0);
  estimator.recordLocal(SLOW, 300);
  assert.ok(estimator.getFailureProbability(300) > AVOIDED_PROBABILITY);
  assert.ok(estimator.getSharedFailureProbability(300) < AVOIDED_PROBABILITY);
});

test("a hanging server: timeouts on many VMs suffice to avoid it", () => {
  const estimator = new ServerFailureEstimator(0);
  for (let vm = 0; vm < 8; vm += 1) estimator.recordRemote(SLOW, vm * 100);
  assert.ok(estimator.getFailureProbability(800) > AVOIDED_PROBABILITY);
});

test("errors of a server count regardless of which VM observes them", () => {
  const estimator = new ServerFailureEstimator(0);
  estimator.recordRemote(FAILED, 0);
  estimator.recordRemote(FAILED, 50);
  assert.ok(estimator.getFailureProbability(50) > AVOIDED_PROBABILITY);
});

test("many slow responses of one VM count as one", () => {
  const one = new ServerFailureEstimator(0);
  const many = new ServerFailureEstimator(0);
  one.recordRemote(SLOW, 0);
  many.recordRemote({ ...SLOW, slow: 8 }, 0);
  assert.equal(one.getFailureProbability(0), many.getFailureProbability(0));
});
