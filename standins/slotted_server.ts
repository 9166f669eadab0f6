/** A backend server in virtual time, with slots and a FIFO queue. */
import type { VirtualTime } from "./virtual_clock.ts";

/** A server that runs each request for a given time in one of its slots. */
export class SlottedServer {
  readonly #time: VirtualTime;
  readonly #slots: number;
  readonly #waiting: (() => void)[] = [];
  #running = 0;

  /** Creates an idle server. */
  constructor(time: VirtualTime, slots: number) {
    this.#time = time;
    this.#slots = slots;
  }

  /** Number of requests that run or wait for a slot. */
  get inFlight(): number {
    return this.#running + this.#waiting.length;
  }

  /**
   * Runs a request for `workMs` milliseconds; resolves with the time in
   * milliseconds for which it waited for a slot.
   */
  async run(workMs: number): Promise<number> {
    const arrivedAt = this.#time.now;
    if (this.#running >= this.#slots) {
      await new Promise<void>((resolve) => this.#waiting.push(resolve));
    } else this.#running += 1;
    const waitedMs = this.#time.now - arrivedAt;
    await new Promise<void>((resolve) => {
      this.#time.startTimer(workMs, resolve);
    });
    const next = this.#waiting.shift();
    if (next === undefined) this.#running -= 1;
    else next();
    return waitedMs;
  }
}
