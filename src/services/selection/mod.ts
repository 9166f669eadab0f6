/** Selection service: which backend server gets the next attempt. */
import { ServerPhase } from "../../model/mod.ts";
import type { Server, ServerId, ServiceId } from "../../model/mod.ts";
import type { Configuration } from "../configuration/mod.ts";
import type { LoadReport } from "../forwarding/upstream.ts";
import type { Random } from "../random/mod.ts";
import { ServerLoad } from "./server_load.ts";

/** What selection decides by. */
export interface SelectionParts {
  readonly configuration: Configuration;
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
  readonly isDraining: boolean;
  readonly load: LoadReport | undefined;
}

/** Picks backend servers and remembers how loaded each is. */
export class Selection {
  readonly #parts: SelectionParts;
  readonly #loads = new Map<ServerId, ServerLoad>();
  readonly #draining = new Set<ServerId>();

  /** Creates the service without any experience of servers. */
  constructor(parts: SelectionParts) {
    this.#parts = parts;
  }

  /**
   * Yields servers to try, the next one only when it is asked for.
   *
   * No server comes twice. Of two drawn at random, the one with the shorter
   * expected wait goes first.
   */
  *selectServers(service: ServiceId): Generator<Server, void, undefined> {
    const tried = new Set<ServerId>();
    while (true) {
      const usable = this.listUsable(service)
        .filter((server) => !tried.has(server.id));
      const server = this.#pickOne(usable);
      if (server === undefined) return;
      tried.add(server.id);
      yield server;
    }
  }

  /** Lists the servers of a service that may get new work. */
  listUsable(service: ServiceId): Server[] {
    return this.#parts.configuration.state.listServers(service)
      .filter((server) => !this.isDraining(server));
  }

  /** Whether a server must get no new work. */
  isDraining(server: Server): boolean {
    return server.phase === ServerPhase.Draining ||
      this.#draining.has(server.id);
  }

  /** Records that an attempt starts. */
  recordStart(server: ServerId): void {
    this.#getLoad(server).recordStart();
  }

  /** Records that an attempt has ended, and what it told. */
  recordEnd(server: ServerId, report: AttemptReport | undefined): void {
    this.#getLoad(server).recordEnd(report);
    if (report?.isDraining) this.#draining.add(server);
  }

  /** Lists all servers as this VM sees them. */
  getReport(): ServerReport[] {
    const { servers } = this.#parts.configuration.state;
    return [...servers.values()].map((server) => ({
      server: server.id,
      service: server.service,
      inFlight: this.#getLoad(server.id).inFlight,
      latencyMs: this.#getLoad(server.id).latencyMs,
      isDraining: this.isDraining(server),
    }));
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
    return this.#getLoad(server.id).getWaitMs(server.slots);
  }

  #getLoad(server: ServerId): ServerLoad {
    const existing = this.#loads.get(server);
    if (existing !== undefined) return existing;
    const created = new ServerLoad();
    this.#loads.set(server, created);
    return created;
  }
}
