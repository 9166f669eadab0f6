/** Penalty of a server for its cold start. */
import { Warmth } from "../warm_up/mod.ts";

/** Penalty for a cold start: a new server runs at about half of its speed. */
const COLD_START_RATIO = 0.5;
/**
 * Advantage of a cold server for which this VM has a permit. Few requests may
 * be sent to it, so it gets them although it is slower than the others and may
 * be in another failure domain.
 */
const PERMITTED_RATIO = 1.5;

/**
 * Returns the penalty, in multiples of the typical latency of a service.
 * `isRisky` is whether a failure that seems likely would lose the request.
 */
export function getColdPenalty(warmth: Warmth, isRisky: boolean): number {
  switch (warmth) {
    case Warmth.Warm:
      return 0;
    case Warmth.Slow:
    case Warmth.Unclear:
    case Warmth.Withheld:
      return COLD_START_RATIO;
    case Warmth.Permitted:
      return isRisky ? COLD_START_RATIO : -PERMITTED_RATIO;
  }
}

/** Whether a server may be sent a request with regard to its start. */
export function isSendable(warmth: Warmth): boolean {
  switch (warmth) {
    case Warmth.Warm:
    case Warmth.Slow:
    case Warmth.Permitted:
    case Warmth.Unclear:
      return true;
    case Warmth.Withheld:
      return false;
  }
}

/**
 * Returns the number of a server's slots that requests can use.
 * `rateLimit` is the number of requests per second that it takes while cold.
 */
export function countUsableSlots(
  slots: number,
  warmth: Warmth,
  rateLimit: number,
  processingMs: number,
): number {
  switch (warmth) {
    case Warmth.Warm:
    case Warmth.Slow:
      return slots;
    case Warmth.Permitted:
    case Warmth.Unclear:
    case Warmth.Withheld:
      return Math.min(slots, rateLimit * processingMs / 1_000);
  }
}
