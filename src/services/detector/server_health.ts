/** Per-server state of the detector, and the threshold for an ejection. */
import { ServerFailureEstimator } from "./server_failure_estimator.ts";
import { SequentialTest } from "./sequential_test.ts";
import type { EvidenceOrigin } from "./sequential_test.ts";

/** Origin of outcomes that this VM observed itself. */
export const LOCAL_ORIGIN: EvidenceOrigin = "";

/** Score at which a server is ejected. */
const EJECTION_THRESHOLD = 13;
/**
 * Share of the threshold that must come from VMs other than the one with the
 * greatest contribution.
 */
const CORROBORATION_RATIO = 0.25;

/** State of the detector for one server. */
export interface ServerHealth {
  readonly estimator: ServerFailureEstimator;
  readonly failures: SequentialTest;
  readonly slowness: SequentialTest;
  /** Consecutive ejections; each doubles the delay before the next trial. */
  flaps: number;
  /** Monotonic time of the newest admission, in milliseconds. */
  admittedAt: number;
  /** Whether the server was last logged as avoided. */
  isAvoided: boolean;
  /** Good outcomes that were not sent to other VMs yet. */
  good: number;
  /** Failed outcomes that were not sent to other VMs yet. */
  failed: number;
  /** Slow outcomes that were not sent to other VMs yet. */
  slow: number;
}

/** Creates the state of a server that becomes known at `now`. */
export function createServerHealth(now: number): ServerHealth {
  return {
    estimator: new ServerFailureEstimator(now),
    failures: new SequentialTest(),
    slowness: new SequentialTest(),
    flaps: 0,
    admittedAt: now,
    isAvoided: false,
    good: 0,
    failed: 0,
    slow: 0,
  };
}

/**
 * Whether the evidence is sufficient to eject a server.
 *
 * Evidence of this VM is sufficient without that of others: even if only this
 * VM's link is faulty, this VM should not use the server. Evidence of a single
 * peer is not sufficient, because that peer's link may be at fault.
 */
export function isOverThreshold(test: SequentialTest): boolean {
  if (test.score < EJECTION_THRESHOLD) return false;
  const greatest = test.getGreatestContribution();
  if (test.getContribution(LOCAL_ORIGIN) >= greatest) return true;
  return test.score - greatest >= CORROBORATION_RATIO * EJECTION_THRESHOLD;
}
