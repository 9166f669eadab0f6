/**
 * Overload service: which requests a service that has more work than it can do
 * in time refuses at once.
 *
 * Servers queue in order of arrival. Once every answer of a service is late, a
 * queue without a bound keeps all of them late; so the less urgent requests are
 * refused until the queue is short enough for the others.
 */
import type { RouteId, ServiceId } from "../../model/mod.ts";
import type { Random } from "../random/mod.ts";

/** One request, and what the service's servers have to do before it. */
export interface Demand {
  readonly service: ServiceId;
  readonly route: RouteId;
  /** Rank, 0 the highest. */
  readonly priority: number;
  /** Shortest expected time until a server begins with it, in milliseconds. */
  readonly queueMs: number;
  /** Time within which an answer is worth most; undefined if nobody says. */
  readonly targetMs: number | undefined;
  /** Time that its caller waits at most, in milliseconds. */
  readonly leftMs: number;
}

/** Kinds of {@linkcode OverloadDecision}. */
export enum OverloadKind {
  Accepted = "accepted",
  Refused = "refused",
}

/** Why a request is refused. */
export enum OverloadReason {
  /** No server would begin with it while its caller waits. */
  CannotStart = "cannot_start",
  /** Answers have been late for some time, and others are more urgent. */
  StandingQueue = "standing_queue",
}

/** What is done with a request. */
export type OverloadDecision =
  | { readonly kind: OverloadKind.Accepted }
  | {
    readonly kind: OverloadKind.Refused;
    readonly reason: OverloadReason;
    /** Time by which the queue is too long for it, in milliseconds. */
    readonly excessMs: number;
  };

/** How the queue of a service is. */
enum QueuePhase {
  Short = "short",
  /** Too long for the answers of some route to be in time, for a while. */
  Long = "long",
  /** It has been too long for some time; the less urgent make room. */
  Standing = "standing",
}

type QueueState =
  | { readonly kind: QueuePhase.Short }
  | { readonly kind: QueuePhase.Long; readonly since: number }
  | {
    readonly kind: QueuePhase.Standing;
    /** When it was last longer than a short one. */
    readonly longAt: number;
  };

/** What is known of one route of a service. */
interface RouteState {
  /** Work that is usual for it, in milliseconds; undefined before any. */
  workMs: number | undefined;
  /** Longest queue that leaves its answers in time, in milliseconds. */
  toleratedMs: number;
  /** Monotonic time of its newest request. */
  askedAt: number;
}

/** What is known of one service. */
interface ServiceState {
  queue: QueueState;
  /** Accepted part of its newest requests, 0 to 1. */
  accepted: number;
  readonly routes: Map<RouteId, RouteState>;
}

/** Weight of the newest work in what is usual for a route. */
const WORK_WEIGHT = 0.05;
/**
 * Time for which a queue must be too long before any request is refused, and
 * short before none is, in milliseconds. About the work of two requests: a burst
 * that ends sooner is served late, which is worth more than a refusal.
 */
const STANDING_MS = 500;
/**
 * Queue that a request may find while the queue stands, as a part of the
 * longest that still leaves answers in time, by rank; further ranks get the
 * last. Less than all of it, since most servers' queues are longer than the
 * shortest.
 */
const RANK_PARTS = [0.8, 0.6, 0.4] as const;
const LAST_RANK_PART = 0.4;
/** Part of the shortest such queue of all routes up to which one is short. */
const SHORT_PART = 0.25;
/**
 * Part of what is accepted of all requests that is accepted of any kind or team
 * at least. The users' bound is a quarter.
 */
const KEPT_PART = 0.3;
/**
 * Time after which a route without requests counts no more, in milliseconds;
 * it may have been removed.
 */
const ROUTE_IDLE_MS = 10_000;
/** Weight of the newest request in the accepted part of a service's requests. */
const ACCEPTED_WEIGHT = 0.05;

const ACCEPTED: OverloadDecision = { kind: OverloadKind.Accepted };
const SHORT: QueueState = { kind: QueuePhase.Short };

/** Decides on requests by what is expected of the servers' queues. */
export class Overload {
  readonly #random: Random;
  readonly #services = new Map<ServiceId, ServiceState>();

  /** Creates the service without any experience. */
  constructor(random: Random) {
    this.#random = random;
  }

  /** Records how long a request took that found a free slot. */
  recordWork(service: ServiceId, route: RouteId, workMs: number): void {
    const state = getRoute(this.#getService(service), route);
    const before = state.workMs ?? workMs;
    state.workMs = before + WORK_WEIGHT * (workMs - before);
  }

  /** Decides on a request at the monotonic time `now`. */
  judge(demand: Demand, now: number): OverloadDecision {
    const service = this.#getService(demand.service);
    const decision = this.#judgeDemand(service, demand, now);
    const newest = decision.kind === OverloadKind.Accepted ? 1 : 0;
    service.accepted += ACCEPTED_WEIGHT * (newest - service.accepted);
    return decision;
  }

  #judgeDemand(
    service: ServiceState,
    demand: Demand,
    now: number,
  ): OverloadDecision {
    const { queueMs, leftMs } = demand;
    if (queueMs >= leftMs) {
      return createRefusal(OverloadReason.CannotStart, queueMs - leftMs);
    }
    const route = getRoute(service, demand.route);
    const workMs = route.workMs ?? 0;
    const targetMs = Math.min(demand.targetMs ?? leftMs, leftMs);
    // A queue as long as the work itself is no overload, whatever the target.
    route.toleratedMs = Math.max(targetMs - workMs, workMs);
    route.askedAt = now;
    const shortestMs = getShortestTolerated(service, now);
    service.queue = getNextState(service.queue, queueMs / shortestMs, now);
    switch (service.queue.kind) {
      case QueuePhase.Short:
      case QueuePhase.Long:
        return ACCEPTED;
      case QueuePhase.Standing: {
        const part = RANK_PARTS[Math.floor(demand.priority)] ?? LAST_RANK_PART;
        const excessMs = queueMs - route.toleratedMs * part;
        // A part of each kind is accepted all the same, so that none starves.
        const isKept = this.#random() < KEPT_PART * service.accepted;
        if (excessMs <= 0 || isKept) return ACCEPTED;
        return createRefusal(OverloadReason.StandingQueue, excessMs);
      }
    }
  }

  #getService(id: ServiceId): ServiceState {
    const existing = this.#services.get(id);
    if (existing !== undefined) return existing;
    const created = { queue: SHORT, accepted: 1, routes: new Map() };
    this.#services.set(id, created);
    return created;
  }
}

function getRoute(service: ServiceState, id: RouteId): RouteState {
  const existing = service.routes.get(id);
  if (existing !== undefined) return existing;
  const created = { workMs: undefined, toleratedMs: Infinity, askedAt: 0 };
  service.routes.set(id, created);
  return created;
}

/** Gets the longest queue that leaves all routes' answers in time. */
function getShortestTolerated(service: ServiceState, now: number): number {
  let shortestMs = Infinity;
  for (const [id, { toleratedMs, askedAt }] of service.routes) {
    if (now - askedAt > ROUTE_IDLE_MS) service.routes.delete(id);
    else shortestMs = Math.min(shortestMs, toleratedMs);
  }
  return shortestMs;
}

/** Moves a queue's state on; `length` is in multiples of what is tolerated. */
function getNextState(
  state: QueueState,
  length: number,
  now: number,
): QueueState {
  switch (state.kind) {
    case QueuePhase.Short:
      return length > 1 ? { kind: QueuePhase.Long, since: now } : state;
    case QueuePhase.Long:
      if (length <= 1) return SHORT;
      return now - state.since < STANDING_MS
        ? state
        : { kind: QueuePhase.Standing, longAt: now };
    case QueuePhase.Standing:
      if (length > SHORT_PART) return { ...state, longAt: now };
      return now - state.longAt < STANDING_MS ? state : SHORT;
  }
}

function createRefusal(
  reason: OverloadReason,
  excessMs: number,
): OverloadDecision {
  return { kind: OverloadKind.Refused, reason, excessMs };
}
