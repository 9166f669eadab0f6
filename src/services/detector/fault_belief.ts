/**
 * How likely it is that a server, or the path to it, fails requests now.
 *
 * The pattern: faults of a few seconds that strike any server, seen by many VMs
 * each of which sees little. A two-state model (sound, faulty) is updated by
 * Bayes' rule with each outcome, whoever saw it, and drifts back to the prior
 * with time, so that a server is used again soon after its fault has ended.
 */

/** Chance that a server of which nothing is known is faulty. */
const PRIOR = 0.03;
/** Bounds that keep one more outcome able to change the belief. */
const CHANCE_MIN = 0.005;
const CHANCE_MAX = 0.97;
/** Time constant with which old outcomes lose their say; faults last seconds. */
export const SERVER_DRIFT_MS = 2_500;
/** The same for a path, of which one VM alone sees a request in some seconds. */
export const PATH_DRIFT_MS = 5_000;

/** What one attempt showed. */
export enum FaultSign {
  /** An error, a broken answer or a lost connection. */
  Failure = "failure",
  /** An answer that takes much longer than usual, or no way to the server. */
  Slowness = "slowness",
  /** The same where the path that it took may be the cause. */
  UnclearSlowness = "unclear_slowness",
  /** A whole answer in usual time. */
  Success = "success",
}

/** Likelihoods of a sign at a faulty and at a sound server. */
interface Likelihoods {
  readonly faulty: number;
  readonly sound: number;
}

function getLikelihoods(sign: FaultSign): Likelihoods {
  switch (sign) {
    case FaultSign.Failure:
      return { faulty: 0.6, sound: 0.02 };
    case FaultSign.Slowness:
      return { faulty: 0.4, sound: 0.04 };
    case FaultSign.UnclearSlowness:
      return { faulty: 0.4, sound: 0.2 };
    case FaultSign.Success:
      return { faulty: 0.4, sound: 0.95 };
  }
}

/** The belief about one server or path. */
export class FaultBelief {
  readonly #driftMs: number;
  #chance = PRIOR;
  #updatedAt: number;
  #signAt = -Infinity;

  /** Creates the belief about what was first seen at `now`. */
  constructor(now: number, driftMs = SERVER_DRIFT_MS) {
    this.#driftMs = driftMs;
    this.#updatedAt = now;
  }

  /** Gets the chance, 0 to 1, of a fault at `now`. */
  getChance(now: number): number {
    const kept = Math.exp(-(now - this.#updatedAt) / this.#driftMs);
    return PRIOR + (this.#chance - PRIOR) * kept;
  }

  /** Gets the time since the newest sign, in milliseconds. */
  getSilenceMs(now: number): number {
    return now - this.#signAt;
  }

  /** Records what `count` attempts showed. */
  record(sign: FaultSign, count: number, now: number): void {
    if (count === 0) return;
    const { faulty, sound } = getLikelihoods(sign);
    const chance = this.getChance(now);
    const odds = chance / (1 - chance) * (faulty / sound) ** count;
    this.#chance = Math.min(
      CHANCE_MAX,
      Math.max(CHANCE_MIN, odds / (1 + odds)),
    );
    this.#updatedAt = now;
    this.#signAt = now;
  }
}
