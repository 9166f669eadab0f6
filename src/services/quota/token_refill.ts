/**
 * Tracks the elapsed time from which tokens are refilled.
 *
 * The elapsed time of each VM represents an equal share of every team's rate.
 * It is turned into tokens only once, either by this VM or by the hub that it
 * is delegated to, so that no change of hub creates a token twice.
 */
export class TokenRefill {
  #collectedAt: number;
  #totalMs = 0;

  /** Counts this VM's time from `now` on, in monotonic milliseconds. */
  constructor(now: number) {
    this.#collectedAt = now;
  }

  /**
   * Time refilled here, as an average over all VMs, in milliseconds; one second
   * of a tenth of the VMs counts as 100.
   */
  get totalMs(): number {
    return this.#totalMs;
  }

  /** Returns this VM's time since the previous call, in milliseconds. */
  collectElapsed(now: number): number {
    const elapsed = Math.max(0, now - this.#collectedAt);
    this.#collectedAt = now;
    return elapsed;
  }

  /** Adds the elapsed time of one of `totalVms` VMs, in milliseconds. */
  add(ms: number, totalVms: number): void {
    this.#totalMs += ms / totalVms;
  }
}
