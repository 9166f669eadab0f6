/** VMs that send requests to cold servers in virtual time. */
import { ServerPhase } from "../src/model/mod.ts";
import type { Server, WarmUpLimit } from "../src/model/mod.ts";
import { Configuration } from "../src/services/configuration/mod.ts";
import { EjectionState } from "../src/services/detector/mod.ts";
import type { Detector } from "../src/services/detector/mod.ts";
import { FreshnessKind } from "../src/services/freshness/mod.ts";
import { Metrics } from "../src/services/metrics/mod.ts";
import { createSeededRandom } from "../src/services/random/mod.ts";
import { FailureImpact, Selection } from "../src/services/selection/mod.ts";
import { ServerNotices } from "../src/services/server_notices/mod.ts";
import { PermitKind, WarmUp } from "../src/services/warm_up/mod.ts";
import type { RosterVm } from "../src/services/warm_up/mod.ts";
import { SILENT_LOGGER } from "./silent_logger.ts";
import { SlottedServer } from "./slotted_server.ts";
import { VirtualClock, VirtualTime } from "./virtual_clock.ts";

const SERVICE = "rota";
const SLOTS = 2;
/** Processing time of a warm server; a cold one takes twice as long. */
const WORK_MS = 120;
/** Time in which a VM learns of an entry; differs between VMs. */
const ENTRY_DELAY_MS = 100;
const CONNECT_MS = 2;

/** One VM with the services that select a server. */
export interface WarmUpVm extends RosterVm {
  readonly clock: VirtualClock;
  readonly configuration: Configuration;
  readonly warmUp: WarmUp;
  readonly selection: Selection;
  readonly stop: AbortController;
  /** VMs that it knows from the directory; undefined before the first read. */
  roster: { version: number; vms: readonly RosterVm[] } | undefined;
  /** Time of the newest confirmation; undefined while it is connected. */
  cutAt: number | undefined;
}

/** A server with the times at which requests arrived while it was cold. */
interface ColdServer {
  readonly server: Server;
  readonly slotted: SlottedServer;
  readonly arrivals: number[];
  coldFrom: number;
  coldUntil: number;
}

/** VMs of the failure domains `a` and `b`, which send to the same servers. */
export class WarmUpFleet {
  readonly time = new VirtualTime();
  readonly vms: WarmUpVm[] = [];
  readonly servers = new Map<string, ColdServer>();
  refused = 0;
  readonly #limit: WarmUpLimit;
  readonly #random = createSeededRandom(1);
  #sequence = 0;

  constructor(vms: Record<string, number>, limit: WarmUpLimit) {
    this.#limit = limit;
    for (const [failureDomain, count] of Object.entries(vms)) {
      for (let index = 0; index < count; index += 1) {
        this.startVm({ name: `${failureDomain}${index}`, failureDomain });
      }
    }
    for (const vm of this.vms) this.setRoster(vm, this.vms);
  }

  /** Starts a VM, or replaces one of the same name; it knows no other VM. */
  startVm({ name, failureDomain }: RosterVm): WarmUpVm {
    const clock = new VirtualClock(this.time);
    const configuration = new Configuration("cell", clock);
    const { services } = configuration.state;
    services.set(SERVICE, { id: SERVICE, warmUp: this.#limit, revision: 1 });
    const metrics = new Metrics();
    const logger = SILENT_LOGGER;
    const warmUp = new WarmUp({
      vm: name,
      clock,
      configuration,
      metrics,
      logger,
      freshness: {
        getReport: () => ({
          kind: FreshnessKind.ConfirmedByLog,
          ageMs: this.time.now - (vm.cutAt ?? this.time.now),
        }),
      },
      findRoster: () =>
        vm.roster && {
          version: vm.roster.version,
          listVms: () => vm.roster?.vms ?? [],
        },
    });
    const selection = new Selection({
      configuration,
      detector: createDetector(),
      notices: new ServerNotices({ clock, metrics, logger }),
      warmUp,
      clock,
      random: this.#random,
      failureDomain,
      loads: { countOthers: () => undefined, setSource: () => {} },
    });
    const vm: WarmUpVm = {
      name,
      failureDomain,
      clock,
      configuration,
      warmUp,
      selection,
      stop: new AbortController(),
      roster: undefined,
      cutAt: undefined,
    };
    void warmUp.run(vm.stop.signal);
    for (const { server, coldUntil } of this.servers.values()) {
      this.#setEntry(vm, server, coldUntil);
    }
    const index = this.vms.findIndex((known) => known.name === name);
    this.vms[index]?.stop.abort();
    if (index < 0) this.vms.push(vm);
    else this.vms[index] = vm;
    return vm;
  }

  /** Sets which VMs a VM knows from the directory. */
  setRoster(vm: WarmUpVm, vms: readonly RosterVm[]): void {
    this.#sequence += 1;
    vm.roster = { version: this.#sequence, vms: [...vms] };
  }

  /** Sets servers, cold for `coldMs`; VMs that are cut don't learn of it. */
  setServers(
    failureDomain: string,
    first: number,
    count: number,
    coldMs: number,
  ): void {
    const now = this.time.now;
    for (let index = first; index < first + count; index += 1) {
      const id = `server-${failureDomain}${index}`;
      const server: Server = {
        id,
        service: SERVICE,
        host: id,
        port: 80,
        failureDomain,
        slots: SLOTS,
        phase: ServerPhase.Active,
        revision: 1,
      };
      const known = this.servers.get(id);
      this.servers.set(id, {
        server,
        slotted: known?.slotted ?? new SlottedServer(this.time, SLOTS),
        arrivals: known?.arrivals ?? [],
        coldFrom: now,
        coldUntil: now + coldMs,
      });
      for (const vm of this.vms) {
        const delayMs = vm.cutAt === undefined
          ? this.#random() * ENTRY_DELAY_MS
          : Infinity;
        if (delayMs === Infinity) continue;
        this.time.startTimer(
          delayMs,
          () => this.#setEntry(vm, server, now + coldMs + delayMs),
        );
      }
    }
  }

  /** Sends `perSecond` requests at random times from random VMs. */
  startLoad(perSecond: number): void {
    const vm = this.vms[Math.floor(this.#random() * this.vms.length)];
    vm?.clock.runWhileRunning(() => void this.#sendRequest(vm));
    const delayMs = -Math.log(1 - this.#random()) * 1_000 / perSecond;
    this.time.startTimer(delayMs, () => this.startLoad(perSecond));
  }

  /** Sends to a cold server whenever it is permitted, after `connectMs`. */
  sendIfPermitted(vm: WarmUpVm, id: string, connectMs: number): void {
    const server = vm.configuration.state.servers.get(id);
    const permit = server && vm.warmUp.acquire(server);
    if (!permit || permit.kind === PermitKind.Denied) return;
    vm.clock.startTimer(connectMs, () => {
      if (vm.warmUp.checkPermit(server, permit)) this.#recordArrival(id);
    });
  }

  /** Counts the most requests that a server got in a second while cold. */
  countPeak(): number {
    const peaks = [...this.servers.values()].map(({ arrivals }) =>
      arrivals.map((at) =>
        arrivals.filter((other) => other >= at && other < at + 1_000).length
      )
    );
    return Math.max(0, ...peaks.flat());
  }

  /** Counts the servers that got at least one request while cold. */
  countUsed(): number {
    return [...this.servers.values()]
      .filter(({ arrivals }) => arrivals.length > 0).length;
  }

  async #sendRequest(vm: WarmUpVm): Promise<void> {
    const { selection, warmUp, clock } = vm;
    const selected = selection.selectServers(SERVICE, FailureImpact.Attempt)
      .next().value;
    const permit = selected && warmUp.acquire(selected);
    if (!selected || !permit || permit.kind === PermitKind.Denied) {
      this.refused += 1;
      return;
    }
    const hadCapacity = selection.recordStart(selected);
    const startedAt = this.time.now;
    await clock.sleep(CONNECT_MS);
    if (warmUp.checkPermit(selected, permit)) {
      const isCold = this.#recordArrival(selected.id);
      const { slotted } = this.#getServer(selected.id);
      await slotted.run(isCold ? 2 * WORK_MS : WORK_MS);
    }
    selection.recordEnd(selected, {
      latencyMs: this.time.now - startedAt,
      load: undefined,
      isShed: false,
      hadCapacity,
    });
  }

  #recordArrival(id: string): boolean {
    const { arrivals, coldFrom, coldUntil } = this.#getServer(id);
    const { now } = this.time;
    const isCold = now >= coldFrom && now < coldUntil;
    if (isCold) arrivals.push(now);
    return isCold;
  }

  #setEntry(vm: WarmUpVm, server: Server, coldUntil: number): void {
    const listedAt = this.time.now;
    const coldMs = Math.max(0, coldUntil - listedAt);
    vm.configuration.setServer({ ...server, listedAt, coldMs });
  }

  #getServer(id: string): ColdServer {
    const server = this.servers.get(id);
    if (server === undefined) throw new Error(`${id} is unknown`);
    return server;
  }
}

function createDetector(): Detector {
  const detector: Partial<Detector> = {
    getEjectionState: () => EjectionState.Admitted,
    isSuspect: () => false,
    getFailureProbability: () => 0,
    getAdmittedMs: () => Infinity,
  };
  return detector as Detector;
}
