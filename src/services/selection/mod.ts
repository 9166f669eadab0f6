/** Selection service: picks the backend server for the next attempt. */
import type { Server, ServerId, ServiceId } from "../../model/mod.ts";
import type { Clock } from "../clock/mod.ts";
import type { Configuration } from "../configuration/mod.ts";
import { ServerStanding } from "../detector/mod.ts";
import type { Detector } from "../detector/mod.ts";
import type { LoadReport } from "../forwarding/upstream.ts";
import type { Random } from "../random/mod.ts";
import type { LoadByServer, LoadExchange } from "./load_exchange.ts";
import { ServerLoad } from "./server_load.ts";

/** Latency assumed for a service before the first response, in milliseconds. */
const INITIAL_LATENCY_MS = 1;
/** Weight of the newest latency in the typical latency of a service. */
const USUAL_WEIGHT = 0.05;
/** Time until a readmitted server gets its full share of requests, in ms. */
const RAMP_MS = 10_000;
/** Initial share of a readmitted server, relative to its full share. */
const RAMP_MIN = 0.2;
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
const REPEATABLE_FAILURE_RATIO = 1.5;
/** Penalty for another failure domain: its traffic is billed and slower. */
const FAR_RATIO = 0.25;
/** Penalty for a cold start: a new server runs at about half of its speed. */
const COLD_RATIO = 0.5;
/**
 * Number of random servers drawn from the best group and from the rest. Since
 * the loads that VMs exchange are stale, more would crowd the same servers and
 * fewer would leave others idle.
 */
const DRAWN_OF_EACH = 4;
/** Difference of penalties up to which servers are in the same group. */
const ALIKE_RATIO = 0.2;

/** Failure probability from which a server no longer counts as healthy. */
const SOUND_CHANCE_MAX = 0.5;

/** Services and data that {@linkcode Selection} depends on. */
export interface SelectionParts {
  readonly configuration: Configuration;
  readonly detector: Detector;
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
}

/** Latency and load of a backend server that an attempt observed. */
export interface AttemptReport {
  /** Time to the complete response in ms; undefined if not representative. */
  readonly latencyMs: number | undefined;
  readonly load: LoadReport | undefined;
  /** Whether the server shed the request for lack of capacity. */
  readonly isShed: boolean;
  /** Whether the request got a free slot, as far as was known. */
  readonly hadRoom: boolean;
}

/** What is lost if a server fails an attempt. */
export enum FailureStake {
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
  readonly #parts: SelectionParts;
  /** Time of the last request that tested a suspected server, by service. */
  readonly #testedAt = new Map<ServiceId, number>();
  readonly #usualMs = new Map<ServiceId, number>();
  /** Typical processing time without waiting for a slot, in milliseconds. */
  readonly #workMs = new Map<ServiceId, number>();
  readonly #loads = new Map<ServerId, ServerLoad>();

  /** Creates the service without any latencies or loads. */
  constructor(parts: SelectionParts) {
    this.#parts = parts;
    parts.loads.setSource(() => this.#countInFlight());
  }

  /**
   * Yields servers to try; each is selected only when the caller requests it.
   *
   * No server is yielded twice. Of several random servers, the one with the
   * shortest expected wait comes first. A server on trial comes before the
   * others, but only for requests that may be retried. After a failure, the
   * servers that are least likely to fail are preferred, since few attempts
   * remain.
   */
  *selectServers(
    service: ServiceId,
    stake: FailureStake,
  ): Generator<Server, void, undefined> {
    const tried = new Set<ServerId>();
    const first = this.#pickFirst(service, stake);
    if (first === undefined) return;
    tried.add(first.id);
    yield first;
    while (true) {
      const admitted = this.#listAdmitted(service, tried);
      const server = this.#pickOne(admitted, FailureStake.Request);
      if (server === undefined) return;
      tried.add(server.id);
      yield server;
    }
  }

  /** Counts the slots of all admitted servers of a service. */
  countSlots(service: ServiceId): number {
    return this.#listAdmitted(service, new Set())
      .reduce((sum, server) => sum + server.slots, 0);
  }

  /**
   * Returns the shortest expected wait for a slot, in milliseconds.
   *
   * Servers that are likely to fail are left out if there are others: their
   * queues are short only because they are avoided.
   */
  getQueueMs(service: ServiceId): number {
    const { detector } = this.#parts;
    let soundTurns = Infinity;
    let anyTurns = Infinity;
    for (const server of this.#listAdmitted(service, new Set())) {
      const turns = this.#countTurns(server);
      anyTurns = Math.min(anyTurns, turns);
      if (turns >= soundTurns) continue;
      if (detector.getFaultChance(server) >= SOUND_CHANCE_MAX) continue;
      soundTurns = turns;
      if (soundTurns === 0) return 0;
    }
    const turns = soundTurns < Infinity ? soundTurns : anyTurns;
    return turns < Infinity ? turns * (this.#workMs.get(service) ?? 0) : 0;
  }

  /** Records that an attempt starts; returns whether it gets a free slot. */
  recordStart(server: Server): boolean {
    const hasRoom = this.#countTurns(server) === 0;
    this.#getLoad(server.id).recordStart();
    return hasRoom;
  }

  /** Records that an attempt ended; `report` is undefined without a response. */
  recordEnd(server: Server, report: AttemptReport | undefined): void {
    const usualMs = this.getUsualMs(server.service);
    const at = this.#parts.clock.now();
    this.#getLoad(server.id).recordEnd(report && { ...report, usualMs, at });
    if (report?.latencyMs === undefined) return;
    const { latencyMs, hadRoom } = report;
    recordUsual(this.#usualMs, server.service, latencyMs);
    if (hadRoom) recordUsual(this.#workMs, server.service, latencyMs);
  }

  /** Whether a request may still be sent to a server that was selected. */
  isInUse(server: Server): boolean {
    const { configuration, detector } = this.#parts;
    const known = configuration.state.servers.get(server.id);
    return known !== undefined && known.host === server.host &&
      known.port === server.port && known.service === server.service &&
      !detector.isDraining(known);
  }

  /** Returns the state of all servers as known to this VM. */
  getReport(): ServerReport[] {
    const { servers } = this.#parts.configuration.state;
    return [...servers.values()].map((server) => ({
      server: server.id,
      service: server.service,
      inFlight: this.#getLoad(server.id).inFlight,
      latencyMs: this.#getLoad(server.id).getLatencyMs(
        this.getUsualMs(server.service),
        this.#parts.clock.now(),
      ),
      isDraining: this.#parts.detector.isDraining(server),
    }));
  }

  #pickFirst(service: ServiceId, stake: FailureStake): Server | undefined {
    const admitted = this.#listAdmitted(service, new Set());
    switch (stake) {
      case FailureStake.Request:
      case FailureStake.ScarceAttempt:
        return this.#pickOne(admitted, stake);
      case FailureStake.Attempt:
        return this.#findTrial(service) ?? this.#findSuspect(service) ??
          this.#pickOne(admitted, stake);
    }
  }

  #findTrial(service: ServiceId): Server | undefined {
    const { configuration, detector } = this.#parts;
    return configuration.state.listServers(service).find((server) =>
      detector.getStanding(server) === ServerStanding.Trial &&
      !detector.isDraining(server)
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
    const { clock, detector } = this.#parts;
    const suspects = this.#listAdmitted(service, new Set()).filter((server) =>
      detector.isSuspect(server) &&
      this.#getLoad(server.id).hasRoom(server.slots)
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
  ): Server[] {
    const { configuration, detector } = this.#parts;
    return configuration.state.listServers(service).filter((server) =>
      !tried.has(server.id) && !detector.isDraining(server) &&
      detector.getStanding(server) === ServerStanding.Admitted
    );
  }

  /** Returns the typical latency of a service, in milliseconds. */
  getUsualMs(service: ServiceId): number {
    return this.#usualMs.get(service) ?? INITIAL_LATENCY_MS;
  }

  /**
   * Picks the server with the lowest cost (penalty plus expected wait) among a
   * few random ones of those with the least penalty and as many random others.
   */
  #pickOne(
    servers: readonly Server[],
    stake: FailureStake,
  ): Server | undefined {
    const candidates = servers.map((server): Candidate => ({
      server,
      penalty: this.#getPenalty(server, stake),
    }));
    const least = Math.min(...candidates.map(({ penalty }) => penalty));
    const best: Candidate[] = [];
    const rest: Candidate[] = [];
    for (const candidate of candidates) {
      const isBest = candidate.penalty <= least + ALIKE_RATIO;
      (isBest ? best : rest).push(candidate);
    }
    const drawn = [best, rest]
      .flatMap((group) => Array<Candidate[]>(DRAWN_OF_EACH).fill(group))
      .map((group) => this.#pickRandom(group))
      .filter((candidate) => candidate !== undefined);
    let picked: Server | undefined;
    let shortestMs = Infinity;
    for (const { server, penalty } of drawn) {
      const usualMs = this.getUsualMs(server.service);
      const costMs = penalty * usualMs + this.#getWaitMs(server);
      if (costMs >= shortestMs) continue;
      picked = server;
      shortestMs = costMs;
    }
    return picked;
  }

  /** Returns the penalty of a server, in multiples of the typical latency. */
  #getPenalty(server: Server, stake: FailureStake): number {
    const { detector, failureDomain, clock } = this.#parts;
    const coldUntil = (server.listedAt ?? -Infinity) + (server.coldMs ?? 0);
    const far = server.failureDomain === failureDomain ? 0 : FAR_RATIO;
    const cold = clock.now() < coldUntil ? COLD_RATIO : 0;
    const chance = detector.getFaultChance(server);
    const odds = chance / (1 - chance);
    return odds * getFailureRatio(stake) + far + cold;
  }

  #pickRandom<T>(items: readonly T[]): T | undefined {
    return items[Math.floor(this.#parts.random() * items.length)];
  }

  #getWaitMs(server: Server): number {
    const admittedMs = this.#parts.detector.getAdmittedMs(server);
    const ramp = Math.min(1, RAMP_MIN + admittedMs / RAMP_MS);
    const waitMs = this.#getLoad(server.id).getWaitMs(
      server.slots,
      this.getUsualMs(server.service),
      this.#parts.clock.now(),
      this.#parts.loads.countOthers(server.id),
    );
    return waitMs / ramp;
  }

  #countTurns(server: Server): number {
    return this.#getLoad(server.id).countTurns(
      server.slots,
      this.#parts.clock.now(),
      this.#parts.loads.countOthers(server.id),
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
function recordUsual(
  usual: Map<ServiceId, number>,
  service: ServiceId,
  latencyMs: number,
): void {
  const before = usual.get(service) ?? latencyMs;
  usual.set(service, before + USUAL_WEIGHT * (latencyMs - before));
}

/** Returns the penalty of even odds of a failure, in multiples of a latency. */
function getFailureRatio(stake: FailureStake): number {
  switch (stake) {
    case FailureStake.Attempt:
      return REPEATABLE_FAILURE_RATIO;
    case FailureStake.ScarceAttempt:
    case FailureStake.Request:
      return LOST_FAILURE_RATIO;
  }
}
