/** Simulates VMs with feeds of configurations and servers in virtual time. */
import { MemoryNetwork } from "../standins/memory_network.ts";
import type { MemoryTransport } from "../standins/memory_network.ts";
import { VirtualClock, VirtualTime } from "../standins/virtual_clock.ts";
import { PresetName, ServerPhase, VmPhase } from "../src/model/mod.ts";
import type { ConfigurationDocument, Preset, Team } from "../src/model/mod.ts";
import { Configuration } from "../src/services/configuration/mod.ts";
import { Feed } from "../src/services/feed/mod.ts";
import { FeedRelay } from "../src/services/feed/relay.ts";
import { ServerRegistry } from "../src/services/feed/server_registry.ts";
import {
  DocumentUpdateKind,
  FeedReadKind,
  ServerUpdateKind,
} from "../src/services/feed/source.ts";
import type {
  FeedRead,
  FeedSource,
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
/** Duration of a call to the store, in milliseconds. */
const CALL_MS = 4;
/** Timeout of a call to the store after its wait, in milliseconds. */
const CALL_TIMEOUT_MS = 1_000;

/** Options of {@linkcode MemoryTopic}. */
interface MemoryTopicOptions<Update> {
  /** Returns an update's key; the newest update of each key is retained. */
  readonly getKey: (update: Update) => string;
  /** Returns whether an update removes its key. */
  readonly isRemoval: (update: Update) => boolean;
}

/** A keyed topic of the store, with faults for individual clients. */
export class MemoryTopic<Update> {
  readonly updates: Update[] = [];
  /** VMs whose calls are rejected. */
  readonly rejectedClients = new Set<string>();
  /** VMs whose calls get no response and time out. */
  readonly hangingClients = new Set<string>();
  /** Additional duration of calls by VM, in milliseconds. */
  readonly delays = new Map<string, number>();
  /** Returns whether the response to a VM is lost; runs once for each call. */
  isLost: (vm: string) => boolean = () => false;
  isDown = false;
  calls = 0;
  /** Offset of the oldest update in the history. */
  #firstOffset = 0;
  readonly #newest = new Map<string, Update>();
  readonly #waiters = new Set<() => void>();
  readonly #options: MemoryTopicOptions<Update>;
  #isPaused = false;
  /** End of the updates that readers get while updates are paused. */
  #pausedEnd = 0;

  constructor(options: MemoryTopicOptions<Update>) {
    this.#options = options;
  }

  add(update: Update): void {
    this.updates.push(update);
    const key = this.#options.getKey(update);
    if (this.#options.isRemoval(update)) this.#newest.delete(key);
    else this.#newest.set(key, update);
    if (this.#isPaused) return;
    for (const wake of this.#waiters) wake();
  }

  /** Removes the history; the newest update of each key is retained. */
  removeHistory(): void {
    this.#firstOffset = this.updates.length;
  }

  /** Hides new updates from readers until {@linkcode releaseUpdates}. */
  pauseUpdates(): void {
    this.#isPaused = true;
    this.#pausedEnd = this.updates.length;
  }

  /** Ends {@linkcode pauseUpdates} and removes the history. */
  releaseUpdates(): void {
    this.#isPaused = false;
    this.removeHistory();
    for (const wake of this.#waiters) wake();
  }

  createSource(vm: string, clock: VirtualClock): FeedSource<Update> {
    const read = async (
      createRead: () => FeedRead<Update>,
      isDue: () => boolean,
      waitMs: number,
    ): Promise<FeedRead<Update>> => {
      this.calls += 1;
      await clock.sleep(CALL_MS + (this.delays.get(vm) ?? 0));
      if (this.isDown || this.rejectedClients.has(vm)) {
        return { kind: FeedReadKind.Unavailable, reason: "rejected" };
      }
      if (!isDue() && waitMs > 0) await this.#waitForUpdate(clock, waitMs);
      if (this.hangingClients.has(vm) || this.isLost(vm)) {
        await clock.sleep(CALL_TIMEOUT_MS);
        return { kind: FeedReadKind.Unavailable, reason: "no response" };
      }
      if (this.isDown || this.rejectedClients.has(vm)) {
        return { kind: FeedReadKind.Unavailable, reason: "rejected" };
      }
      return createRead();
    };
    return {
      readNewest: () =>
        read(
          () => createUpdates([...this.#newest.values()], this.updates.length),
          () => true,
          0,
        ),
      readFrom: (position, waitMs) =>
        read(
          () =>
            position < this.#firstOffset
              ? { kind: FeedReadKind.OutOfRange }
              : createUpdates(
                this.updates.slice(position, this.#end),
                Math.max(position, this.#end),
              ),
          () => position < this.#end,
          waitMs,
        ),
    };
  }

  /** End of the updates that a read from a position returns. */
  get #end(): number {
    return this.#isPaused ? this.#pausedEnd : this.updates.length;
  }

  #waitForUpdate(clock: VirtualClock, waitMs: number): Promise<void> {
    return new Promise((resolve) => {
      const stop = (): void => {
        this.#waiters.delete(stop);
        resolve();
      };
      this.#waiters.add(stop);
      clock.startTimer(waitMs, stop);
    });
  }
}

function createUpdates<Update>(
  updates: readonly Update[],
  next: number,
): FeedRead<Update> {
  return { kind: FeedReadKind.Updates, updates, next, isComplete: true };
}

/** One VM of a {@linkcode World}. */
export interface VirtualVm {
  readonly name: string;
  readonly clock: VirtualClock;
  readonly transport: MemoryTransport<FleetMessage>;
  readonly fleet: Fleet;
  readonly configuration: Configuration;
  readonly freshness: Confirmations;
  readonly registry: ServerRegistry;
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
  readonly documents = new MemoryTopic<
    { kind: DocumentUpdateKind.Readable; document: ConfigurationDocument }
  >({ getKey: () => "configuration", isRemoval: () => false });
  readonly directory = new MemoryTopic<VmUpdate>({
    getKey: (update) =>
      update.kind === VmUpdateKind.Announced ? update.vm.name : update.name,
    isRemoval: (update) => update.kind === VmUpdateKind.Withdrawn,
  });
  readonly servers = new MemoryTopic<ServerUpdate>({
    getKey: (update) =>
      update.kind === ServerUpdateKind.Listed
        ? update.entry.server.id
        : update.id,
    isRemoval: (update) => update.kind === ServerUpdateKind.Removed,
  });
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

  startVm(name: string): VirtualVm {
    this.#startCount += 1;
    const clock = new VirtualClock(this.time);
    const logger = this.#createLogger(name);
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
    const relay = new FeedRelay({
      clock,
      fleet,
      configuration,
      registry,
      freshness,
      random: createSeededRandom(this.#startCount),
      logger,
    });
    const feed = new Feed({
      clock,
      random: createSeededRandom(this.#startCount),
      relay,
      registry,
      documents: this.documents.createSource(name, clock),
      servers: this.servers.createSource(name, clock),
      metrics: new Metrics(),
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

  publish(version: number): void {
    this.documents.add({
      kind: DocumentUpdateKind.Readable,
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
    const offset = this.servers.updates.length;
    if (phase === undefined) {
      this.servers.add({ kind: ServerUpdateKind.Removed, offset, id });
      return;
    }
    const entry = createServerEntry(id, phase, {
      startedAt: 1,
      sequence: offset,
    });
    this.servers.add({ kind: ServerUpdateKind.Listed, offset, entry });
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
