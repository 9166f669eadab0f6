/** Limits the rate at which a process writes log lines. */

/** Maximum number of lines per second; further ones are only counted. */
const MAX_LINES_PER_SECOND = 100;
const SECOND_MS = 1_000;

/** Rate limit of log lines, in windows of one second. */
export class LineLimit {
  readonly #now: () => number;
  #windowStartedAt = -Infinity;
  #written = 0;
  #suppressed = 0;

  /** Creates a limit; `now` returns monotonic time in milliseconds. */
  constructor(now: () => number) {
    this.#now = now;
  }

  /** Counts a line; returns false if it exceeds the limit of this second. */
  acquire(): boolean {
    const now = this.#now();
    if (now - this.#windowStartedAt >= SECOND_MS) {
      this.#windowStartedAt = now;
      this.#written = 0;
    }
    if (this.#written >= MAX_LINES_PER_SECOND) {
      this.#suppressed += 1;
      return false;
    }
    this.#written += 1;
    return true;
  }

  /** Returns the number of lines that were suppressed since the last call. */
  collectSuppressed(): number {
    const count = this.#suppressed;
    this.#suppressed = 0;
    return count;
  }
}
