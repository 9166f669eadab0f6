/** Selection service: which backend server gets the next attempt. */
import { Idempotency } from "../../model/mod.ts";
import type { Server, ServerId, ServiceId } from "../../model/mod.ts";
import type { Clock } from "../clock/mod.ts";
import type { Configuration } from "../configuration/mod.ts";
import { ServerStanding } from "../detector/mod.ts";
import type { Detector } from "../detector/mod.ts";
import type { LoadReport } from "../forwarding/upstream.ts";
import type { Random } from "../random/mod.ts";
import { ServerLoad } from "./server_load.ts";

/** Latency assumed of a service without any experience, in milliseconds. */
const INITIAL_LATENCY_MS = 1;
/** Weight of the newest latency in what is usual for a service. */
const USUAL_WEIGHT = 0.05;
/** Time over which a server that was just admitted gets its full share. */
const RAMP_MS = 10_000;
/** Share with which it begins. */
const RAMP_MIN = 0.2;

/** What selection decides by. */
export interface SelectionParts {
  readonly configuration: Configuration;
  readonly detector: Detector;
  readonly clock: Clock;
  readonly random: Random;
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
  /** Time from the start of the attempt to the end of its answer. */
  readonly latencyMs: number;
  readonly load: LoadReport | undefined;
}

/** Picks backend servers and remembers how loaded each is. */
export class Selection {
  readonly #parts: SelectionParts;
  /** When a request last tested a suspect of each service. */
  readonly #testedAt = new Map<ServiceId, number>();
  readonly #usualMs = new Map<ServiceId, number>();
  readonly #loads = new Map<ServerId, ServerLoad>();

  /** Creates the service without any experience of servers. */
  constructor(parts: SelectionParts) {
    this.#parts = parts;
  }

  /**
   * Yields servers to try, the next one only when it is asked for.
   *
   * No server comes twice. Of two drawn at random, the one with the shorter
   * expected wait goes first. A server on trial comes before the others, but
   * only for requests that may be sent again.
   */
  *selectServers(
    service: ServiceId,
    idempotency: Idempotency,
  ): Generator<Server, void, undefined> {
    const tried = new Set<ServerId>();
    while (true) {
      const server = this.#pickNext(service, idempotency, tried);
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

  /** Records that an attempt starts. */
  recordStart(server: ServerId): void {
    this.#getLoad(server).recordStart();
  }

  /** Records that an attempt has ended, and what it told. */
  recordEnd(server: Server, report: AttemptReport | undefined): void {
    const usualMs = this.#getUsualMs(server.service);
    const at = this.#parts.clock.now();
    this.#getLoad(server.id).recordEnd(report && { ...report, usualMs, at });
    if (report === undefined) return;
    const change = USUAL_WEIGHT * (report.latencyMs - usualMs);
    this.#usualMs.set(server.service, usualMs + change);
  }

  /** Lists all servers as this VM sees them. */
  getReport(): ServerReport[] {
    const { servers } = this.#parts.configuration.state;
    return [...servers.values()].map((server) => ({
      server: server.id,
      service: server.service,
      inFlight: this.#getLoad(server.id).inFlight,
      latencyMs: this.#getLoad(server.id).getLatencyMs(
        this.#getUsualMs(server.service),
        this.#parts.clock.now(),
      ),
      isDraining: this.#parts.detector.isDraining(server),
    }));
  }

  #pickNext(
    service: ServiceId,
    idempotency: Idempotency,
    tried: ReadonlySet<ServerId>,
  ): Server | undefined {
    if (idempotency === Idempotency.Idempotent && tried.size === 0) {
      const onTrial = this.#findTrial(service) ?? this.#findSuspect(service);
      if (onTrial !== undefined) return onTrial;
    }
    return this.#pickOne(this.#listAdmitted(service, tried));
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
  #getUsualMs(service: ServiceId): number {
    return this.#usualMs.get(service) ?? INITIAL_LATENCY_MS;
  }

  #pickOne(servers: readonly Server[]): Server | undefined {
    const first = this.#pickRandom(servers);
    const second = this.#pickRandom(servers);
    if (first === undefined || second === undefined) return first;
    return this.#getWaitMs(second) < this.#getWaitMs(first) ? second : first;
  }

  #pickRandom(servers: readonly Server[]): Server | undefined {
    return servers[Math.floor(this.#parts.random() * servers.length)];
  }

  #getWaitMs(server: Server): number {
    const admittedMs = this.#parts.detector.getAdmittedMs(server);
    const ramp = Math.min(1, RAMP_MIN + admittedMs / RAMP_MS);
    const waitMs = this.#getLoad(server.id).getWaitMs(
      server.slots,
      this.#getUsualMs(server.service),
      this.#parts.clock.now(),
    );
    return waitMs / ramp;
  }

  #getLoad(server: ServerId): ServerLoad {
    const existing = this.#loads.get(server);
    if (existing !== undefined) return existing;
    const created = new ServerLoad();
    this.#loads.set(server, created);
    return created;
  }
}
