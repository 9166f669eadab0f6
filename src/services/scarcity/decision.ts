/** Decision on one request of a service, as a function of its inputs. */

/** Kinds of {@linkcode ScarcityDecision}. */
export enum ScarcityKind {
  Start = "start",
  Wait = "wait",
  Refuse = "refuse",
}

/** Whether a request that waits can still be answered within its target. */
export enum WaitLane {
  InTime = "in_time",
  /** It is served only when no other request loses by it. */
  Late = "late",
}

/** Reason for refusing a request. */
export enum ScarcityReason {
  /** It can't be served before its deadline. */
  CannotFinish = "cannot_finish",
  /** Others whose refusal would cost more use the capacity. */
  Outweighed = "outweighed",
}

/** Decision on a request. */
export type ScarcityDecision =
  | { readonly kind: ScarcityKind.Start; readonly isFloor: boolean }
  | { readonly kind: ScarcityKind.Wait; readonly lane: WaitLane }
  | { readonly kind: ScarcityKind.Refuse; readonly reason: ScarcityReason };

/** Inputs of {@linkcode evaluateDemand}; times are in milliseconds. */
export interface ScarcityDemand {
  /** Expected wait for a slot at the servers. */
  readonly queueMs: number;
  /** Longest wait in total with which a request of this level starts at once. */
  readonly startLimitMs: number;
  /** Expected time until the waiting requests that go first have started. */
  readonly aheadMs: number;
  /** The same for a request of the lane `Late`; infinite if none is served. */
  readonly lateAheadMs: number;
  /** Expected work of the request in a free slot. */
  readonly workMs: number;
  /** Time that the wait must leave for the variation of the work. */
  readonly marginMs: number;
  /** Time until the response would be late. */
  readonly targetLeftMs: number;
  /** Time until the deadline. */
  readonly remainingMs: number;
  /** Recent use of slots by its team, relative to the mean of all teams. */
  readonly teamFactor: number;
  /** From 0 to 1, the same for all requests of a team and route for a while. */
  readonly draw: number;
  /** Whether it starts anyway so that neither its class nor its team starves. */
  readonly isExempt: boolean;
}

/**
 * Expected wait up to which every request may wait, and from which none may: 0
 * is the wait with which it would start at once, 1 the longest with which its
 * response is in time. Between the two an increasing share is refused, since a
 * threshold would make all VMs switch at the same time.
 */
const ALL_WAIT_RATIO = 0.35;
const NONE_WAIT_RATIO = 0.9;
/**
 * Longest expected wait in the lane `Late`, relative to the time left: a
 * request that is refused after three quarters of its time has cost its whole
 * value, so that only a short wait is worth the lower value of a late response.
 */
const LATE_WAIT_RATIO = 0.25;

/** Decides whether a request starts, waits or is refused. */
export function evaluateDemand(demand: ScarcityDemand): ScarcityDecision {
  const { queueMs, aheadMs, workMs, remainingMs } = demand;
  if (queueMs >= remainingMs) return createRefusal(ScarcityReason.CannotFinish);
  if (queueMs + aheadMs <= demand.startLimitMs) {
    return { kind: ScarcityKind.Start, isFloor: false };
  }
  if (demand.isExempt) return { kind: ScarcityKind.Start, isFloor: true };
  if (isWaitUseful(demand)) {
    return { kind: ScarcityKind.Wait, lane: WaitLane.InTime };
  }
  if (isLateWaitUseful(demand)) {
    return { kind: ScarcityKind.Wait, lane: WaitLane.Late };
  }
  const isImpossible = queueMs + aheadMs + workMs > remainingMs;
  return createRefusal(
    isImpossible ? ScarcityReason.CannotFinish : ScarcityReason.Outweighed,
  );
}

function isWaitUseful(demand: ScarcityDemand): boolean {
  const slackMs = demand.targetLeftMs - demand.workMs - demand.marginMs;
  const rangeMs = slackMs - demand.startLimitMs;
  if (rangeMs <= 0) return false;
  const waitMs = (demand.queueMs + demand.aheadMs) * demand.teamFactor;
  const excess = (waitMs - demand.startLimitMs) / rangeMs - ALL_WAIT_RATIO;
  return demand.draw >= excess / (NONE_WAIT_RATIO - ALL_WAIT_RATIO);
}

function isLateWaitUseful(demand: ScarcityDemand): boolean {
  const waitMs = demand.queueMs + demand.lateAheadMs;
  const endMs = waitMs + demand.workMs + Math.max(0, demand.marginMs);
  return endMs <= demand.remainingMs &&
    waitMs <= demand.remainingMs * LATE_WAIT_RATIO;
}

function createRefusal(reason: ScarcityReason): ScarcityDecision {
  return { kind: ScarcityKind.Refuse, reason };
}
