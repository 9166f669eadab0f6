/**
 * Estimates the probability that a server, or the path to it, is failing.
 *
 * Faults last a few seconds and can affect any server, and each VM observes few
 * outcomes of one. A two-state model (healthy, faulty) is updated by Bayes'
 * rule with each outcome, whichever VM observed it. The estimate decays to the
 * prior with time, so that a server is used again soon after its fault ends.
 */

/** Probability that a server without outcomes is faulty. */
const PRIOR = 0.03;
/** Minimum of the estimate; the bounds let a single outcome change it. */
const CHANCE_MIN = 0.005;
/** Maximum of the estimate. */
const CHANCE_MAX = 0.97;
/** Time constant of the decay of a server's estimate; faults last seconds. */
export const SERVER_DRIFT_MS = 2_500;
/**
 * Time constant of the decay of a path's estimate. It is longer because one VM
 * alone observes the path, with a request every few seconds.
 */
export const PATH_DRIFT_MS = 5_000;

/** What an attempt indicates about a server or path. */
export enum FaultSign {
  /** An error, an invalid response or a lost connection. */
  Failure = "failure",
  /** A response that is much slower than typical, or a connect timeout. */
  Slowness = "slowness",
  /** Slowness that the path to the server may have caused. */
  UnclearSlowness = "unclear_slowness",
  /** A complete response in typical time. */
  Success = "success",
}

/** Probabilities of an observation at a faulty and at a healthy server. */
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

/** Failure estimate of one server or path. */
export class FaultBelief {
  readonly #driftMs: number;
  #chance = PRIOR;
  #updatedAt: number;
  #signAt = -Infinity;

  /** Creates the estimate of a server or path that becomes known at `now`. */
  constructor(now: number, driftMs = SERVER_DRIFT_MS) {
    this.#driftMs = driftMs;
    this.#updatedAt = now;
  }

  /** Returns the probability, 0 to 1, of a fault at `now`. */
  getChance(now: number): number {
    const kept = Math.exp(-(now - this.#updatedAt) / this.#driftMs);
    return PRIOR + (this.#chance - PRIOR) * kept;
  }

  /** Returns the time since the newest observation, in milliseconds. */
  getSilenceMs(now: number): number {
    return now - this.#signAt;
  }

  /** Records the same observation of `count` attempts. */
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
