/**
 * What one VM believes of one server: whether the server fails, which all VMs
 * see, and whether this VM's path to it does, which only this one sees.
 *
 * The pattern: a path cut or lossy for a few VMs. Each of them sees requests
 * without an answer. If those counted like a server's own errors, all VMs would
 * leave sound servers and crowd the others.
 */
import { FaultBelief, FaultSign, PATH_DRIFT_MS } from "./fault_belief.ts";

/** Outcomes of attempts at one server. */
export interface Seen {
  readonly good: number;
  readonly failed: number;
  /** Answers that take long, and attempts that did not reach the server. */
  readonly slow: number;
}

/** Beliefs about a server and this VM's path to it. */
export class ServerBelief {
  readonly #server: FaultBelief;
  readonly #path: FaultBelief;

  /** Creates the belief about a server that was first seen at `now`. */
  constructor(now: number) {
    this.#server = new FaultBelief(now);
    this.#path = new FaultBelief(now, PATH_DRIFT_MS);
  }

  /** Gets the chance, 0 to 1, that this VM's next request there fails. */
  getChance(now: number): number {
    const serverSound = 1 - this.#server.getChance(now);
    const pathSound = 1 - this.#path.getChance(now);
    return 1 - serverSound * pathSound;
  }

  /** Gets the chance that the server fails the requests of all VMs. */
  getSharedChance(now: number): number {
    return this.#server.getChance(now);
  }

  /** Gets the time since the newest sign, in milliseconds. */
  getSilenceMs(now: number): number {
    return Math.min(
      this.#server.getSilenceMs(now),
      this.#path.getSilenceMs(now),
    );
  }

  /** Records what this VM saw. */
  recordOwn(seen: Seen, now: number): void {
    this.recordOthers(seen, now);
    this.#path.record(FaultSign.Success, seen.good, now);
    this.#path.record(FaultSign.Slowness, seen.slow, now);
  }

  /** Records what another VM saw, of the server by way of its own path. */
  recordOthers(seen: Seen, now: number): void {
    this.#server.record(FaultSign.Success, seen.good, now);
    this.#server.record(FaultSign.Failure, seen.failed, now);
    // Several of one VM have the same cause.
    const slow = Math.min(1, seen.slow);
    this.#server.record(FaultSign.UnclearSlowness, slow, now);
  }
}
