/** Selection service: picks the backend server for the next attempt. */
import type { Server, ServerId, ServiceId } from "../../model/mod.ts";
import type { Clock } from "../clock/mod.ts";
import type { Configuration } from "../configuration/mod.ts";
import { EjectionState } from "../detector/mod.ts";
import type { Detector } from "../detector/mod.ts";
import type { LoadReport } from "../forwarding/upstream.ts";
import type { Random } from "../random/mod.ts";
import { Availability } from "../server_notices/mod.ts";
import type { ServerNotices } from "../server_notices/mod.ts";
import type { LoadByServer, LoadExchange } from "./load_exchange.ts";
import type { WarmUpLimiter } from "../warm_up/mod.ts";
import {
  countUsableSlots,
  getColdPenalty,
  isSendable,
} from "./cold_penalty.ts";
import { ServerLoad } from "./server_load.ts";

/** Latency assumed for a service before the first response, in milliseconds. */
const INITIAL_LATENCY_MS = 1;
/** Weight of the newest latency in the typical latency of a service. */
const TYPICAL_WEIGHT = 0.05;
/** Time until a readmitted server gets its full share of requests, in ms. */
const RAMP_MS = 10_000;
/** Initial share of a readmitted server, relative to its full share. */
const RAMP_MIN_RATIO = 0.2;
/*
 * Penalties of a server, as an expected wait in multiples of the typical
 * latency of its service.
 */

/**
 * Penalty for even odds of a failure that loses the request, since it can't be
 * retried: the cost of a response that comes too late to be useful. Penalties
 * for failures are proportional to the odds.
 */
const LOST_FAILURE_RATIO = 4;
/** The same for a retryable failure; it costs time and one of few retries. */
const RETRYABLE_FAILURE_RATIO = 1.5;
/**
 * Penalty for another failure domain, whose traffic is billed and slower: a
 * request leaves its domain only if it would wait there for about as long as it
 * is processed.
 */
const CROSS_DOMAIN_RATIO = 1;
/**
 * Number of random servers drawn from the best group and from the rest. Since
 * the loads that VMs exchange are stale, more would crowd the same servers and
 * fewer would leave others idle.
 */
const SAMPLES_PER_GROUP = 4;
/** Difference of penalties up to which servers are in the same group. */
const SIMILAR_PENALTY_RATIO = 0.2;

/**
 * Failure probability from which a cold server is not preferred for a request
 * that a failure would lose.
 */
const RISKY_PROBABILITY_MIN = 0.1;
/** Failure probability from which a server no longer counts as healthy. */
const UNHEALTHY_PROBABILITY_MIN = 0.5;

/** Dependencies of {@linkcode Selection}. */
export interface SelectionDependencies {
  readonly configuration: Configuration;
  readonly detector: Detector;
  readonly notices: ServerNotices;
  readonly warmUp: WarmUpLimiter;
  readonly clock: Clock;
  readonly random: Random;
  readonly loads: LoadExchange;
  /** Failure domain of this VM. */
  readonly failureDomain: string;
}

/** State of one backend server as known to this VM, for dumps. */
export interface ServerReport {
  readonly server: ServerId;
  readonly service: ServiceId;
  readonly inFlight: number;
  readonly latencyMs: number;
  readonly isDraining: boolean;
  readonly availability: Availability;
}

/** Load of a service's admitted servers as known to this VM. */
export interface ServiceLoad {
  readonly slots: number;
  /** Requests in flight of this VM. */
  readonly ownInFlight: number;
  /** Requests in flight of the other VMs; undefined if not reported. */
  readonly othersInFlight: number | undefined;
  /** Share of the servers that shed a request lately, 0 to 1. */
  readonly shedRatio: number;
}

/** Latency and load of a backend server that an attempt observed. */
export interface AttemptReport {
  /** Time to the complete response in ms; undefined if not representative. */
  readonly latencyMs: number | undefined;
  readonly load: LoadReport | undefined;
  /** Whether the server shed the request for lack of capacity. */
  readonly isShed: boolean;
  /** Whether the request got a free slot, as far as was known. */
  readonly hadCapacity: boolean;
}

/** What is lost if a server fails an attempt. */
export enum FailureImpact {
  /** One attempt of several; it may test a suspected server. */
  Attempt = "attempt",
  /** One attempt while few retries remain in the budget. */
  ScarceAttempt = "scarce_attempt",
  /** The request. */
  Request = "request",
}

/** A server with its penalty in multiples of the typical latency. */
interface Candidate {
  readonly server: Server;
  readonly penalty: number;
}

/** Picks backend servers and tracks the load of each. */
export class Selection {
  readonly #deps: SelectionDependencies;
  /** Time of the last request that tested a suspected server, by service. */
  readonly #testedAt = new Map<ServiceId, number>();
  readonly #typicalMs = new Map<ServiceId, number>();
  /** Typical processing time without waiting for a slot, in milliseconds. */
  readonly #processingMs = new Map<ServiceId, number>();
  readonly #loads = new Map<ServerId, ServerLoad>();

  /** Creates the service without any latencies or loads. */
  constructor(deps: SelectionDependencies) {
    this.#deps = deps;
    deps.loads.setSource(() => this.#countInFlight());
  }

  /**
   * Yields servers to try; each is selected only once it is needed.
   *
   * No server is yielded twice. Of several random servers, the one with the
   * shortest expected wait comes first. A server on trial comes before the
   * others, but only for requests that may be retried. After a failure, the
   * servers that are least likely to fail are preferred, since few attempts
   * remain.
   */
  *selectServers(
    service: ServiceId,
    impact: FailureImpact,
  ): Generator<Server, void, undefined> {
    const tried = new Set<ServerId>();
    const first = this.#pickFirst(service, impact);
    if (first === undefined) return;
    tried.add(first.id);
    yield first;
    while (true) {
      const admitted = this.#listAdmitted(service, tried);
      const server = this.#pickOne(admitted, FailureImpact.Request);
      if (server === undefined) return;
      tried.add(server.id);
      yield server;
    }
  }

  /** Counts the slots of all admitted servers of a service. */
  countSlots(service: ServiceId): number {
    const { warmUp } = this.#deps;
    const processingMs = this.#processingMs.get(service) ?? 0;
    return this.#listAdmitted(service, new Set(), () => true)
      .reduce((sum, server) =>
        sum + countUsableSlots(
          server.slots,
          warmUp.getWarmth(server),
          warmUp.getRateLimit(server),
          processingMs,
        ), 0);
  }

  /** Returns the load of all admitted servers of a service. */
  getServiceLoad(service: ServiceId): ServiceLoad {
    const { clock, loads } = this.#deps;
    const now = clock.now();
    const admitted = this.#listAdmitted(service, new Set());
    let slots = 0;
    let ownInFlight = 0;
    let othersInFlight: number | undefined = 0;
    let shed = 0;
    for (const server of admitted) {
      const load = this.#getLoad(server.id);
      const others = loads.countOthers(server.id);
      slots += server.slots;
      ownInFlight += load.inFlight;
      shed += load.isFull(now) ? 1 : 0;
      if (others === undefined) othersInFlight = undefined;
      else if (othersInFlight !== undefined) othersInFlight += others;
    }
    return {
      slots,
      ownInFlight,
      othersInFlight,
      shedRatio: shed / Math.max(1, admitted.length),
    };
  }

  /**
   * Returns the shortest expected wait for a slot, in milliseconds.
   *
   * Servers that are likely to fail are left out if there are others: their
   * queues are short only because they are avoided.
   */
  getQueueMs(service: ServiceId): number {
    const { detector } = this.#deps;
    let healthyDepth = Infinity;
    let anyDepth = Infinity;
    for (const server of this.#listAdmitted(service, new Set())) {
      const depth = this.#computeQueueDepth(server);
      anyDepth = Math.min(anyDepth, depth);
      if (depth >= healthyDepth) continue;
      if (detector.getFailureProbability(server) >= UNHEALTHY_PROBABILITY_MIN) {
        continue;
      }
      healthyDepth = depth;
      if (healthyDepth === 0) return 0;
    }
    const depth = healthyDepth < Infinity ? healthyDepth : anyDepth;
    return depth < Infinity
      ? depth * (this.#processingMs.get(service) ?? 0)
      : 0;
  }

  /**
   * Returns the time until the first server's pause ends, in milliseconds; 0
   * unless all servers that don't leave are paused.
   */
  getPauseMs(service: ServiceId): number {
    const { configuration, notices } = this.#deps;
    let shortestMs = Infinity;
    for (const server of configuration.state.listServers(service)) {
      switch (notices.getAvailability(server)) {
        case Availability.Available:
          return 0;
        case Availability.Leaving:
        case Availability.Evacuated:
          break;
        case Availability.Paused:
          shortestMs = Math.min(shortestMs, notices.getPauseMs(server));
      }
    }
    return shortestMs < Infinity ? shortestMs : 0;
  }

  /** Whether evacuations leave no server of a service that would have some. */
  hasOnlyEvacuated(service: ServiceId): boolean {
    const { configuration, notices } = this.#deps;
    let hasEvacuated = false;
    for (const server of configuration.state.listServers(service)) {
      switch (notices.getAvailability(server)) {
        case Availability.Available:
        case Availability.Paused:
          return false;
        case Availability.Leaving:
          break;
        case Availability.Evacuated:
          hasEvacuated = true;
      }
    }
    return hasEvacuated;
  }

  /** Records that an attempt starts; returns whether it gets a free slot. */
  recordStart(server: Server): boolean {
    const hasCapacity = this.#computeQueueDepth(server) === 0;
    this.#getLoad(server.id).recordStart();
    return hasCapacity;
  }

  /** Records that an attempt ended; `report` is undefined without a response. */
  recordEnd(server: Server, report: AttemptReport | undefined): void {
    const typicalMs = this.getTypicalMs(server.service);
    const at = this.#deps.clock.now();
    this.#getLoad(server.id).recordEnd(
      report && { ...report, typicalMs, at },
    );
    if (report?.latencyMs === undefined) return;
    const { latencyMs, hadCapacity } = report;
    recordTypical(this.#typicalMs, server.service, latencyMs);
    if (hadCapacity) {
      recordTypical(this.#processingMs, server.service, latencyMs);
    }
  }

  /** Whether a request may still be sent to a server that was selected. */
  isUsable(server: Server): boolean {
    const { configuration } = this.#deps;
    const current = configuration.state.servers.get(server.id);
    return current !== undefined && current.host === server.host &&
      current.port === server.port && current.service === server.service &&
      this.#isAvailable(current);
  }

  /** Returns the state of all servers as known to this VM. */
  getReport(): ServerReport[] {
    const { servers } = this.#deps.configuration.state;
    return [...servers.values()].map((server) => {
      const availability = this.#deps.notices.getAvailability(server);
      return {
        server: server.id,
        service: server.service,
        inFlight: this.#getLoad(server.id).inFlight,
        latencyMs: this.#getLoad(server.id).getLatencyMs(
          this.getTypicalMs(server.service),
          this.#deps.clock.now(),
        ),
        isDraining: availability === Availability.Leaving,
        availability,
      };
    });
  }

  #pickFirst(service: ServiceId, impact: FailureImpact): Server | undefined {
    const admitted = this.#listAdmitted(service, new Set());
    switch (impact) {
      case FailureImpact.Request:
      case FailureImpact.ScarceAttempt:
        return this.#pickOne(admitted, impact);
      case FailureImpact.Attempt:
        return this.#findTrial(service) ?? this.#findSuspect(service) ??
          this.#pickOne(admitted, impact);
    }
  }

  #findTrial(service: ServiceId): Server | undefined {
    const { configuration, detector } = this.#deps;
    return configuration.state.listServers(service).find((server) =>
      detector.getEjectionState(server) === EjectionState.Trial &&
      this.#isAvailable(server) && this.#isWarmEnough(server)
    );
  }

  /**
   * Finds a suspected server with a free slot to test with this request.
   *
   * The detector needs the same number of outcomes with or without tests, which
   * only provide them sooner. Tests are limited by rate: as a share of all
   * requests they would crowd the server and make it slow.
   */
  #findSuspect(service: ServiceId): Server | undefined {
    const { clock, detector } = this.#deps;
    const suspects = this.#listAdmitted(service, new Set()).filter((server) =>
      detector.isSuspect(server) &&
      this.#getLoad(server.id).hasHeadroom(server.slots)
    );
    const now = clock.now();
    const sinceMs = now - (this.#testedAt.get(service) ?? -Infinity);
    if (suspects.length === 0 || sinceMs < detector.getTestIntervalMs()) {
      return undefined;
    }
    this.#testedAt.set(service, now);
    return this.#pickRandom(suspects);
  }

  #listAdmitted(
    service: ServiceId,
    tried: ReadonlySet<ServerId>,
    isAccepted = (server: Server): boolean => this.#isWarmEnough(server),
  ): Server[] {
    const { configuration, detector } = this.#deps;
    return configuration.state.listServers(service).filter((server) =>
      !tried.has(server.id) && this.#isAvailable(server) &&
      detector.getEjectionState(server) === EjectionState.Admitted &&
      isAccepted(server)
    );
  }

  #isWarmEnough(server: Server): boolean {
    return isSendable(this.#deps.warmUp.getWarmth(server));
  }

  #isAvailable(server: Server): boolean {
    const availability = this.#deps.notices.getAvailability(server);
    return availability === Availability.Available;
  }

  /** Returns the typical latency of a service, in milliseconds. */
  getTypicalMs(service: ServiceId): number {
    return this.#typicalMs.get(service) ?? INITIAL_LATENCY_MS;
  }

  /**
   * Picks the server with the lowest cost (penalty plus expected wait) among a
   * few random ones of those with the least penalty and as many random others.
   */
  #pickOne(
    servers: readonly Server[],
    impact: FailureImpact,
  ): Server | undefined {
    const candidates = servers.map((server): Candidate => ({
      server,
      penalty: this.#getPenalty(server, impact),
    }));
    const minPenalty = Math.min(...candidates.map(({ penalty }) => penalty));
    const best: Candidate[] = [];
    const rest: Candidate[] = [];
    for (const candidate of candidates) {
      const isBest = candidate.penalty <= minPenalty + SIMILAR_PENALTY_RATIO;
      (isBest ? best : rest).push(candidate);
    }
    const sampled = [best, rest]
      .flatMap((group) => Array<Candidate[]>(SAMPLES_PER_GROUP).fill(group))
      .map((group) => this.#pickRandom(group))
      .filter((candidate) => candidate !== undefined);
    let picked: Server | undefined;
    let shortestMs = Infinity;
    for (const { server, penalty } of sampled) {
      const typicalMs = this.getTypicalMs(server.service);
      const costMs = penalty * typicalMs + this.#getWaitMs(server);
      if (costMs >= shortestMs) continue;
      picked = server;
      shortestMs = costMs;
    }
    return picked;
  }

  /** Returns the penalty of a server, in multiples of the typical latency. */
  #getPenalty(server: Server, impact: FailureImpact): number {
    const { detector, failureDomain, warmUp } = this.#deps;
    const crossDomain = server.failureDomain === failureDomain
      ? 0
      : CROSS_DOMAIN_RATIO;
    const failureProbability = detector.getFailureProbability(server);
    const isRisky = impact !== FailureImpact.Attempt &&
      failureProbability >= RISKY_PROBABILITY_MIN;
    const coldStart = getColdPenalty(warmUp.getWarmth(server), isRisky);
    const odds = failureProbability / (1 - failureProbability);
    return odds * getFailureRatio(impact) + crossDomain + coldStart;
  }

  #pickRandom<T>(items: readonly T[]): T | undefined {
    return items[Math.floor(this.#deps.random() * items.length)];
  }

  #getWaitMs(server: Server): number {
    const admittedMs = this.#deps.detector.getAdmittedMs(server);
    const ramp = Math.min(
      1,
      RAMP_MIN_RATIO + admittedMs / RAMP_MS,
      RAMP_MIN_RATIO + this.#deps.notices.getRampRatio(server),
    );
    const waitMs = this.#getLoad(server.id).getWaitMs(
      server.slots,
      this.getTypicalMs(server.service),
      this.#deps.clock.now(),
      this.#deps.loads.countOthers(server.id),
    );
    return waitMs / ramp;
  }

  #computeQueueDepth(server: Server): number {
    return this.#getLoad(server.id).computeQueueDepth(
      server.slots,
      this.#deps.clock.now(),
      this.#deps.loads.countOthers(server.id),
    );
  }

  #countInFlight(): LoadByServer {
    const counts = new Map<ServerId, number>();
    for (const [server, { inFlight }] of this.#loads) {
      if (inFlight > 0) counts.set(server, inFlight);
    }
    return counts;
  }

  #getLoad(server: ServerId): ServerLoad {
    const existing = this.#loads.get(server);
    if (existing !== undefined) return existing;
    const created = new ServerLoad();
    this.#loads.set(server, created);
    return created;
  }
}

/** Adds a latency to a service's moving average. */
function recordTypical(
  typical: Map<ServiceId, number>,
  service: ServiceId,
  latencyMs: number,
): void {
  const before = typical.get(service) ?? latencyMs;
  typical.set(service, before + TYPICAL_WEIGHT * (latencyMs - before));
}

/** Returns the penalty of even odds of a failure, in multiples of a latency. */
function getFailureRatio(impact: FailureImpact): number {
  switch (impact) {
    case FailureImpact.Attempt:
      return RETRYABLE_FAILURE_RATIO;
    case FailureImpact.ScarceAttempt:
    case FailureImpact.Request:
      return LOST_FAILURE_RATIO;
  }
}
