/** Counts events in a sliding window of time. */

/** Parts of a window; a count is late by at most one of them. */
const SLOTS_PER_WINDOW = 50;

interface Slot {
  /** Number of the slot since time began. */
  readonly index: number;
  count: number;
}

/** Events of the last `windowMs`; memory is bounded by the slots of a window. */
export class SlidingCount {
  readonly #slotMs: number;
  readonly #slots: Slot[] = [];
  #total = 0;

  /** Creates a count of nothing. */
  constructor(windowMs: number) {
    this.#slotMs = windowMs / SLOTS_PER_WINDOW;
  }

  /** Adds events that happened at `now`, in monotonic milliseconds. */
  add(count: number, now: number): void {
    this.#removeOld(now);
    const index = Math.floor(now / this.#slotMs);
    const newest = this.#slots.at(-1);
    if (newest?.index === index) newest.count += count;
    else this.#slots.push({ index, count });
    this.#total += count;
  }

  /** Gets the number of events in the window that ends at `now`. */
  getTotal(now: number): number {
    this.#removeOld(now);
    return this.#total;
  }

  /** Gets the time until the oldest event leaves the window; 0 if none. */
  getOldestLeftMs(now: number): number {
    this.#removeOld(now);
    const oldest = this.#slots[0];
    if (oldest === undefined) return 0;
    const leavesAt = (oldest.index + SLOTS_PER_WINDOW + 1) * this.#slotMs;
    return Math.max(0, leavesAt - now);
  }

  /** A slot leaves once its newest event is older than the window. */
  #removeOld(now: number): void {
    const first = Math.floor(now / this.#slotMs) - SLOTS_PER_WINDOW;
    while (this.#slots[0] !== undefined && this.#slots[0].index < first) {
      this.#total -= this.#slots.shift()?.count ?? 0;
    }
  }
}
