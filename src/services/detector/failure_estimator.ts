/**
 * Estimates the probability that a server, or the path to it, is failing.
 *
 * Faults last a few seconds and can affect any server, and each VM observes few
 * outcomes of one. A two-state model (healthy, faulty) is updated by Bayes'
 * rule with each outcome, whichever VM observed it. The estimate decays to the
 * prior with time, so that a server is used again soon after its fault ends.
 */

/** Probability that a server without outcomes is faulty. */
const PRIOR_PROBABILITY = 0.03;
/** Minimum of the estimate; the bounds let a single outcome change it. */
const PROBABILITY_MIN = 0.005;
/** Maximum of the estimate. */
const PROBABILITY_MAX = 0.97;
/** Time constant of the decay of a server's estimate; faults last seconds. */
export const SERVER_DECAY_MS = 2_500;
/**
 * Time constant of the decay of a path's estimate. It is longer because one VM
 * alone observes the path, with a request every few seconds.
 */
export const PATH_DECAY_MS = 5_000;

/** What an attempt indicates about a server or path. */
export enum FailureObservation {
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
  readonly healthy: number;
}

function getLikelihoods(observation: FailureObservation): Likelihoods {
  switch (observation) {
    case FailureObservation.Failure:
      return { faulty: 0.6, healthy: 0.02 };
    case FailureObservation.Slowness:
      return { faulty: 0.4, healthy: 0.04 };
    case FailureObservation.UnclearSlowness:
      return { faulty: 0.4, healthy: 0.2 };
    case FailureObservation.Success:
      return { faulty: 0.4, healthy: 0.95 };
  }
}

/** Failure estimate of one server or path. */
export class FailureEstimator {
  readonly #decayMs: number;
  #probability = PRIOR_PROBABILITY;
  #updatedAt: number;
  #observedAt = -Infinity;

  /** Creates the estimate of a server or path that becomes known at `now`. */
  constructor(now: number, decayMs = SERVER_DECAY_MS) {
    this.#decayMs = decayMs;
    this.#updatedAt = now;
  }

  /** Returns the probability, 0 to 1, of a fault at `now`. */
  getProbability(now: number): number {
    const weight = Math.exp(-(now - this.#updatedAt) / this.#decayMs);
    return PRIOR_PROBABILITY + (this.#probability - PRIOR_PROBABILITY) * weight;
  }

  /** Returns the time since the newest observation, in milliseconds. */
  getObservationAgeMs(now: number): number {
    return now - this.#observedAt;
  }

  /** Records the same observation of `count` attempts. */
  record(observation: FailureObservation, count: number, now: number): void {
    if (count === 0) return;
    const { faulty, healthy } = getLikelihoods(observation);
    const probability = this.getProbability(now);
    const odds = probability / (1 - probability) * (faulty / healthy) ** count;
    this.#probability = Math.min(
      PROBABILITY_MAX,
      Math.max(PROBABILITY_MIN, odds / (1 + odds)),
    );
    this.#updatedAt = now;
    this.#observedAt = now;
  }
}
