/** Decides when refused callers should return. */
import type { ServiceId } from "../../model/mod.ts";
import { computeRetryAfterMs } from "../overload/retry_delay.ts";
import type { Random } from "../random/mod.ts";
import type { Selection } from "../selection/mod.ts";

/**
 * Range of the random extra delay after a pause of all servers, relative to the
 * pause: the longer it is, the more callers have been told to return.
 */
const PAUSE_SPREAD_RATIO = 0.5;

/** Dependencies of {@linkcode RetryDelay}. */
export interface RetryDelayDependencies {
  readonly selection: Selection;
  readonly random: Random;
}

/** Computes the retry delays of refused callers, with jitter. */
export class RetryDelay {
  readonly #deps: RetryDelayDependencies;

  constructor(deps: RetryDelayDependencies) {
    this.#deps = deps;
  }

  /** Returns the expected time until a server takes requests, plus jitter. */
  getMs(service: ServiceId): number {
    const { selection } = this.#deps;
    const queueMs = selection.getQueueMs(service);
    const pauseMs = selection.getPauseMs(service) *
      (1 + this.#deps.random() * PAUSE_SPREAD_RATIO);
    return this.computeMs(Math.max(queueMs, pauseMs));
  }

  /** Adds jitter to a time after which capacity is expected. */
  computeMs(ms: number): number {
    return computeRetryAfterMs(ms, this.#deps.random);
  }
}
