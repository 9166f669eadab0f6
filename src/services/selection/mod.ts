/** Selection service: which backend server gets the next attempt. */
import type { Server, ServerId, ServiceId } from "../../model/mod.ts";
import type { Clock } from "../clock/mod.ts";
import type { Configuration } from "../configuration/mod.ts";
import { ServerStanding } from "../detector/mod.ts";
import type { Detector } from "../detector/mod.ts";
import type { LoadReport } from "../forwarding/upstream.ts";
import type { Random } from "../random/mod.ts";
import type { LoadByServer, LoadExchange } from "./load_exchange.ts";
import { ServerLoad } from "./server_load.ts";

/** Latency assumed of a service without any experience, in milliseconds. */
const INITIAL_LATENCY_MS = 1;
/** Weight of the newest latency in what is usual for a service. */
const USUAL_WEIGHT = 0.05;
/** Time over which a server that was admitted again gets its full share. */
const RAMP_MS = 10_000;
/** Share with which it begins. */
const RAMP_MIN = 0.2;
/*
 * What speaks against a server, as an expected wait, in multiples of the
 * latency that is usual for its service.
 */

/**
 * A failure that can't be made good loses the request. Costs go by the odds of a
 * fault: at even odds, as much as an answer that comes too late to be of use.
 */
const LOST_FAILURE_RATIO = 4;
/** One that can be made good costs time and one of few second attempts. */
const REPEATABLE_FAILURE_RATIO = 1.5;
/** Bytes between failure domains are paid, and answers come later. */
const FAR_RATIO = 0.25;
/** A server that has just started works at about half of its speed. */
const COLD_RATIO = 0.5;
/**
 * Servers drawn of the best and of the others. With loads as old as the fleet's
 * exchange, more would crowd the same servers and fewer leave others idle.
 */
const DRAWN_OF_EACH = 4;
/** Difference of penalties up to which servers are taken to be alike. */
const ALIKE_RATIO = 0.2;

/** Chance of a fault from which a server is no longer taken to be sound. */
const SOUND_CHANCE_MAX = 0.5;

/** What selection decides by. */
export interface SelectionParts {
  readonly configuration: Configuration;
  readonly detector: Detector;
  readonly clock: Clock;
  readonly random: Random;
  readonly loads: LoadExchange;
  /** Failure domain of this VM. */
  readonly failureDomain: string;
}

/** State of one backend server as this VM sees it, for dumps. */
export interface ServerReport {
  readonly server: ServerId;
  readonly service: ServiceId;
  readonly inFlight: number;
  readonly latencyMs: number;
  readonly isDraining: boolean;
}

/** What an attempt told about a backend server. */
export interface AttemptReport {
  /** Time until the answer was whole; undefined if it tells nothing. */
  readonly latencyMs: number | undefined;
  readonly load: LoadReport | undefined;
  /** Whether the server had no room for the request. */
  readonly isShed: boolean;
  /** Whether the request found a free slot, as far as was known. */
  readonly hadRoom: boolean;
}

/** What is lost when a server fails an attempt. */
export enum FailureStake {
  /** One attempt of several; it may test a server that is suspected. */
  Attempt = "attempt",
  /** One attempt while the fleet has few second attempts left. */
  ScarceAttempt = "scarce_attempt",
  /** The request. */
  Request = "request",
}

/** A server and what speaks against it, as an expected wait. */
interface Candidate {
  readonly server: Server;
  readonly penalty: number;
}

/** Picks backend servers and remembers how loaded each is. */
export class Selection {
  readonly #parts: SelectionParts;
  /** When a request last tested a suspect of each service. */
  readonly #testedAt = new Map<ServiceId, number>();
  readonly #usualMs = new Map<ServiceId, number>();
  /** Time of a request that does not wait, in milliseconds. */
  readonly #workMs = new Map<ServiceId, number>();
  readonly #loads = new Map<ServerId, ServerLoad>();

  /** Creates the service without any experience of servers. */
  constructor(parts: SelectionParts) {
    this.#parts = parts;
    parts.loads.setSource(() => this.#countInFlight());
  }

  /**
   * Yields servers to try, the next one only when it is asked for.
   *
   * No server comes twice. Of servers drawn at random, the one with the
   * shortest expected wait goes first. A server on trial comes before the
   * others, but only for requests that may be sent again. After a failure the
   * surest servers are preferred, since few attempts are left.
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

  /** Counts the slots of a service's servers that get work. */
  countSlots(service: ServiceId): number {
    return this.#listAdmitted(service, new Set())
      .reduce((sum, server) => sum + server.slots, 0);
  }

  /**
   * Gets the shortest expected wait for a slot, in milliseconds.
   *
   * A server that is likely to be faulty has a short queue since it is avoided.
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

  /** Records that an attempt starts; returns whether it finds a free slot. */
  recordStart(server: Server): boolean {
    const hasRoom = this.#countTurns(server) === 0;
    this.#getLoad(server.id).recordStart();
    return hasRoom;
  }

  /** Records that an attempt has ended, and what it told. */
  recordEnd(server: Server, report: AttemptReport | undefined): void {
    const usualMs = this.getUsualMs(server.service);
    const at = this.#parts.clock.now();
    this.#getLoad(server.id).recordEnd(report && { ...report, usualMs, at });
    if (report?.latencyMs === undefined) return;
    const { latencyMs, hadRoom } = report;
    recordUsual(this.#usualMs, server.service, latencyMs);
    if (hadRoom) recordUsual(this.#workMs, server.service, latencyMs);
  }

  /** Whether a server that was selected may still be sent a request. */
  isInUse(server: Server): boolean {
    const { configuration, detector } = this.#parts;
    const known = configuration.state.servers.get(server.id);
    return known !== undefined && known.host === server.host &&
      known.port === server.port && known.service === server.service &&
      !detector.isDraining(known);
  }

  /** Lists all servers as this VM sees them. */
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
   * Finds a suspected server that has a free slot, for one of many requests.
   *
   * The verdict takes as many outcomes either way; so they come sooner. A share
   * of all requests would crowd the server and make it slow.
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

  /** Gets the latency that is usual for a service, in milliseconds. */
  getUsualMs(service: ServiceId): number {
    return this.#usualMs.get(service) ?? INITIAL_LATENCY_MS;
  }

  /**
   * Picks one of a few random servers among those with the least penalty, unless
   * one of as many random others would answer sooner all the same.
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

  /** Gets what speaks against a server besides its load. */
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

/** Moves what is usual for a service towards the newest latency. */
function recordUsual(
  usual: Map<ServiceId, number>,
  service: ServiceId,
  latencyMs: number,
): void {
  const before = usual.get(service) ?? latencyMs;
  usual.set(service, before + USUAL_WEIGHT * (latencyMs - before));
}

/** Gets what even odds of a fault cost, in multiples of a latency. */
function getFailureRatio(stake: FailureStake): number {
  switch (stake) {
    case FailureStake.Attempt:
      return REPEATABLE_FAILURE_RATIO;
    case FailureStake.ScarceAttempt:
    case FailureStake.Request:
      return LOST_FAILURE_RATIO;
  }
}
