/** Delay after which a caller that was refused for lack of capacity returns. */
import type { Random } from "../random/mod.ts";
import { URGENCY_LEVELS } from "./capacity_view.ts";

/** Minimum delay in milliseconds. */
const MIN_MS = 100;
/** Bounds of the jitter of the least urgent level, relative to the delay. */
const SPREAD_MIN = 0.5;
const SPREAD_MAX = 4;

/** Inputs of {@linkcode computeRetryDelayMs}; times are in milliseconds. */
export interface RetryInputs {
  readonly level: number;
  /** Expected wait of a request of the level. */
  readonly waitMs: number;
  readonly workMs: number;
  /** Share of recent requests that were admitted, 0 to 1. */
  readonly admittedRatio: number;
  /** Time for which the same request would get the same answer. */
  readonly minMs: number;
}

/**
 * Computes the delay: the time after which the requests that wait now have been
 * served, and jitter.
 *
 * The more requests are refused, the longer the jitter, so that those that
 * return do not exceed the capacity again. More urgent levels have less of it
 * and return first.
 */
export function computeRetryDelayMs(
  { level, waitMs, workMs, admittedRatio, minMs }: RetryInputs,
  random: Random,
): number {
  const baseMs = Math.max(MIN_MS, waitMs + workMs, minMs);
  const excess = 1 / Math.max(admittedRatio, 0.01) - 1;
  const spread = Math.min(SPREAD_MAX, Math.max(SPREAD_MIN, excess));
  const levelRatio = (level + 1) / URGENCY_LEVELS;
  return baseMs * (1 + random() * spread * levelRatio);
}
