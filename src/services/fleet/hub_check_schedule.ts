/** When a hub searches for a higher-ranked hub, and when it ranks last. */
import type { Clock } from "../clock/mod.ts";

/**
 * Delay from becoming the hub to the first check for a hub that ranks before
 * this VM, in milliseconds. VMs that lose their hub together connect to each
 * other while none of them is a hub yet. A check takes a round trip, and longer
 * if the other VM is slow.
 */
const HUB_CHECK_MIN_MS = 100;
/** Maximum interval of later checks, which doubles each time, in ms. */
const HUB_CHECK_MAX_MS = 2_000;
/**
 * Time for which a hub that was rejected by the store ranks last in its failure
 * domain, in milliseconds. Such faults of the store last some seconds.
 */
const YIELD_MS = 10_000;
/** Interval of a former hub's checks for its successor, in milliseconds. */
const SUCCESSOR_CHECK_MS = 200;

/** Schedules one VM's checks for another hub in its failure domain. */
export class HubCheckSchedule {
  readonly #clock: Clock;
  #checkMs = HUB_CHECK_MIN_MS;
  /** Ends a hub's sleep before its next check. */
  #wakeUp = new AbortController();
  #yieldsUntil = -Infinity;

  /** Creates the schedule of a VM without a role. */
  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Whether all other VMs of the failure domain rank before this one. */
  get isYielding(): boolean {
    return this.#clock.now() < this.#yieldsUntil;
  }

  /** Makes this VM rank last in its failure domain for some seconds. */
  startYielding(): void {
    this.#yieldsUntil = this.#clock.now() + YIELD_MS;
    this.checkNow();
  }

  /** Makes the next check due now and resets the interval to the minimum. */
  checkNow(): void {
    this.#checkMs = HUB_CHECK_MIN_MS;
    this.#wakeUp.abort();
  }

  /** Resolves when a hub's next check for another hub is due. */
  async sleepAsHub(signal: AbortSignal): Promise<void> {
    const ms = this.#checkMs;
    this.#checkMs = Math.min(HUB_CHECK_MAX_MS, 2 * ms);
    this.#wakeUp = new AbortController();
    const wakeSignal = AbortSignal.any([signal, this.#wakeUp.signal]);
    await this.#clock.sleep(ms, wakeSignal);
  }

  /** Resolves when a former hub's next check for its successor is due. */
  async sleepAsFormerHub(signal: AbortSignal): Promise<void> {
    await this.#clock.sleep(SUCCESSOR_CHECK_MS, signal);
  }
}
