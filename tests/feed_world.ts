/** Simulates VMs with feeds of configurations and servers in virtual time. */
import { MemoryNetwork } from "../standins/memory_network.ts";
import type { MemoryTransport } from "../standins/memory_network.ts";
import { VirtualClock, VirtualTime } from "../standins/virtual_clock.ts";
import { PresetName, ServerPhase, VmPhase } from "../src/model/mod.ts";
import type { Preset, Team } from "../src/model/mod.ts";
import { Configuration } from "../src/services/configuration/mod.ts";
import { EvacuatedDomains } from "../src/services/evacuation/mod.ts";
import { startEvacuationRelay } from "../src/services/evacuation/relay.ts";
import { Feed } from "../src/services/feed/mod.ts";
import { FeedRelay } from "../src/services/feed/relay.ts";
import { RestoredStore } from "../src/services/feed/restored_store.ts";
import { ServerRegistry } from "../src/services/feed/server_registry.ts";
import {
  DocumentUpdateKind,
  EvacuationUpdateKind,
  ServerUpdateKind,
} from "../src/services/feed/source.ts";
import type {
  OperatorUpdate,
  ServerEntry,
  ServerUpdate,
  ServerVersion,
} from "../src/services/feed/source.ts";
import { createFleetLoads } from "../src/services/fleet/loads.ts";
import type { FleetLoads } from "../src/services/fleet/loads.ts";
import {
  Fleet,
  FleetMessageKind,
  FleetRole,
  VmUpdateKind,
} from "../src/services/fleet/mod.ts";
import type {
  FleetMessage,
  VmDirectory,
  VmUpdate,
} from "../src/services/fleet/mod.ts";
import { createFleetTokens } from "../src/services/fleet/tokens.ts";
import { Confirmations } from "../src/services/freshness/confirmations.ts";
import type { Logger } from "../src/services/logging/mod.ts";
import { Metrics } from "../src/services/metrics/mod.ts";
import { Quota } from "../src/services/quota/mod.ts";
import type { TeamLimiter } from "../src/services/quota/team_limiter.ts";
import { createSeededRandom } from "../src/services/random/mod.ts";
import { MemoryEras, MemoryTopic } from "./memory_topic.ts";

/** Names of the failure domains of a {@linkcode World}. */
export const DOMAINS = ["a", "b", "c"];
const VMS_PER_DOMAIN = 5;
/**
 * Freshness bound of the users' platform, in milliseconds: 0.6 of the time in
 * which a key withdrawal must take effect.
 */
const FRESHNESS_MS = 3_000;
/**
 * Time after which no VM may send requests to a server that left, as required
 * by the users' platform; in milliseconds.
 */
export const DRAIN_MS = 2_000;
/** Time in which a starting fleet elects its hubs, in milliseconds. */
export const SETTLE_MS = 8_000;
/** One VM of a {@linkcode World}. */
export interface VirtualVm {
  readonly name: string;
  readonly clock: VirtualClock;
  readonly transport: MemoryTransport<FleetMessage>;
  readonly fleet: Fleet;
  readonly configuration: Configuration;
  readonly freshness: Confirmations;
  readonly registry: ServerRegistry;
  readonly evacuations: EvacuatedDomains;
  readonly loads: FleetLoads;
  readonly limiter: TeamLimiter;
  readonly stop: AbortController;
  /** Whether its planned stop has started. */
  isLeaving: boolean;
}

/** Returns a VM's capacity; VMs with high numbers in their names are larger. */
export function getCapacity(name: string): number {
  return Number(name.slice(1)) >= VMS_PER_DOMAIN - 2 ? 250 : 2.7;
}

/** Creates the entry that the server `id` writes about itself. */
export function createServerEntry(
  id: string,
  phase: ServerPhase,
  version: ServerVersion,
): ServerEntry {
  return {
    server: {
      id,
      service: "rota",
      host: id,
      port: 80,
      failureDomain: "a",
      slots: 4,
      phase,
    },
    ...version,
  };
}

/** The preset outside of peaks and maintenance. */
export const ORDINARY: Preset = {
  name: PresetName.Ordinary,
  rateFactor: 1,
  deadlineFactor: 1,
  retries: true,
  revision: 0,
};

/** Number of updates of each topic in a copy of the store. */
export interface StoreCopy {
  readonly documents: number;
  readonly directory: number;
  readonly servers: number;
}

/** A log line of a VM. */
export interface LogLine {
  readonly at: number;
  readonly vm: string;
  readonly message: string;
  readonly fields: object;
}

/** VMs in three failure domains that use one store. */
export class World {
  /** Number of configurations and server lists that VMs sent to each other. */
  bulkMessagesSent = 0;
  readonly time = new VirtualTime();
  readonly network = new MemoryNetwork<FleetMessage>(this.time, {
    latencyMs: 1,
    encode: (message) => {
      const { Document, Servers } = FleetMessageKind;
      const isBulk = message.kind === Document || message.kind === Servers;
      if (isBulk) this.bulkMessagesSent += 1;
      return new Uint8Array();
    },
  });
  readonly eras = new MemoryEras();
  readonly documents = new MemoryTopic<OperatorUpdate>({
    getKey: (update) => "domain" in update ? update.domain : "configuration",
    isRemoval: (update) => update.kind === EvacuationUpdateKind.Restored,
  }, this.eras);
  readonly directory = new MemoryTopic<VmUpdate>({
    getKey: (update) =>
      update.kind === VmUpdateKind.Announced ? update.vm.name : update.name,
    isRemoval: (update) => update.kind === VmUpdateKind.Withdrawn,
  }, this.eras);
  readonly servers = new MemoryTopic<ServerUpdate>({
    getKey: (update) =>
      update.kind === ServerUpdateKind.Listed
        ? update.entry.server.id
        : update.id,
    isRemoval: (update) => update.kind === ServerUpdateKind.Removed,
  }, this.eras);
  readonly vms: VirtualVm[] = [];
  /** The only team with a limit. */
  team: Team = {
    id: "team",
    cell: "cell",
    ratePerSecond: 60,
    burst: 60,
    revision: 0,
  };
  /** Log lines of all VMs, printed when a test fails. */
  readonly logLines: LogLine[] = [];
  #startCount = 0;
  #entryCount = 0;

  startVm(name: string): VirtualVm {
    this.#startCount += 1;
    const clock = new VirtualClock(this.time);
    const logger = this.#createLogger(name);
    const metrics = new Metrics();
    const transport = this.network.addTransport(name, clock);
    const configuration = new Configuration("cell", clock);
    const freshness = new Confirmations({
      clock,
      configuration,
      logger,
      boundMs: FRESHNESS_MS,
    });
    const fleet = new Fleet({
      clock,
      self: {
        name,
        incarnation: this.#startCount,
        failureDomain: name.slice(0, 1),
        callerAddress: `${name}:80`,
        peerAddress: name,
        capacity: getCapacity(name),
      },
      transport,
      directory: this.#createDirectory(name, clock),
      seeds: [],
      logger,
    });
    fleet.setPhaseSource(() => {
      if (vm.isLeaving) return VmPhase.Leaving;
      return freshness.isFresh() ? VmPhase.Serving : VmPhase.Starting;
    });
    const loads = createFleetLoads(fleet, clock);
    loads.setSource(() => new Map([["s1", 1]]));
    loads.setBacklogSource(() => new Map([["rota", [0, 100.4, 0, 0]]]));
    const registry = new ServerRegistry({ configuration, logger });
    const evacuations = new EvacuatedDomains({ metrics, logger });
    startEvacuationRelay({ clock, fleet, domains: evacuations });
    const relay = new FeedRelay({
      clock,
      fleet,
      configuration,
      registry,
      evacuations,
      freshness,
      random: createSeededRandom(this.#startCount),
      logger,
    });
    const feed = new Feed({
      clock,
      random: createSeededRandom(this.#startCount),
      relay,
      restoredStore: new RestoredStore({ clock, fleet, freshness, logger }),
      registry,
      evacuations,
      documents: this.documents.createSource(name, clock),
      servers: this.servers.createSource(name, clock),
      eras: this.eras.createSource(name),
      metrics,
      logger,
    });
    const stop = new AbortController();
    const vm: VirtualVm = {
      name,
      clock,
      transport,
      fleet,
      configuration,
      freshness,
      registry,
      evacuations,
      loads,
      limiter: this.#createLimiter(fleet, clock),
      stop,
      isLeaving: false,
    };
    void fleet.runAccepting();
    void fleet.runAnnouncing(stop.signal);
    void fleet.runDirectory(stop.signal);
    void fleet.runUplink(stop.signal);
    void fleet.runHeartbeats(stop.signal);
    void fleet.runLoads(stop.signal);
    void feed.runDocuments(stop.signal);
    void feed.runServers(stop.signal);
    const index = this.vms.findIndex((known) => known.name === name);
    if (index < 0) this.vms.push(vm);
    else this.vms[index] = vm;
    return vm;
  }

  killVm(vm: VirtualVm): void {
    vm.stop.abort();
    void vm.transport.close();
    this.vms.splice(this.vms.indexOf(vm), 1);
  }

  /** Evacuates a failure domain, or restores it. */
  publishEvacuation(domain: string, isEvacuated = true): void {
    const { Evacuated, Restored } = EvacuationUpdateKind;
    this.documents.add({
      kind: isEvacuated ? Evacuated : Restored,
      offset: this.documents.nextPosition,
      domain,
    });
  }

  /** Publishes a configuration that no VM can read. */
  publishUnreadable(): void {
    this.documents.add({
      kind: DocumentUpdateKind.Unreadable,
      offset: this.documents.nextPosition,
      reason: "is not JSON",
    });
  }

  publish(version: number): void {
    this.documents.add({
      kind: DocumentUpdateKind.Readable,
      offset: this.documents.nextPosition,
      document: {
        version,
        routes: [],
        services: [],
        teams: [],
        keys: [],
        limits: {
          headerBytes: 1,
          bodyBytes: 1,
          headerTimeoutMs: 1,
          idleTimeoutMs: 1,
        },
      },
    });
  }

  /** Writes a server's entry, or removes it. */
  announceServer(id: string, phase: ServerPhase | undefined): void {
    const offset = this.servers.nextPosition;
    if (phase === undefined) {
      this.servers.add({ kind: ServerUpdateKind.Removed, offset, id });
      return;
    }
    this.#entryCount += 1;
    const entry = createServerEntry(id, phase, {
      startedAt: 1,
      sequence: this.#entryCount,
    });
    this.servers.add({ kind: ServerUpdateKind.Listed, offset, entry });
  }

  /** Returns a copy of the store, for {@linkcode restoreCopy}. */
  createCopy(): StoreCopy {
    return {
      documents: this.documents.updates.length,
      directory: this.directory.updates.length,
      servers: this.servers.updates.length,
    };
  }

  /** Replaces the store's content by a copy, which starts a new era. */
  restoreCopy(copy: StoreCopy): void {
    this.eras.era += 1;
    this.documents.restoreCopy(copy.documents);
    this.directory.restoreCopy(copy.directory);
    this.servers.restoreCopy(copy.servers);
  }

  listHubs(): VirtualVm[] {
    return this.vms.filter((vm) => vm.fleet.role === FleetRole.Hub);
  }

  #createLogger(vm: string): Logger {
    const write = (message: string, fields: object = {}): void =>
      void this.logLines.push({ at: this.time.now, vm, message, fields });
    return { debug: write, info: write, warn: write, error: write };
  }

  #createLimiter(fleet: Fleet, clock: VirtualClock): TeamLimiter {
    return new Quota({
      clock,
      startedAt: clock.now(),
      exchange: createFleetTokens(fleet, clock),
      findLimits: () => this.team,
    });
  }

  #createDirectory(name: string, clock: VirtualClock): VmDirectory {
    return {
      ...this.directory.createSource(name, clock),
      announce: async (vm) => {
        await clock.sleep(4);
        this.directory.add({ kind: VmUpdateKind.Announced, vm });
        return true;
      },
      withdraw: async (vm) => {
        await clock.sleep(4);
        this.directory.add({ kind: VmUpdateKind.Withdrawn, name: vm });
        return true;
      },
    };
  }
}

/** Creates VMs in all failure domains; resolves when hubs are elected. */
export async function createWorld(
  vms = DOMAINS.length * VMS_PER_DOMAIN,
): Promise<World> {
  const world = new World();
  world.publish(1);
  for (const [domainIndex, domain] of DOMAINS.entries()) {
    const count = Math.ceil((vms - domainIndex) / DOMAINS.length);
    for (let index = 0; index < count; index += 1) {
      world.startVm(`${domain}${index}`);
    }
  }
  await world.time.advance(SETTLE_MS);
  return world;
}
