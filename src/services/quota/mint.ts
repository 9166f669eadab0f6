/**
 * Time that this VM may make tokens of.
 *
 * Each VM's time stands for an equal part of every team's rate. It is made into
 * tokens once, by this VM or by the hub that it is left to, so that no change of
 * hub creates a token twice.
 */
export class Mint {
  #markedAt: number;
  #total = 0;

  /** Creates a mint for the time from `now` on. */
  constructor(now: number) {
    this.#markedAt = now;
  }

  /**
   * Time of all VMs together that has been made into tokens here, in
   * milliseconds; a tenth of the VMs that run for a second count as 100.
   */
  get total(): number {
    return this.#total;
  }

  /** Takes this VM's own time since it was taken last, in milliseconds. */
  takeElapsed(now: number): number {
    const elapsed = Math.max(0, now - this.#markedAt);
    this.#markedAt = now;
    return elapsed;
  }

  /** Adds time of one of `holders` VMs. */
  add(ms: number, holders: number): void {
    this.#total += ms / holders;
  }
}
