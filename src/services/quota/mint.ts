/**
 * Tracks the elapsed time from which tokens are refilled.
 *
 * The elapsed time of each VM represents an equal share of every team's rate.
 * It is turned into tokens only once, either by this VM or by the hub that it
 * is delegated to, so that no change of hub creates a token twice.
 */
export class Mint {
  #markedAt: number;
  #total = 0;

  /** Counts this VM's time from `now` on, in monotonic milliseconds. */
  constructor(now: number) {
    this.#markedAt = now;
  }

  /**
   * Time refilled here, as an average over all VMs, in milliseconds; one second
   * of a tenth of the VMs counts as 100.
   */
  get total(): number {
    return this.#total;
  }

  /** Returns this VM's time since the previous call, in milliseconds. */
  takeElapsed(now: number): number {
    const elapsed = Math.max(0, now - this.#markedAt);
    this.#markedAt = now;
    return elapsed;
  }

  /** Adds the elapsed time of one of `holders` VMs, in milliseconds. */
  add(ms: number, holders: number): void {
    this.#total += ms / holders;
  }
}
