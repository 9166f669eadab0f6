/** Demand of one team on one VM, as an exponential moving average. */

const WINDOW_MS = 1_000;
const MS_PER_SECOND = 1_000;

/** Request rate whose weights decay with a time constant of one second. */
export class Demand {
  #weight = 0;
  #updatedAt: number;

  /** Creates a counter without requests. */
  constructor(now: number) {
    this.#updatedAt = now;
  }

  /** Records one request. */
  add(now: number): void {
    this.#expireOld(now);
    this.#weight += 1;
  }

  /** Returns the demand at `now`, in requests per second. */
  getPerSecond(now: number): number {
    this.#expireOld(now);
    return this.#weight * MS_PER_SECOND / WINDOW_MS;
  }

  #expireOld(now: number): void {
    this.#weight *= Math.exp(-(now - this.#updatedAt) / WINDOW_MS);
    this.#updatedAt = now;
  }
}
