/**
 * One VM's failure estimate of one server. It combines two estimates: one for
 * the server, from outcomes of all VMs, and one for this VM's path to it, from
 * outcomes of this VM alone.
 *
 * Guards against a network path that fails for a few VMs. Their requests get no
 * responses. If those counted like errors of the server, all VMs would stop
 * using healthy servers and overload the others.
 */
import {
  FailureEstimator,
  FailureObservation,
  PATH_DECAY_MS,
} from "./failure_estimator.ts";

/** Numbers of attempts at one server, by outcome. */
export interface OutcomeCounts {
  readonly good: number;
  readonly failed: number;
  /** Slow responses, and attempts that did not reach the server. */
  readonly slow: number;
}

/** Estimates whether a server, or this VM's path to it, fails requests. */
export class ServerFailureEstimator {
  readonly #server: FailureEstimator;
  readonly #path: FailureEstimator;

  /** Creates the estimator of a server that becomes known at `now`. */
  constructor(now: number) {
    this.#server = new FailureEstimator(now);
    this.#path = new FailureEstimator(now, PATH_DECAY_MS);
  }

  /** Returns the probability, 0 to 1, that this VM's next request fails. */
  getFailureProbability(now: number): number {
    const serverHealthy = 1 - this.#server.getProbability(now);
    const pathHealthy = 1 - this.#path.getProbability(now);
    return 1 - serverHealthy * pathHealthy;
  }

  /** Returns the probability, 0 to 1, that the server fails for all VMs. */
  getSharedFailureProbability(now: number): number {
    return this.#server.getProbability(now);
  }

  /** Returns the time since the newest outcome, in milliseconds. */
  getObservationAgeMs(now: number): number {
    return Math.min(
      this.#server.getObservationAgeMs(now),
      this.#path.getObservationAgeMs(now),
    );
  }

  /** Records outcomes that this VM observed. */
  recordLocal(counts: OutcomeCounts, now: number): void {
    this.recordRemote(counts, now);
    this.#path.record(FailureObservation.Success, counts.good, now);
    this.#path.record(FailureObservation.Slowness, counts.slow, now);
  }

  /** Records outcomes that another VM observed over its own path. */
  recordRemote(counts: OutcomeCounts, now: number): void {
    this.#server.record(FailureObservation.Success, counts.good, now);
    this.#server.record(FailureObservation.Failure, counts.failed, now);
    // Several slow attempts of one VM are likely to have one cause.
    const slow = Math.min(1, counts.slow);
    this.#server.record(FailureObservation.UnclearSlowness, slow, now);
  }
}
