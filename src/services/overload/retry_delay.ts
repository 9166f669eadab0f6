/** Delay after which a refused caller may send its request again. */
import type { Random } from "../random/mod.ts";

/** Minimum retry delay that a refused caller is given, in milliseconds. */
const RETRY_AFTER_MIN_MS = 100;
/**
 * Range of the random extra retry delay in milliseconds, so that callers that
 * were refused together don't all return at once.
 */
const RETRY_AFTER_SPREAD_MS = 300;

/** Computes a retry delay of at least `ms` milliseconds, with jitter. */
export function computeRetryAfterMs(ms: number, random: Random): number {
  const spreadMs = random() * RETRY_AFTER_SPREAD_MS;
  return Math.max(RETRY_AFTER_MIN_MS, ms) + spreadMs;
}
