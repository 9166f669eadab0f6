/**
 * Overload service: decides which requests of an overloaded service are refused
 * at once.
 *
 * Servers queue requests in order of arrival. Once all responses of a service
 * are late, an unbounded queue keeps all of them late. So requests with a lower
 * priority are refused until the queue is short enough for the others.
 */
import type { RouteId, ServiceId } from "../../model/mod.ts";
import type { Random } from "../random/mod.ts";

/** One request, with the expected queue at its service's servers. */
export interface Demand {
  readonly service: ServiceId;
  readonly route: RouteId;
  /** Priority; 0 is the highest. */
  readonly priority: number;
  /** Shortest expected time until a server starts it, in milliseconds. */
  readonly queueMs: number;
  /** Target latency of its route in ms; undefined if the route has none. */
  readonly targetMs: number | undefined;
  /** Time until the caller's deadline, in milliseconds. */
  readonly remainingMs: number;
}

/** Kinds of {@linkcode OverloadDecision}. */
export enum OverloadKind {
  Accepted = "accepted",
  Refused = "refused",
}

/** Reason for refusing a request. */
export enum OverloadReason {
  /** No server would start it before the caller's deadline. */
  CannotStart = "cannot_start",
  /** Responses have been late for some time, and other requests go first. */
  StandingQueue = "standing_queue",
}

/** Decision on a request. */
export type OverloadDecision =
  | { readonly kind: OverloadKind.Accepted }
  | {
    readonly kind: OverloadKind.Refused;
    readonly reason: OverloadReason;
    /** Time by which the queue is too long for the request, in milliseconds. */
    readonly excessMs: number;
  };

/** Phases of a service's queue. */
enum QueuePhase {
  Short = "short",
  /** Too long for some route to respond in time, but only for a short time. */
  Long = "long",
  /** Too long for some time; requests with a lower priority are refused. */
  Standing = "standing",
}

type QueueState =
  | { readonly kind: QueuePhase.Short }
  | { readonly kind: QueuePhase.Long; readonly since: number }
  | {
    readonly kind: QueuePhase.Standing;
    /** Monotonic time at which it was last too long to count as short. */
    readonly longAt: number;
  };

/** Processing time of a route's requests that got a free slot at once. */
export interface ProcessingTime {
  /** Moving average in milliseconds; 0 without samples. */
  readonly typicalMs: number;
  readonly samples: number;
}

/** State of one route of a service. */
interface RouteState {
  /** Typical processing time in ms; undefined before the first record. */
  processingMs: number | undefined;
  /** Number of records of its processing time. */
  samples: number;
  /** Longest queue with which it still responds in time, in milliseconds. */
  toleratedMs: number;
  /** Monotonic time of its newest request. */
  requestedAt: number;
}

/** State of one service. */
interface ServiceState {
  queue: QueueState;
  /** Moving average of the share of requests that were accepted, 0 to 1. */
  acceptedRatio: number;
  readonly routes: Map<RouteId, RouteState>;
}

/** Weight of the newest processing time in the typical one of a route. */
const PROCESSING_WEIGHT = 0.05;
/**
 * Time for which a queue must be too long before requests are refused, and
 * short before all are accepted again, in milliseconds. This is about the
 * processing time of two requests. The requests of a shorter burst are served
 * late, which is better than a refusal.
 */
const STANDING_MS = 500;
/**
 * Longest queue that a request may find in the phase `Standing`, by priority,
 * as a share of the longest queue with which its route responds in time.
 * Further priorities get the last value. All are below 1, since only the
 * shortest queue is compared and those of most servers are longer.
 */
const PRIORITY_QUEUE_RATIOS = [0.8, 0.6, 0.4] as const;
const LAST_PRIORITY_QUEUE_RATIO = 0.4;
/** Length up to which a queue counts as short, relative to the tolerated one. */
const SHORT_QUEUE_RATIO = 0.25;
/**
 * Minimum acceptance rate of any kind of request or team, as a share of the
 * acceptance rate of all requests. The users require at least a quarter.
 */
const MIN_ACCEPTED_RATIO = 0.3;
/**
 * Time after which a route without requests is dropped, in milliseconds; it may
 * have been removed from the configuration.
 */
const ROUTE_IDLE_MS = 10_000;
/** Weight of the newest request in the acceptance rate of a service. */
const ACCEPTED_WEIGHT = 0.05;

const ACCEPTED: OverloadDecision = { kind: OverloadKind.Accepted };
const SHORT: QueueState = { kind: QueuePhase.Short };

/** Accepts or refuses requests by the expected queues at the servers. */
export class Overload {
  readonly #random: Random;
  readonly #services = new Map<ServiceId, ServiceState>();

  /** Creates the service without any recorded processing times. */
  constructor(random: Random) {
    this.#random = random;
  }

  /** Records the latency of a request that got a free slot at once. */
  recordProcessingTime(
    service: ServiceId,
    route: RouteId,
    processingMs: number,
  ): void {
    const state = getRoute(this.#getService(service), route);
    const before = state.processingMs ?? processingMs;
    state.samples += 1;
    state.processingMs = before + PROCESSING_WEIGHT * (processingMs - before);
  }

  /** Returns a route's typical processing time, from no samples at first. */
  getProcessingTime(service: ServiceId, route: RouteId): ProcessingTime {
    const state = this.#services.get(service)?.routes.get(route);
    return {
      typicalMs: state?.processingMs ?? 0,
      samples: state?.samples ?? 0,
    };
  }

  /** Accepts or refuses a request; `now` is monotonic time in milliseconds. */
  evaluate(demand: Demand, now: number): OverloadDecision {
    const service = this.#getService(demand.service);
    const decision = this.#evaluateDemand(service, demand, now);
    const sample = decision.kind === OverloadKind.Accepted ? 1 : 0;
    service.acceptedRatio += ACCEPTED_WEIGHT * (sample - service.acceptedRatio);
    return decision;
  }

  #evaluateDemand(
    service: ServiceState,
    demand: Demand,
    now: number,
  ): OverloadDecision {
    const { queueMs, remainingMs } = demand;
    if (queueMs >= remainingMs) {
      return createRefusal(OverloadReason.CannotStart, queueMs - remainingMs);
    }
    const route = getRoute(service, demand.route);
    const processingMs = route.processingMs ?? 0;
    const targetMs = Math.min(demand.targetMs ?? remainingMs, remainingMs);
    // A queue up to the processing time is no overload, whatever the target.
    route.toleratedMs = Math.max(targetMs - processingMs, processingMs);
    route.requestedAt = now;
    const shortestMs = getShortestToleratedMs(service, now);
    service.queue = getNextState(service.queue, queueMs / shortestMs, now);
    switch (service.queue.kind) {
      case QueuePhase.Short:
      case QueuePhase.Long:
        return ACCEPTED;
      case QueuePhase.Standing: {
        const ratio = PRIORITY_QUEUE_RATIOS[Math.floor(demand.priority)] ??
          LAST_PRIORITY_QUEUE_RATIO;
        const excessMs = queueMs - route.toleratedMs * ratio;
        // Some requests of each kind are accepted anyway so that none starves.
        const isExempt =
          this.#random() < MIN_ACCEPTED_RATIO * service.acceptedRatio;
        if (excessMs <= 0 || isExempt) return ACCEPTED;
        return createRefusal(OverloadReason.StandingQueue, excessMs);
      }
    }
  }

  #getService(id: ServiceId): ServiceState {
    const existing = this.#services.get(id);
    if (existing !== undefined) return existing;
    const created = { queue: SHORT, acceptedRatio: 1, routes: new Map() };
    this.#services.set(id, created);
    return created;
  }
}

function getRoute(service: ServiceState, id: RouteId): RouteState {
  const existing = service.routes.get(id);
  if (existing !== undefined) return existing;
  const created = {
    processingMs: undefined,
    samples: 0,
    toleratedMs: Infinity,
    requestedAt: 0,
  };
  service.routes.set(id, created);
  return created;
}

/** Returns the longest queue with which all routes respond in time. */
function getShortestToleratedMs(service: ServiceState, now: number): number {
  let shortestMs = Infinity;
  for (const [id, { toleratedMs, requestedAt }] of service.routes) {
    if (now - requestedAt > ROUTE_IDLE_MS) service.routes.delete(id);
    else shortestMs = Math.min(shortestMs, toleratedMs);
  }
  return shortestMs;
}

/** Returns a queue's next state; `length` is relative to the tolerated one. */
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
      if (length > SHORT_QUEUE_RATIO) return { ...state, longAt: now };
      return now - state.longAt < STANDING_MS ? state : SHORT;
  }
}

function createRefusal(
  reason: OverloadReason,
  excessMs: number,
): OverloadDecision {
  return { kind: OverloadKind.Refused, reason, excessMs };
}
