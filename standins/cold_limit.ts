/** Limit of the requests that a cold server stand-in tolerates. */

const WINDOW_MS = 1_000;

/** Counts the requests to a server while it is cold. */
export class ColdLimit {
  readonly #perWindow: number;
  readonly #arrivals: number[] = [];
  #coldUntil = -Infinity;

  /** Creates a limit of `perWindow` requests in any second. */
  constructor(perWindow: number) {
    this.#perWindow = perWindow;
  }

  /** Starts a cold time of `coldMs` milliseconds. */
  start(coldMs: number): void {
    this.#coldUntil = performance.now() + coldMs;
    this.#arrivals.length = 0;
  }

  /** Records a request; returns whether the limit is exceeded. */
  recordArrival(): boolean {
    const now = performance.now();
    if (now >= this.#coldUntil) return false;
    this.#arrivals.push(now);
    while ((this.#arrivals[0] ?? now) <= now - WINDOW_MS) {
      this.#arrivals.shift();
    }
    return this.#arrivals.length > this.#perWindow;
  }
}
