/** Simulates servers that join and leave while VMs and the store fail. */
import { ServerPhase } from "../src/model/mod.ts";
import { ServerUpdateKind } from "../src/services/feed/source.ts";
import { createSeededRandom } from "../src/services/random/mod.ts";
import type { Random } from "../src/services/random/mod.ts";
import { createServerEntry, DRAIN_MS } from "./feed_world.ts";
import type { VirtualVm, World } from "./feed_world.ts";

const SERVERS = 12;
/** Interval between two entries of a server, in milliseconds. */
const HEARTBEAT_MS = 1_500;
/** Time without faults after which the users' bounds apply to a VM, in ms. */
const STABILITY_MS = 3_000;
/** Probability that a fault starts in one step. */
const FAULT_PROBABILITY = 0.06;
/** Probability that a server leaves in one step. */
const LEAVE_PROBABILITY = 0.05;
/** Probability that a server joins in one step. */
const JOIN_PROBABILITY = 0.05;
/** Share of the leaving servers that leave without draining. */
const ABRUPT_RATIO = 0.4;
/** Share of the VMs that the store rejects in a partial outage. */
const REJECTED_RATIO = 0.35;
/** Additional duration of calls to a slow store, in milliseconds. */
const SLOW_CALL_MS = 250;
/** Share of the calls whose response is lost. */
const LOST_CALL_RATIO = 0.3;
/** Time without updates for readers before the history is removed, in ms. */
const UPDATE_PAUSE_MS = 1_000;
/** Time from the start of a planned stop to the process exit, in ms. */
const STOP_MS = 3_000;
/** Share of the leaving servers that restart under the same id. */
const RESTART_RATIO = 0.5;
/** Maximum time from a server's exit to its restart, in milliseconds. */
const RESTART_MAX_MS = 6_000;

/** Kinds of faults. */
export enum FaultKind {
  Kill = "kill",
  KillAll = "kill_all",
  Pause = "pause",
  /** The store rejects the calls of one VM. */
  RejectVm = "turn_away",
  /** The store rejects the calls of some VMs and serves the others. */
  RejectSomeVms = "turn_away_some",
  /** The reads of one VM from the store time out. */
  HangingReads = "silence",
  /** Only the VM's reads of servers time out. */
  HangingServerReads = "silence_servers",
  /** A network partition separates one VM from all others. */
  Partition = "cut",
  StoreDown = "store_down",
  RemoveHistory = "remove_history",
  /** Messages between a VM and some others are lost in one direction. */
  PartitionOneWay = "cut_one_way",
  /** A VM loses power; its peers are not notified of closed connections. */
  PowerOff = "power_off",
  /** Open connections of a VM lose all messages; new ones work. */
  UnresponsiveLinks = "silent_links",
  PlannedStop = "planned_stop",
  /** The store responds late to one VM. */
  SlowStore = "slow_store",
  /** Some responses of the store to one VM are lost. */
  LostResponses = "lost_answers",
  /** Readers get no updates for a second; then the history is removed. */
  PausedUpdates = "held_updates",
}

/** Faults of VMs and the store; a kind listed twice is twice as likely. */
export const STORE_FAULTS: readonly FaultKind[] = [
  FaultKind.Kill,
  FaultKind.Pause,
  FaultKind.RejectVm,
  FaultKind.RejectSomeVms,
  FaultKind.HangingReads,
  FaultKind.HangingServerReads,
  FaultKind.Partition,
  FaultKind.StoreDown,
  FaultKind.RemoveHistory,
  FaultKind.Kill,
  FaultKind.RejectVm,
  FaultKind.RejectSomeVms,
  FaultKind.HangingReads,
  FaultKind.KillAll,
];

/** Adds link faults, planned stops and a slow or lossy store. */
export const LINK_FAULTS: readonly FaultKind[] = [
  ...STORE_FAULTS,
  FaultKind.PartitionOneWay,
  FaultKind.PartitionOneWay,
  FaultKind.PowerOff,
  FaultKind.UnresponsiveLinks,
  FaultKind.PlannedStop,
  FaultKind.PlannedStop,
  FaultKind.SlowStore,
  FaultKind.LostResponses,
  FaultKind.PausedUpdates,
];

/** Options of {@linkcode LeavingScenario}. */
export interface ScenarioOptions {
  readonly seed: number;
  readonly kinds: readonly FaultKind[];
  /** Whether servers may restart under the same id. */
  readonly hasRestarts: boolean;
}

interface ScenarioServer {
  readonly id: string;
  startedAt: number;
  sequence: number;
  heartbeatAt: number;
  /** Undefined while its entry is removed. */
  phase: ServerPhase | undefined;
  /** Time at which the store acknowledged that it left or drains. */
  leftAt: number;
  /** Time at which a draining server exits. */
  endsAt: number;
  /** Time at which a server that has left restarts. */
  restartAt: number;
}

/** An ongoing fault; overlapping faults with the same key end together. */
interface Fault {
  readonly key: string;
  readonly endsAt: number;
  readonly end: () => void;
}

/** Scenario of one seed; call {@linkcode advance} after each time step. */
export class LeavingScenario {
  readonly #world: World;
  readonly #options: ScenarioOptions;
  readonly #random: Random;
  readonly #servers: ScenarioServer[] = [];
  readonly #faults: Fault[] = [];
  /** Time until which each VM is disturbed. */
  readonly #disturbedUntil = new Map<string, number>();
  #storeDisturbedUntil = -Infinity;

  /** Creates a scenario with its initial servers. */
  constructor(world: World, options: ScenarioOptions) {
    this.#world = world;
    this.#options = options;
    this.#random = createSeededRandom(options.seed);
    for (let index = 0; index < SERVERS; index += 1) this.#addServer();
  }

  get #now(): number {
    return this.#world.time.now;
  }

  /** Runs one step of the servers (heartbeats, joins, leaves) and faults. */
  advance(): void {
    this.#expireFaults();
    if (!this.#world.servers.isDown) this.#advanceServers();
    const isFaulty = this.#random() < FAULT_PROBABILITY;
    if (isFaulty && this.#world.vms.length > 0) this.#startFault();
  }

  /** Lists uses of servers by undisturbed VMs too long after a server left. */
  listViolations(): string[] {
    const now = this.#now;
    if (now - this.#storeDisturbedUntil < STABILITY_MS) return [];
    return this.#world.vms
      .filter(({ name }) =>
        now - (this.#disturbedUntil.get(name) ?? -Infinity) >= STABILITY_MS
      )
      .flatMap((vm) => this.#listViolationsOf(vm));
  }

  #listViolationsOf(vm: VirtualVm): string[] {
    return this.#servers
      .filter(({ id, leftAt }) => {
        const since = Math.max(leftAt, this.#storeDisturbedUntil);
        const known = vm.configuration.state.servers.get(id);
        return this.#now - since > DRAIN_MS &&
          known?.phase === ServerPhase.Active;
      })
      .map(({ id, leftAt, phase }) =>
        `${vm.name}, a ${vm.fleet.role}, uses ${id} (${phase ?? "removed"}) ` +
        `${this.#now - leftAt} ms after it left`
      );
  }

  #addServer(): void {
    const server: ScenarioServer = {
      id: `s${this.#servers.length + 1}`,
      startedAt: this.#now + 1,
      sequence: 0,
      heartbeatAt: this.#now,
      phase: ServerPhase.Active,
      leftAt: Infinity,
      endsAt: Infinity,
      restartAt: Infinity,
    };
    this.#servers.push(server);
    this.#write(server);
  }

  #write(server: ScenarioServer): void {
    const { servers } = this.#world;
    const { id, startedAt, phase } = server;
    const offset = servers.updates.length;
    if (phase === undefined) {
      servers.add({ kind: ServerUpdateKind.Removed, offset, id });
      return;
    }
    server.sequence += 1;
    const { sequence } = server;
    const entry = createServerEntry(id, phase, { startedAt, sequence });
    servers.add({ kind: ServerUpdateKind.Listed, offset, entry });
  }

  #advanceServers(): void {
    for (const server of this.#servers) {
      if (this.#now >= server.restartAt) this.#startServer(server);
      if (server.phase === undefined) continue;
      if (this.#now >= server.endsAt) server.phase = undefined;
      else if (this.#now - server.heartbeatAt < HEARTBEAT_MS) continue;
      server.heartbeatAt = this.#now;
      this.#write(server);
    }
    const active = this.#servers
      .filter(({ phase }) => phase === ServerPhase.Active);
    const isLeaving = this.#random() < LEAVE_PROBABILITY;
    if (isLeaving && active.length > SERVERS / 2) {
      const server = active[Math.floor(this.#random() * active.length)];
      if (server !== undefined) this.#removeServer(server);
    }
    const isJoining = this.#random() < JOIN_PROBABILITY;
    if (isJoining && active.length < SERVERS) this.#addServer();
  }

  #removeServer(server: ScenarioServer): void {
    server.leftAt = this.#now;
    if (this.#random() < ABRUPT_RATIO) server.phase = undefined;
    else {
      server.phase = ServerPhase.Draining;
      server.endsAt = this.#now + 2_000 + this.#random() * 12_000;
    }
    this.#write(server);
    if (!this.#options.hasRestarts || this.#random() >= RESTART_RATIO) return;
    const endsAt = server.phase === undefined ? this.#now : server.endsAt;
    server.restartAt = endsAt + this.#random() * RESTART_MAX_MS;
  }

  #startServer(server: ScenarioServer): void {
    server.startedAt = this.#now;
    server.sequence = 0;
    server.heartbeatAt = -Infinity;
    server.phase = ServerPhase.Active;
    server.leftAt = Infinity;
    server.endsAt = Infinity;
    server.restartAt = Infinity;
  }

  #expireFaults(): void {
    for (const fault of [...this.#faults]) {
      if (fault.endsAt > this.#now) continue;
      this.#faults.splice(this.#faults.indexOf(fault), 1);
      const isOngoing = this.#faults.some(({ key }) => key === fault.key);
      if (!isOngoing) fault.end();
    }
  }

  #startFault(): void {
    const { vms } = this.#world;
    const kind = this.#pick(this.#options.kinds);
    const durationMs = 500 + this.#random() * 8_000;
    const hubs = this.#world.listHubs();
    const isHub = this.#random() < 0.5 && hubs.length > 0;
    const vm = this.#pick(isHub ? hubs : vms);
    switch (kind) {
      case FaultKind.Kill:
        return this.#killVm(vm, durationMs);
      case FaultKind.KillAll:
        for (const other of [...vms]) this.#killVm(other, durationMs);
        return;
      case FaultKind.Pause:
        vm.clock.setPaused();
        return this.#addFault(
          kind,
          vm,
          durationMs,
          () => vm.clock.setRunning(),
        );
      case FaultKind.RejectVm:
        return this.#setRejected(vm, durationMs);
      case FaultKind.RejectSomeVms:
        for (const other of vms) {
          const isRejected = this.#random() < REJECTED_RATIO;
          if (isRejected) this.#setRejected(other, durationMs);
        }
        return;
      case FaultKind.HangingReads:
        this.#world.documents.hangingClients.add(vm.name);
        this.#addFault(kind, vm, durationMs, () => {
          this.#world.documents.hangingClients.delete(vm.name);
        });
        return this.#setServerReadsHanging(vm, durationMs);
      case FaultKind.HangingServerReads:
        return this.#setServerReadsHanging(vm, durationMs);
      case FaultKind.Partition:
        return this.#isolateVm(vm, durationMs);
      case FaultKind.StoreDown:
        return this.#stopStore(durationMs);
      case FaultKind.RemoveHistory:
        this.#world.documents.removeHistory();
        this.#world.servers.removeHistory();
        return;
      case FaultKind.PartitionOneWay:
        return this.#isolateOneWay(vm, durationMs);
      case FaultKind.PowerOff:
        this.#isolateVm(vm, durationMs);
        return this.#killVm(vm, durationMs);
      case FaultKind.UnresponsiveLinks:
        vm.transport.setUnresponsive();
        // The users' bounds treat this as a reset of all VMs' connections.
        for (const { name } of vms) this.#recordDisturbed(name, 0);
        return;
      case FaultKind.PlannedStop:
        return this.#stopVm(vm, durationMs);
      case FaultKind.SlowStore:
        return this.#setStoreSlow(vm, durationMs);
      case FaultKind.LostResponses:
        return this.#setResponsesLost(vm, durationMs);
      case FaultKind.PausedUpdates:
        return this.#pauseUpdates();
    }
  }

  #killVm(vm: VirtualVm, durationMs: number): void {
    this.#world.killVm(vm);
    this.#addFault(FaultKind.Kill, vm, durationMs, () => {
      this.#world.startVm(vm.name);
    });
  }

  #stopVm(vm: VirtualVm, downMs: number): void {
    vm.isLeaving = true;
    void vm.fleet.withdraw();
    const stop = (): void => {
      // Another fault may have killed the VM meanwhile.
      if (this.#world.vms.includes(vm)) this.#killVm(vm, downMs);
    };
    this.#addFault(FaultKind.PlannedStop, vm, STOP_MS, stop);
  }

  #isolateOneWay({ name }: VirtualVm, durationMs: number): void {
    const { network, vms } = this.#world;
    const isOutward = this.#random() < 0.5;
    for (const { name: other } of vms) {
      if (this.#random() < 0.5) continue;
      const [from, to] = isOutward ? [name, other] : [other, name];
      network.isolate(from, to);
      const key = { name: `${from} ${to}` };
      this.#addFault(FaultKind.PartitionOneWay, key, durationMs, () => {
        network.restore(from, to);
      });
      this.#recordDisturbed(other, durationMs);
    }
    this.#recordDisturbed(name, durationMs);
  }

  #setStoreSlow({ name }: VirtualVm, durationMs: number): void {
    const { documents, servers, directory } = this.#world;
    const topics = [documents, servers, directory];
    for (const topic of topics) topic.delays.set(name, SLOW_CALL_MS);
    this.#addFault(FaultKind.SlowStore, { name }, durationMs, () => {
      for (const topic of topics) topic.delays.delete(name);
    });
  }

  #setResponsesLost({ name }: VirtualVm, durationMs: number): void {
    const { documents, servers, directory } = this.#world;
    const topics = [documents, servers, directory];
    const isLost = (vm: string): boolean =>
      vm === name && this.#random() < LOST_CALL_RATIO;
    for (const topic of topics) topic.isLost = isLost;
    this.#addFault(FaultKind.LostResponses, { name }, durationMs, () => {
      for (const topic of topics) {
        if (topic.isLost === isLost) topic.isLost = () => false;
      }
    });
  }

  #pauseUpdates(): void {
    const { documents, servers } = this.#world;
    const topics = [documents, servers];
    for (const topic of topics) topic.pauseUpdates();
    this.#addFault(
      FaultKind.PausedUpdates,
      { name: "" },
      UPDATE_PAUSE_MS,
      () => {
        for (const topic of topics) topic.releaseUpdates();
      },
    );
  }

  #setRejected({ name }: VirtualVm, durationMs: number): void {
    const { documents, servers, directory } = this.#world;
    const topics = [documents, servers, directory];
    for (const topic of topics) topic.rejectedClients.add(name);
    this.#addFault(FaultKind.RejectVm, { name }, durationMs, () => {
      for (const topic of topics) topic.rejectedClients.delete(name);
    });
  }

  #setServerReadsHanging({ name }: VirtualVm, durationMs: number): void {
    this.#world.servers.hangingClients.add(name);
    this.#addFault(FaultKind.HangingServerReads, { name }, durationMs, () => {
      this.#world.servers.hangingClients.delete(name);
    });
  }

  #isolateVm({ name }: VirtualVm, durationMs: number): void {
    const { network, vms } = this.#world;
    const others = vms.map((vm) => vm.name);
    for (const other of others) {
      network.isolate(name, other);
      network.isolate(other, name);
    }
    this.#addFault(FaultKind.Partition, { name }, durationMs, () => {
      for (const other of others) {
        network.restore(name, other);
        network.restore(other, name);
      }
    });
  }

  #stopStore(durationMs: number): void {
    const { documents, servers, directory } = this.#world;
    const topics = [documents, servers, directory];
    for (const topic of topics) topic.isDown = true;
    this.#storeDisturbedUntil = Math.max(
      this.#storeDisturbedUntil,
      this.#now + durationMs,
    );
    this.#addFault(FaultKind.StoreDown, { name: "" }, durationMs, () => {
      for (const topic of topics) topic.isDown = false;
    });
  }

  #addFault(
    kind: FaultKind,
    { name }: { readonly name: string },
    durationMs: number,
    end: () => void,
  ): void {
    this.#recordDisturbed(name, durationMs);
    const endsAt = this.#now + durationMs;
    this.#faults.push({ key: `${kind} ${name}`, endsAt, end });
  }

  #recordDisturbed(name: string, durationMs: number): void {
    const until = this.#disturbedUntil.get(name) ?? -Infinity;
    const endsAt = this.#now + durationMs;
    this.#disturbedUntil.set(name, Math.max(until, endsAt));
  }

  #pick<T>(items: readonly T[]): T {
    return items[Math.floor(this.#random() * items.length)] as T;
  }
}
