/** Servers that come and leave while VMs and their store fail, by a seed. */
import { ServerPhase } from "../src/model/mod.ts";
import { ServerUpdateKind } from "../src/services/feed/source.ts";
import { createSeededRandom } from "../src/services/random/mod.ts";
import type { Random } from "../src/services/random/mod.ts";
import { createServerEntry, DRAIN_MS } from "./feed_world.ts";
import type { VirtualVm, World } from "./feed_world.ts";

const SERVERS = 12;
/** Time between two entries of a server. */
const HEARTBEAT_MS = 1_500;
/** Undisturbed time after which the users' bounds hold for a VM. */
const STABILITY_MS = 3_000;
/** Chances that something happens in one step. */
const FAULT_CHANCE = 0.06;
const LEAVE_CHANCE = 0.05;
const JOIN_CHANCE = 0.05;
/** Share of the servers that leave without a word. */
const ABRUPT_RATIO = 0.4;
/** Share of the VMs that one outage for some of them turns away. */
const TURNED_AWAY_RATIO = 0.35;

enum FaultKind {
  Kill = "kill",
  KillAll = "kill_all",
  Pause = "pause",
  /** The store refuses the calls of one VM. */
  TurnAway = "turn_away",
  /** The store refuses the calls of some VMs and serves the others. */
  TurnAwaySome = "turn_away_some",
  /** The calls of one VM get no answer. */
  Silence = "silence",
  /** The same for its reads of servers alone. */
  SilenceServers = "silence_servers",
  /** A VM is cut off from all others. */
  Cut = "cut",
  StoreDown = "store_down",
  RemoveHistory = "remove_history",
}

/** Kinds as often as they are drawn. */
const FAULT_KINDS: readonly FaultKind[] = [
  ...Object.values(FaultKind).filter((kind) => kind !== FaultKind.KillAll),
  FaultKind.Kill,
  FaultKind.TurnAway,
  FaultKind.TurnAwaySome,
  FaultKind.Silence,
  FaultKind.KillAll,
];

interface ScenarioServer {
  readonly id: string;
  readonly startedAt: number;
  sequence: number;
  beatAt: number;
  /** Undefined once its entry was removed. */
  phase: ServerPhase | undefined;
  /** When the store acknowledged that it leaves. */
  leftAt: number;
  /** When a server that drains ends. */
  endsAt: number;
}

/** Something that is wrong until it ends; several of one key may overlap. */
interface Fault {
  readonly key: string;
  readonly endsAt: number;
  readonly end: () => void;
}

/** Plays one seed; call {@linkcode advance} after each advance of time. */
export class LeavingScenario {
  readonly #world: World;
  readonly #random: Random;
  readonly #servers: ScenarioServer[] = [];
  readonly #faults: Fault[] = [];
  /** Until when each VM is disturbed. */
  readonly #disturbedUntil = new Map<string, number>();
  #storeDisturbedUntil = -Infinity;

  /** Creates a scenario whose servers are announced at once. */
  constructor(world: World, seed: number) {
    this.#world = world;
    this.#random = createSeededRandom(seed);
    for (let index = 0; index < SERVERS; index += 1) this.#addServer();
  }

  get #now(): number {
    return this.#world.time.now;
  }

  /** Lets servers beat, join and leave, and lets faults begin and end. */
  advance(): void {
    this.#expireFaults();
    if (!this.#world.servers.isDown) this.#advanceServers();
    const isFaulty = this.#random() < FAULT_CHANCE;
    if (isFaulty && this.#world.vms.length > 0) this.#startFault();
  }

  /** Lists undisturbed VMs that use a server for too long after it left. */
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
        `${vm.name}, a ${vm.fleet.role}, uses ${id} (${phase ?? "gone"}) ` +
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
    const kind = this.#pick(FAULT_KINDS);
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
    }
  }

  #killVm(vm: VirtualVm, forMs: number): void {
    this.#world.killVm(vm);
    this.#addFault(FaultKind.Kill, vm, forMs, () => {
      this.#world.startVm(vm.name);
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
    const endsAt = this.#now + forMs;
    const until = this.#disturbedUntil.get(name) ?? -Infinity;
    this.#disturbedUntil.set(name, Math.max(until, endsAt));
    this.#faults.push({ key: `${kind} ${name}`, endsAt, end });
  }

  #pick<T>(items: readonly T[]): T {
    return items[Math.floor(this.#random() * items.length)] as T;
  }
}
