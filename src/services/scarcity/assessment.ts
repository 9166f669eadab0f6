/** Inputs of decisions, derived from a service's view and recent admissions. */
import {
  computeInFlight,
  LATE_LEVEL,
  sumOthersWaitingMs,
  ViewKind,
} from "./capacity_view.ts";
import type { CapacityView } from "./capacity_view.ts";
import type { ClassShares } from "./class_shares.ts";

/**
 * Queue at the servers up to which requests of the least urgent level start,
 * relative to the typical processing time. Requests are assigned to servers by
 * views that are out of date; with a shorter queue some slots stay free.
 */
const QUEUE_RATIO = 0.25;
/** The same while there are no other levels for which the queue must be short. */
const SINGLE_QUEUE_RATIO = 0.5;
/**
 * Added for each less urgent level, so that the servers' queues hold room for
 * more urgent requests, which then start at once.
 */
const QUEUE_RATIO_PER_LEVEL = 0.5;
/** Longest such queue, relative to the time that the target leaves for it. */
const QUEUE_SLACK_RATIO = 0.8;
/** Minimum share of the capacity that is expected to remain for a level. */
const MIN_RATE_RATIO = 0.1;
/** Share of recent requests admitted, below which scarcity will last. */
const LASTING_ADMITTED_RATIO = 0.7;
/** Share of the slots that late requests leave free for others. */
const LATE_FREE_RATIO = 0.05;

/** State of a service at one moment, as this VM knows it. */
export interface Assessment {
  readonly view: CapacityView;
  readonly shares: ClassShares;
  /** Work that waits at this VM in slot-milliseconds, by level. */
  readonly ownWaitingMs: readonly number[];
  /** Monotonic time in milliseconds. */
  readonly now: number;
}

/**
 * Computes the longest queue with which a request of a level starts at once.
 *
 * It is never shorter than that of the least urgent level, so that a request
 * with a short target is not refused in favour of others.
 */
export function computeStartLimitMs(
  { view, shares, now }: Assessment,
  level: number,
  slackMs: number,
): number {
  const { processingMs } = view;
  if (shares.countLevels(now) <= 1) return processingMs * SINGLE_QUEUE_RATIO;
  const levels = shares.countLessUrgent(level, now);
  const limitMs = processingMs * (QUEUE_RATIO + levels * QUEUE_RATIO_PER_LEVEL);
  const inTimeMs = Math.min(limitMs, slackMs * QUEUE_SLACK_RATIO);
  return Math.max(processingMs * QUEUE_RATIO, inTimeMs);
}

/** Computes the time until the waiting requests up to a level have started. */
export function computeAheadMs(
  { view, shares, ownWaitingMs, now }: Assessment,
  level: number,
): number {
  const ownMs = ownWaitingMs.slice(0, level + 1)
    .reduce((total, ms) => total + ms, 0);
  const waitingMs = ownMs + sumOthersWaitingMs(view, level);
  if (waitingMs === 0 || view.slots === 0) return 0;
  const usedRatio = shares.getMoreUrgentRatio(level, now);
  const rate = Math.max(MIN_RATE_RATIO, 1 - usedRatio) * view.slots;
  return waitingMs / Math.max(1, rate);
}

/** Computes the same for late requests; infinite while scarcity lasts. */
export function computeLateAheadMs(assessment: Assessment): number {
  const { shares, now } = assessment;
  const spareRatio = shares.getAdmittedRatio(now) - LASTING_ADMITTED_RATIO;
  if (spareRatio <= 0) return Infinity;
  return computeAheadMs(assessment, LATE_LEVEL) *
    (1 - LASTING_ADMITTED_RATIO) / spareRatio;
}

/**
 * Computes how many more requests of a level should be in flight in the whole
 * fleet; negative if there are too many.
 */
export function computeFreeSlots(
  { view }: Assessment,
  level: number,
  startLimitMs: number,
): number {
  const { slots, processingMs } = view;
  const inFlight = computeInFlight(view) + slots * view.shedRatio;
  if (processingMs <= 0) return slots - inFlight;
  if (level === LATE_LEVEL) return slots * (1 - LATE_FREE_RATIO) - inFlight;
  const reservedMs = level === 0 ? 0 : sumOthersWaitingMs(view, level - 1);
  const limit = slots * (1 + startLimitMs / processingMs);
  return limit - inFlight - reservedMs / processingMs;
}

/** Computes this VM's share of the slots that become free for a level. */
export function computeOwnShare(
  { view, ownWaitingMs }: Assessment,
  level: number,
): number {
  switch (view.kind) {
    case ViewKind.Fleet: {
      const ownMs = ownWaitingMs.slice(0, level + 1)
        .reduce((total, ms) => total + ms, 0);
      const othersMs = sumOthersWaitingMs(view, level);
      return ownMs > 0 ? ownMs / (ownMs + othersMs) : 0;
    }
    case ViewKind.Local:
      return Math.min(1, Math.max(1, view.ownInFlight) / (view.slots + 1));
  }
}
