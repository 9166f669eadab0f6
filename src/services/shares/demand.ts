/** Demand of one team on one VM, as an exponential moving average. */

const TIME_CONSTANT_MS = 1_000;
const MS_PER_SECOND = 1_000;

/** Request rate whose weights decay with a time constant of one second. */
export class Demand {
  #decayedCount = 0;
  #updatedAt: number;

  /** Creates a counter without requests. */
  constructor(now: number) {
    this.#updatedAt = now;
  }

  /** Records one request. */
  add(now: number): void {
    this.#updateCount(now);
    this.#decayedCount += 1;
  }

  /** Returns the demand at `now`, in requests per second. */
  getPerSecond(now: number): number {
    this.#updateCount(now);
    return this.#decayedCount * MS_PER_SECOND / TIME_CONSTANT_MS;
  }

  #updateCount(now: number): void {
    this.#decayedCount *= Math.exp(-(now - this.#updatedAt) / TIME_CONSTANT_MS);
    this.#updatedAt = now;
  }
}
