/** Counts events in a sliding time window. */

/** Slots of a window; an event is counted for up to one slot too long. */
const SLOTS_PER_WINDOW = 50;

interface Slot {
  /** Number of slots since monotonic time 0. */
  readonly index: number;
  count: number;
}

/**
 * Counts the events of the last `windowMs`; uses memory for one window's slots.
 */
export class SlidingCount {
  readonly #slotMs: number;
  readonly #slots: Slot[] = [];
  #total = 0;

  /** Creates a counter without events. */
  constructor(windowMs: number) {
    this.#slotMs = windowMs / SLOTS_PER_WINDOW;
  }

  /** Adds events that occurred at `now`, in monotonic milliseconds. */
  add(count: number, now: number): void {
    this.#removeOld(now);
    const index = Math.floor(now / this.#slotMs);
    const newest = this.#slots.at(-1);
    if (newest?.index === index) newest.count += count;
    else this.#slots.push({ index, count });
    this.#total += count;
  }

  /** Returns the number of events in the window that ends at `now`. */
  getTotal(now: number): number {
    this.#removeOld(now);
    return this.#total;
  }

  /**
   * Returns the time until the oldest event leaves the window, in milliseconds;
   * 0 without events.
   */
  getOldestRemainingMs(now: number): number {
    this.#removeOld(now);
    const oldest = this.#slots[0];
    if (oldest === undefined) return 0;
    const expiresAt = (oldest.index + SLOTS_PER_WINDOW + 1) * this.#slotMs;
    return Math.max(0, expiresAt - now);
  }

  /** Removes the slots whose newest event is older than the window. */
  #removeOld(now: number): void {
    const first = Math.floor(now / this.#slotMs) - SLOTS_PER_WINDOW;
    while (this.#slots[0] !== undefined && this.#slots[0].index < first) {
      this.#total -= this.#slots.shift()?.count ?? 0;
    }
  }
}
