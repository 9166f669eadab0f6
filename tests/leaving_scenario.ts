/** Seeded scenario: servers join and leave while VMs and the store fail. */
import { ServerPhase } from "../src/model/mod.ts";
import { ServerUpdateKind } from "../src/services/feed/source.ts";
import { createSeededRandom } from "../src/services/random/mod.ts";
import type { Random } from "../src/services/random/mod.ts";
import { createServerEntry, DRAIN_MS } from "./feed_world.ts";
import type { VirtualVm, World } from "./feed_world.ts";

const SERVERS = 12;
/** Interval between two entries of a server. */
const HEARTBEAT_MS = 1_500;
/** Undisturbed time after which the users' bounds hold for a VM. */
const STABILITY_MS = 3_000;
/** Probability that a fault starts in one step. */
const FAULT_CHANCE = 0.06;
/** Probability that a server leaves in one step. */
const LEAVE_CHANCE = 0.05;
/** Probability that a server joins in one step. */
const JOIN_CHANCE = 0.05;
/** Share of the leaving servers that leave without draining. */
const ABRUPT_RATIO = 0.4;
/** Share of the VMs that the store rejects in a partial outage. */
const TURNED_AWAY_RATIO = 0.35;
/** Additional time that a call to a slow store takes. */
const SLOW_CALL_MS = 250;
/** Share of the calls whose response is lost. */
const LOST_CALL_RATIO = 0.3;
/** Time without updates for readers before the history is removed. */
const HOLD_MS = 1_000;
/** Time from the start of a planned stop to the end of the process. */
const STOP_MS = 3_000;
/** Share of the leaving servers that restart under the same id. */
const REBORN_RATIO = 0.5;
/** Maximum time from a server's end to its restart. */
const REBORN_MS = 6_000;

/** Kinds of faults. */
export enum FaultKind {
  Kill = "kill",
  KillAll = "kill_all",
  Pause = "pause",
  /** The store rejects the calls of one VM. */
  TurnAway = "turn_away",
  /** The store rejects the calls of some VMs and serves the others. */
  TurnAwaySome = "turn_away_some",
  /** The reads of one VM from the store time out. */
  Silence = "silence",
  /** Only the VM's reads of servers time out. */
  SilenceServers = "silence_servers",
  /** A network partition separates one VM from all others. */
  Cut = "cut",
  StoreDown = "store_down",
  RemoveHistory = "remove_history",
  /** Messages between a VM and some others are lost in one direction. */
  CutOneWay = "cut_one_way",
  /** A VM loses power; its peers are not notified of closed connections. */
  PowerOff = "power_off",
  /** Open connections of a VM lose all messages; new ones work. */
  SilentLinks = "silent_links",
  PlannedStop = "planned_stop",
  /** The store responds late to one VM. */
  SlowStore = "slow_store",
  /** Some responses of the store to one VM are lost. */
  LostAnswers = "lost_answers",
  /** Readers get no updates for a second; then the history is removed. */
  HeldUpdates = "held_updates",
}

/** Faults of VMs and the store; a kind that occurs twice is twice as likely. */
export const STORE_TROUBLE: readonly FaultKind[] = [
  FaultKind.Kill,
  FaultKind.Pause,
  FaultKind.TurnAway,
  FaultKind.TurnAwaySome,
  FaultKind.Silence,
  FaultKind.SilenceServers,
  FaultKind.Cut,
  FaultKind.StoreDown,
  FaultKind.RemoveHistory,
  FaultKind.Kill,
  FaultKind.TurnAway,
  FaultKind.TurnAwaySome,
  FaultKind.Silence,
  FaultKind.KillAll,
];

/** The same with link faults, planned stops and a slow or lossy store. */
export const LINK_TROUBLE: readonly FaultKind[] = [
  ...STORE_TROUBLE,
  FaultKind.CutOneWay,
  FaultKind.CutOneWay,
  FaultKind.PowerOff,
  FaultKind.SilentLinks,
  FaultKind.PlannedStop,
  FaultKind.PlannedStop,
  FaultKind.SlowStore,
  FaultKind.LostAnswers,
  FaultKind.HeldUpdates,
];

/** Options of {@linkcode LeavingScenario}. */
export interface ScenarioOptions {
  readonly seed: number;
  readonly kinds: readonly FaultKind[];
  /** Whether servers may restart under the same id. */
  readonly areReborn: boolean;
}

interface ScenarioServer {
  readonly id: string;
  startedAt: number;
  sequence: number;
  beatAt: number;
  /** Undefined once its entry has been removed. */
  phase: ServerPhase | undefined;
  /** Time at which the store acknowledged that it leaves. */
  leftAt: number;
  /** Time at which a draining server ends. */
  endsAt: number;
  /** Time at which a server that has left restarts. */
  rebornAt: number;
}

/** A fault with an end; faults with the same key may overlap. */
interface Fault {
  readonly key: string;
  readonly endsAt: number;
  readonly end: () => void;
}

/** Runs one seed; call {@linkcode advance} after each advance of time. */
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

  /** Advances servers (heartbeats, joins, leaves) and faults by one step. */
  advance(): void {
    this.#expireFaults();
    if (!this.#world.servers.isDown) this.#advanceServers();
    const isFaulty = this.#random() < FAULT_CHANCE;
    if (isFaulty && this.#world.vms.length > 0) this.#startFault();
  }

  /** Lists undisturbed VMs that still use a server too long after it left. */
  listLate(): string[] {
    const now = this.#now;
    if (now - this.#storeDisturbedUntil < STABILITY_MS) return [];
    return this.#world.vms
      .filter(({ name }) =>
        now - (this.#disturbedUntil.get(name) ?? -Infinity) >= STABILITY_MS
      )
      .flatMap((vm) => this.#listLateOf(vm));
  }

  #listLateOf(vm: VirtualVm): string[] {
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
      beatAt: this.#now,
      phase: ServerPhase.Active,
      leftAt: Infinity,
      endsAt: Infinity,
      rebornAt: Infinity,
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
      if (this.#now >= server.rebornAt) this.#startAgain(server);
      if (server.phase === undefined) continue;
      if (this.#now >= server.endsAt) server.phase = undefined;
      else if (this.#now - server.beatAt < HEARTBEAT_MS) continue;
      server.beatAt = this.#now;
      this.#write(server);
    }
    const active = this.#servers
      .filter(({ phase }) => phase === ServerPhase.Active);
    const isLeaving = this.#random() < LEAVE_CHANCE;
    if (isLeaving && active.length > SERVERS / 2) {
      const server = active[Math.floor(this.#random() * active.length)];
      if (server !== undefined) this.#removeServer(server);
    }
    const isJoining = this.#random() < JOIN_CHANCE;
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
    if (!this.#options.areReborn || this.#random() >= REBORN_RATIO) return;
    const endsAt = server.phase === undefined ? this.#now : server.endsAt;
    server.rebornAt = endsAt + this.#random() * REBORN_MS;
  }

  #startAgain(server: ScenarioServer): void {
    server.startedAt = this.#now;
    server.sequence = 0;
    server.beatAt = -Infinity;
    server.phase = ServerPhase.Active;
    server.leftAt = Infinity;
    server.endsAt = Infinity;
    server.rebornAt = Infinity;
  }

  #expireFaults(): void {
    for (const fault of [...this.#faults]) {
      if (fault.endsAt > this.#now) continue;
      this.#faults.splice(this.#faults.indexOf(fault), 1);
      const goesOn = this.#faults.some(({ key }) => key === fault.key);
      if (!goesOn) fault.end();
    }
  }

  #startFault(): void {
    const { vms } = this.#world;
    const kind = this.#pick(this.#options.kinds);
    const forMs = 500 + this.#random() * 8_000;
    const hubs = this.#world.listHubs();
    const isHub = this.#random() < 0.5 && hubs.length > 0;
    const vm = this.#pick(isHub ? hubs : vms);
    switch (kind) {
      case FaultKind.Kill:
        return this.#killVm(vm, forMs);
      case FaultKind.KillAll:
        for (const other of [...vms]) this.#killVm(other, forMs);
        return;
      case FaultKind.Pause:
        vm.clock.setPaused();
        return this.#addFault(kind, vm, forMs, () => vm.clock.setAwake());
      case FaultKind.TurnAway:
        return this.#cutFromStore(vm, forMs);
      case FaultKind.TurnAwaySome:
        for (const other of vms) {
          const isTurnedAway = this.#random() < TURNED_AWAY_RATIO;
          if (isTurnedAway) this.#cutFromStore(other, forMs);
        }
        return;
      case FaultKind.Silence:
        this.#world.documents.silenced.add(vm.name);
        this.#addFault(kind, vm, forMs, () => {
          this.#world.documents.silenced.delete(vm.name);
        });
        return this.#cutServerReads(vm, forMs);
      case FaultKind.SilenceServers:
        return this.#cutServerReads(vm, forMs);
      case FaultKind.Cut:
        return this.#cutVm(vm, forMs);
      case FaultKind.StoreDown:
        return this.#stopStore(forMs);
      case FaultKind.RemoveHistory:
        this.#world.documents.removeHistory();
        this.#world.servers.removeHistory();
        return;
      case FaultKind.CutOneWay:
        return this.#cutOneWay(vm, forMs);
      case FaultKind.PowerOff:
        this.#cutVm(vm, forMs);
        return this.#killVm(vm, forMs);
      case FaultKind.SilentLinks:
        vm.transport.setSilent();
        // The users' bounds treat this as a reset of all VMs' connections.
        for (const { name } of vms) this.#recordDisturbed(name, 0);
        return;
      case FaultKind.PlannedStop:
        return this.#stopVm(vm, forMs);
      case FaultKind.SlowStore:
        return this.#setStoreSlow(vm, forMs);
      case FaultKind.LostAnswers:
        return this.#setAnswersLost(vm, forMs);
      case FaultKind.HeldUpdates:
        return this.#holdUpdates();
    }
  }

  #killVm(vm: VirtualVm, forMs: number): void {
    this.#world.killVm(vm);
    this.#addFault(FaultKind.Kill, vm, forMs, () => {
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

  #cutOneWay({ name }: VirtualVm, forMs: number): void {
    const { network, vms } = this.#world;
    const isOutward = this.#random() < 0.5;
    for (const { name: other } of vms) {
      if (this.#random() < 0.5) continue;
      const [from, to] = isOutward ? [name, other] : [other, name];
      network.cut(from, to);
      const key = { name: `${from} ${to}` };
      this.#addFault(FaultKind.CutOneWay, key, forMs, () => {
        network.restore(from, to);
      });
      this.#recordDisturbed(other, forMs);
    }
    this.#recordDisturbed(name, forMs);
  }

  #setStoreSlow({ name }: VirtualVm, forMs: number): void {
    const { documents, servers, directory } = this.#world;
    const topics = [documents, servers, directory];
    for (const topic of topics) topic.delays.set(name, SLOW_CALL_MS);
    this.#addFault(FaultKind.SlowStore, { name }, forMs, () => {
      for (const topic of topics) topic.delays.delete(name);
    });
  }

  #setAnswersLost({ name }: VirtualVm, forMs: number): void {
    const { documents, servers, directory } = this.#world;
    const topics = [documents, servers, directory];
    const isLost = (vm: string): boolean =>
      vm === name && this.#random() < LOST_CALL_RATIO;
    for (const topic of topics) topic.isLost = isLost;
    this.#addFault(FaultKind.LostAnswers, { name }, forMs, () => {
      for (const topic of topics) {
        if (topic.isLost === isLost) topic.isLost = () => false;
      }
    });
  }

  #holdUpdates(): void {
    const { documents, servers } = this.#world;
    const topics = [documents, servers];
    for (const topic of topics) topic.holdUpdates();
    this.#addFault(FaultKind.HeldUpdates, { name: "" }, HOLD_MS, () => {
      for (const topic of topics) topic.releaseUpdates();
    });
  }

  #cutFromStore({ name }: VirtualVm, forMs: number): void {
    const { documents, servers, directory } = this.#world;
    const topics = [documents, servers, directory];
    for (const topic of topics) topic.turnedAway.add(name);
    this.#addFault(FaultKind.TurnAway, { name }, forMs, () => {
      for (const topic of topics) topic.turnedAway.delete(name);
    });
  }

  #cutServerReads({ name }: VirtualVm, forMs: number): void {
    this.#world.servers.silenced.add(name);
    this.#addFault(FaultKind.SilenceServers, { name }, forMs, () => {
      this.#world.servers.silenced.delete(name);
    });
  }

  #cutVm({ name }: VirtualVm, forMs: number): void {
    const { network, vms } = this.#world;
    const others = vms.map((vm) => vm.name);
    for (const other of others) {
      network.cut(name, other);
      network.cut(other, name);
    }
    this.#addFault(FaultKind.Cut, { name }, forMs, () => {
      for (const other of others) {
        network.restore(name, other);
        network.restore(other, name);
      }
    });
  }

  #stopStore(forMs: number): void {
    const { documents, servers, directory } = this.#world;
    const topics = [documents, servers, directory];
    for (const topic of topics) topic.isDown = true;
    this.#storeDisturbedUntil = Math.max(
      this.#storeDisturbedUntil,
      this.#now + forMs,
    );
    this.#addFault(FaultKind.StoreDown, { name: "" }, forMs, () => {
      for (const topic of topics) topic.isDown = false;
    });
  }

  #addFault(
    kind: FaultKind,
    { name }: { readonly name: string },
    forMs: number,
    end: () => void,
  ): void {
    this.#recordDisturbed(name, forMs);
    const endsAt = this.#now + forMs;
    this.#faults.push({ key: `${kind} ${name}`, endsAt, end });
  }

  #recordDisturbed(name: string, forMs: number): void {
    const until = this.#disturbedUntil.get(name) ?? -Infinity;
    const endsAt = this.#now + forMs;
    this.#disturbedUntil.set(name, Math.max(until, endsAt));
  }

  #pick<T>(items: readonly T[]): T {
    return items[Math.floor(this.#random() * items.length)] as T;
  }
}
