/** When a hub looks for another one, and when it ranks behind all others. */
import type { Clock } from "../clock/mod.ts";

/**
 * Time from becoming the hub to the first look for one that ranks before this
 * VM. VMs that lose their hub together ask each other while none is the next
 * one yet; a look costs a round trip and a slow VM's turn.
 */
const HUB_CHECK_MIN_MS = 100;
/** Time between two such looks later; it doubles up to here. */
const HUB_CHECK_MAX_MS = 2_000;
/**
 * Time for which a hub that the store has turned away ranks behind all others of
 * its domain, in milliseconds; such troubles of the store last some seconds.
 */
const YIELD_MS = 10_000;
/** Time between two looks for the VM that has taken the domain over. */
const HEIR_CHECK_MS = 200;

/** Paces the looks of one VM for the hub of its domain. */
export class HubWatch {
  readonly #clock: Clock;
  #checkMs = HUB_CHECK_MIN_MS;
  /** Ends a hub's sleep between two looks. */
  #woken = new AbortController();
  #yieldsUntil = -Infinity;

  /** Creates a watch of a VM that has no role yet. */
  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Whether any other VM of the domain ranks before this one. */
  get isYielding(): boolean {
    return this.#clock.now() < this.#yieldsUntil;
  }

  /** Lets all other VMs of the domain rank before this one for a while. */
  startYielding(): void {
    this.#yieldsUntil = this.#clock.now() + YIELD_MS;
    this.checkNow();
  }

  /** Lets the next looks follow each other soon, and the first one at once. */
  checkNow(): void {
    this.#checkMs = HUB_CHECK_MIN_MS;
    this.#woken.abort();
  }

  /** Waits until a hub looks for another one again. */
  async sleepAsHub(signal: AbortSignal): Promise<void> {
    const ms = this.#checkMs;
    this.#checkMs = Math.min(HUB_CHECK_MAX_MS, 2 * ms);
    this.#woken = new AbortController();
    const woken = AbortSignal.any([signal, this.#woken.signal]);
    await this.#clock.sleep(ms, woken);
  }

  /** Waits until a VM that has handed its domain over looks for its heir. */
  async sleepAsFormerHub(signal: AbortSignal): Promise<void> {
    await this.#clock.sleep(HEIR_CHECK_MS, signal);
  }
}
