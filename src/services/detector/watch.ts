/** What one VM knows of one backend server, and when that is enough. */
import { ServerBelief } from "./server_belief.ts";
import { SequentialTest } from "./sequential_test.ts";
import type { EvidenceOrigin } from "./sequential_test.ts";

/** Origin of what this VM saw itself. */
export const OWN: EvidenceOrigin = "";

/** Score at which a server is ejected. */
const THRESHOLD = 13;
/** Part of the score that must come from other VMs than the greatest one. */
const SHARED_RATIO = 0.25;
/** What is known of one server. */
export interface Watch {
  readonly belief: ServerBelief;
  readonly failures: SequentialTest;
  readonly slowness: SequentialTest;
  /** Ejections in a row, by which the time until a trial doubles. */
  flaps: number;
  admittedAt: number;
  /** Whether the belief was last logged as too bad to be used. */
  isAvoided: boolean;
  good: number;
  failed: number;
  slow: number;
}

/** Creates the watch of a server that was first seen at `now`. */
export function createWatch(now: number): Watch {
  return {
    belief: new ServerBelief(now),
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
 * Whether the evidence is enough to eject.
 *
 * Own evidence is enough by itself, since it may be this VM's link that is
 * bad. That of one peer alone is not: then it may be the peer's link.
 */
export function isOverThreshold(test: SequentialTest): boolean {
  if (test.score < THRESHOLD) return false;
  const greatest = test.getGreatestPart();
  if (test.getPart(OWN) >= greatest) return true;
  return test.score - greatest >= SHARED_RATIO * THRESHOLD;
}
