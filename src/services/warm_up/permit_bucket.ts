/** Token bucket of one owner of a cold server; it holds at most one permit. */

const MS_PER_SECOND = 1_000;
/**
 * Maximum number of permits that accumulate. Each owner adds it to the requests
 * that a server may get at once.
 */
const BURST = 1;

/** Permits to send requests to one cold server. */
export class PermitBucket {
  #tokens: number;
  #refilledAt: number;

  /** Creates a bucket with `tokens`, a fraction of a permit. */
  constructor(tokens: number, now: number) {
    this.#tokens = tokens;
    this.#refilledAt = now;
  }

  /** Whether a permit is available, at a rate of `perSecond` permits. */
  hasPermit(perSecond: number, now: number): boolean {
    this.#addElapsed(perSecond, now);
    return this.#tokens >= 1;
  }

  /** Takes a permit; returns whether one was available. */
  tryAcquire(perSecond: number, now: number): boolean {
    if (!this.hasPermit(perSecond, now)) return false;
    this.#tokens -= 1;
    return true;
  }

  /** Removes all permits, including those of the time since the last refill. */
  removeAll(now: number): void {
    this.#tokens = 0;
    this.#refilledAt = now;
  }

  #addElapsed(perSecond: number, now: number): void {
    const elapsedMs = Math.max(0, now - this.#refilledAt);
    const added = elapsedMs * perSecond / MS_PER_SECOND;
    this.#tokens = Math.min(BURST, this.#tokens + added);
    this.#refilledAt = now;
  }
}
