/** Measures the rate of recent events. */

const MS_PER_SECOND = 1_000;

/** Average rate with exponentially decaying weights. */
export class RateMeter {
  readonly #timeConstantMs: number;
  #perMs = 0;
  #updatedAt = -Infinity;

  /** Creates a meter with the time constant of the decay. */
  constructor(timeConstantMs: number) {
    this.#timeConstantMs = timeConstantMs;
  }

  /** Adds events that occurred up to `now`, in monotonic milliseconds. */
  add(count: number, now: number): void {
    this.#perMs = this.#getPerMs(now) + count / this.#timeConstantMs;
    this.#updatedAt = now;
  }

  /** Returns the number of events per second at `now`. */
  getPerSecond(now: number): number {
    return this.#getPerMs(now) * MS_PER_SECOND;
  }

  #getPerMs(now: number): number {
    return this.#perMs *
      Math.exp(-(now - this.#updatedAt) / this.#timeConstantMs);
  }
}
