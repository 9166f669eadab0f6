/**
 * Decides when a request is hedged, that is, also sent to a second server.
 *
 * A VM that gets few requests knows little of how long a route takes. A hedge
 * that is sent too soon runs a healthy server's work a second time, and uses up
 * retries that others need.
 */

/** A request that has been sent to its first server. */
export interface HedgeInputs {
  /** Typical processing time of its route, in milliseconds. */
  readonly typicalMs: number;
  /** Number of requests from which that time is known. */
  readonly samples: number;
  /** Target latency of its route in ms; undefined if the route has none. */
  readonly targetMs: number | undefined;
  /** Time until the caller's deadline, in milliseconds. */
  readonly remainingMs: number;
}

/**
 * Delay before a hedge, in multiples of the typical processing time of the
 * route; few responses of healthy servers take longer.
 */
const DELAY_RATIO = 2.5;
/** Minimum delay before a hedge in ms; a shorter one saves nothing. */
const DELAY_MIN_MS = 100;
/** Number of samples from which the typical processing time is relied on. */
const SAMPLES_MIN = 5;

/**
 * Returns the delay before a hedge in milliseconds; undefined if none is sent.
 * While the typical time is not reliable, a response up to the target latency
 * is not unusual.
 */
export function computeHedgeDelayMs(inputs: HedgeInputs): number | undefined {
  const { typicalMs, samples, targetMs, remainingMs } = inputs;
  const isReliable = samples >= SAMPLES_MIN;
  if (!isReliable && targetMs === undefined) return undefined;
  const usualMs = isReliable ? 0 : targetMs ?? 0;
  const delayMs = Math.max(DELAY_MIN_MS, typicalMs * DELAY_RATIO, usualMs);
  return delayMs + typicalMs < remainingMs ? delayMs : undefined;
}
