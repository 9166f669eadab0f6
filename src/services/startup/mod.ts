/**
 * Startup service: delays requests that arrive before this VM can serve them.
 *
 * A VM accepts connections as soon as its process runs, and gets its first
 * configuration some hundred milliseconds later. When all VMs start together no
 * other VM can serve the callers meanwhile, so a short delay costs them less
 * than a refusal.
 */
import type { Clock } from "../clock/mod.ts";

/**
 * Maximum delay of a request in milliseconds. From the first connection to the
 * first confirmed configuration, a VM takes about a third of it.
 */
const WAIT_MAX_MS = 1_000;
/** Share of a request's remaining time that it may spend waiting, 0 to 1. */
const WAIT_RATIO = 0.4;
/** Maximum number of waiting requests; bounds memory. */
const WAITING_LIMIT = 512;

/** Dependencies of {@linkcode Startup}. */
export interface StartupDependencies {
  readonly clock: Clock;
  /** Resolves when this VM can serve for the first time. */
  readonly firstServing: Promise<void>;
}

/** Delays requests until this VM can serve for the first time. */
export class Startup {
  readonly #deps: StartupDependencies;
  #hasServed = false;
  #waiting = 0;

  /** Creates the service of a VM that can't serve yet. */
  constructor(deps: StartupDependencies) {
    this.#deps = deps;
    void deps.firstServing.then(() => {
      this.#hasServed = true;
    });
  }

  /**
   * Waits until this VM can serve, or until no more than a share of the
   * request's time is used. `remainingMs` is the time that the caller waits in
   * milliseconds, infinite if unknown; `signal` aborts when it disconnects.
   */
  async waitUntilServing(
    remainingMs: number,
    signal: AbortSignal,
  ): Promise<void> {
    if (this.#hasServed || this.#waiting >= WAITING_LIMIT) return;
    const { clock, firstServing } = this.#deps;
    const waitMs = Math.min(WAIT_MAX_MS, Math.max(0, remainingMs) * WAIT_RATIO);
    const ended = new AbortController();
    const stop = (): void => ended.abort();
    signal.addEventListener("abort", stop, { once: true });
    this.#waiting += 1;
    await Promise.race([firstServing, clock.sleep(waitMs, ended.signal)]);
    this.#waiting -= 1;
    signal.removeEventListener("abort", stop);
    ended.abort();
  }
}
