/**
 * One VM's failure estimate of one server. It combines two estimates: one for
 * the server, from outcomes of all VMs, and one for this VM's path to it, from
 * outcomes of this VM alone.
 *
 * Guards against a network path that fails for a few VMs. Their requests get no
 * responses. If those counted like errors of the server, all VMs would stop
 * using healthy servers and overload the others.
 */
import { FaultBelief, FaultSign, PATH_DRIFT_MS } from "./fault_belief.ts";

/** Numbers of attempts at one server, by outcome. */
export interface Seen {
  readonly good: number;
  readonly failed: number;
  /** Slow responses, and attempts that did not reach the server. */
  readonly slow: number;
}

/** Estimates whether a server, or this VM's path to it, fails requests. */
export class ServerBelief {
  readonly #server: FaultBelief;
  readonly #path: FaultBelief;

  /** Creates the estimator of a server that becomes known at `now`. */
  constructor(now: number) {
    this.#server = new FaultBelief(now);
    this.#path = new FaultBelief(now, PATH_DRIFT_MS);
  }

  /** Returns the probability, 0 to 1, that this VM's next request fails. */
  getChance(now: number): number {
    const serverSound = 1 - this.#server.getChance(now);
    const pathSound = 1 - this.#path.getChance(now);
    return 1 - serverSound * pathSound;
  }

  /** Returns the probability, 0 to 1, that the server fails for all VMs. */
  getSharedChance(now: number): number {
    return this.#server.getChance(now);
  }

  /** Returns the time since the newest outcome, in milliseconds. */
  getSilenceMs(now: number): number {
    return Math.min(
      this.#server.getSilenceMs(now),
      this.#path.getSilenceMs(now),
    );
  }

  /** Records outcomes that this VM observed. */
  recordOwn(seen: Seen, now: number): void {
    this.recordOthers(seen, now);
    this.#path.record(FaultSign.Success, seen.good, now);
    this.#path.record(FaultSign.Slowness, seen.slow, now);
  }

  /** Records outcomes that another VM observed over its own path. */
  recordOthers(seen: Seen, now: number): void {
    this.#server.record(FaultSign.Success, seen.good, now);
    this.#server.record(FaultSign.Failure, seen.failed, now);
    // Several slow attempts of one VM are likely to have one cause.
    const slow = Math.min(1, seen.slow);
    this.#server.record(FaultSign.UnclearSlowness, slow, now);
  }
}
