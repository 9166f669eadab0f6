/** State of one service in the scarcity policy. */
import type { ServiceId } from "../../model/mod.ts";
import type { PolicyRequest, PolicyVerdict } from "../overload/policy.ts";
import { getLevel } from "./capacity_view.ts";
import type { ViewKind } from "./capacity_view.ts";
import { ClassShares } from "./class_shares.ts";
import { WaitingQueue } from "./waiting_queue.ts";
import type { WaitingItem } from "./waiting_queue.ts";
import { WorkEstimates } from "./work_estimates.ts";

/** A request on which the policy decides; times are monotonic, in ms. */
export interface Candidate extends WaitingItem {
  readonly request: PolicyRequest;
  /** Mean deviation of the work. */
  readonly spreadMs: number;
  readonly arrivedAt: number;
  /** Ends the request's wait. */
  resolve: (verdict: PolicyVerdict) => void;
}

/** Requests of this VM for one service. */
export class ServiceState {
  readonly service: ServiceId;
  readonly shares = new ClassShares();
  readonly work = new WorkEstimates();
  readonly waiting = new WaitingQueue<Candidate>();
  /** Number of requests that have started and not ended. */
  running = 0;
  /** Monotonic time of the last check of waiting requests, in milliseconds. */
  checkedAt = 0;
  isCheckScheduled = false;
  /** What the last decision was based on; undefined before the first. */
  viewKind: ViewKind | undefined;

  constructor(service: ServiceId) {
    this.service = service;
  }
}

/** Creates a candidate with its expected work. */
export function createCandidate(
  request: PolicyRequest,
  { work }: ServiceState,
): Candidate {
  const { route, arrivedAt, deadlineAt } = request;
  const { meanMs, spreadMs } = work.get(route);
  const targetAt = arrivedAt + (request.targetMs ?? Infinity);
  return {
    request,
    team: request.team,
    level: getLevel(request.priority),
    workMs: meanMs,
    spreadMs,
    arrivedAt,
    targetAt: Math.min(targetAt, deadlineAt),
    deadlineAt,
    resolve: () => {},
  };
}

/**
 * Returns the part of a request's time that its wait must leave for the
 * variation of its work.
 *
 * It is negative while there are less urgent requests that can be refused
 * instead: then the request is worth starting even if it is as likely to be
 * late as in time.
 */
export function getMarginMs(
  { level, spreadMs }: Candidate,
  { shares }: ServiceState,
  now: number,
): number {
  return shares.countLessUrgent(level, now) > 0 ? -spreadMs : spreadMs;
}

/** Returns the time that a request's target leaves for its wait, in ms. */
export function getSlackMs(
  candidate: Candidate,
  state: ServiceState,
  now: number,
): number {
  const { targetAt, arrivedAt, workMs } = candidate;
  return targetAt - arrivedAt - workMs - getMarginMs(candidate, state, now);
}
