/** Simulates a service without enough capacity in virtual time. */
import { OverloadPolicyKind } from "../src/model/mod.ts";
import { VerdictKind } from "../src/services/overload/policy.ts";
import { createSeededRandom } from "../src/services/random/mod.ts";
import type { Random } from "../src/services/random/mod.ts";
import { CentralKind, CentralQueue } from "./scarcity_central.ts";
import type { ScarcityKindSpec, ScarcityLoad } from "./scarcity_loads.ts";
import { ScarcityResult } from "./scarcity_result.ts";
import type { SimulatedRequest } from "./scarcity_result.ts";
import { ScarcityServer, ServerResult } from "./scarcity_server.ts";
import { SCARCE_SERVICE, SimulatedVm } from "./scarcity_vm.ts";
import type { VmCounts } from "./scarcity_vm.ts";
import { VirtualClock, VirtualTime } from "./virtual_clock.ts";

/** What decides on the requests. */
export enum Decider {
  Cost = "cost",
  Today = "today's decision",
  Fifo = "first come first served",
  StrictPriority = "strict priority",
  Central = "central queue",
}

/** Options of {@linkcode runScarcity}. */
export interface ScarcityOptions {
  readonly load: ScarcityLoad;
  readonly decider: Decider;
  readonly seed: number;
  /**
   * Longest wait that a central queue accepts, relative to the longest with
   * which the response is in time.
   * @default {0.8}
   */
  readonly centralWaitRatio?: number;
}

const VMS = 30;
const DOMAINS = 3;
const SERVERS = 24;
const SLOTS = 6;
const QUEUE_LIMIT = 24;
const TEAMS = 24;
const RUN_MS = 15_000;
/** Interval between reports of VMs, and time until all have received one. */
const REPORT_MS = 80;
const VIEW_MS = 200;
/** Interval between samples of the load, in milliseconds. */
const SAMPLE_MS = 100;
/** Deviation of the logarithm of the work. */
const WORK_DEVIATION = 0.5;

/** Runs the simulation. */
export async function runScarcity(
  options: ScarcityOptions,
): Promise<ScarcityResult> {
  const run = new ScarcityRun(options);
  return await run.run();
}

class ScarcityRun {
  readonly #options: ScarcityOptions;
  readonly #time = new VirtualTime();
  readonly #clock = new VirtualClock(this.#time);
  readonly #random: Random;
  /** Draws the arrivals, which are the same whatever decides. */
  readonly #arrivals: Random;
  readonly #servers: readonly ScarcityServer[];
  readonly #vms: readonly SimulatedVm[];
  readonly #central: CentralQueue | undefined;
  readonly #result = new ScarcityResult();

  constructor(options: ScarcityOptions) {
    this.#options = options;
    this.#random = createSeededRandom(options.seed);
    this.#arrivals = createSeededRandom(options.seed + 1_000);
    this.#servers = Array.from({ length: SERVERS }, () =>
      new ScarcityServer({
        time: this.#time,
        slots: SLOTS,
        queueLimit: QUEUE_LIMIT,
        getSpeed: () => this.#getSpeed(),
      }));
    this.#vms = Array.from(
      { length: VMS },
      (_vm, index) => this.#createVm(index % DOMAINS),
    );
    this.#central = this.#createCentral();
  }

  async run(): Promise<ScarcityResult> {
    const { lost } = this.#options.load;
    this.#startReports();
    this.#startSamples();
    if (lost !== undefined) this.#startLoss(lost);
    for (let domain = 0; domain < DOMAINS; domain += 1) {
      this.#startArrivals(domain);
    }
    await this.#time.advance(RUN_MS);
    const timeouts = this.#options.load.kinds.map((kind) => kind.timeoutMs);
    await this.#time.advance(Math.max(...timeouts));
    return this.#result;
  }

  #createVm(domain: number): SimulatedVm {
    const vm = new SimulatedVm({
      clock: this.#clock,
      random: this.#random,
      domain,
      servers: this.#servers,
      policy: this.#options.decider === Decider.Today
        ? OverloadPolicyKind.Priority
        : OverloadPolicyKind.Cost,
    });
    // VMs have served for some time when the simulation starts.
    for (const kind of this.#options.load.kinds) {
      for (let sample = 0; sample < 50; sample += 1) {
        vm.recordProcessing(kind.name, kind.workMs * this.#pickFactor());
      }
    }
    return vm;
  }

  #createCentral(): CentralQueue | undefined {
    const options = {
      servers: this.#servers,
      getNow: () => this.#time.now,
      getSpeed: () => this.#getSpeed(),
      waitRatio: this.#options.centralWaitRatio ?? 0.8,
      minRatio: 0.3,
    };
    switch (this.#options.decider) {
      case Decider.Central:
        return new CentralQueue({ kind: CentralKind.InTime, ...options });
      case Decider.StrictPriority:
        return new CentralQueue({
          kind: CentralKind.StrictPriority,
          ...options,
        });
      case Decider.Cost:
      case Decider.Today:
      case Decider.Fifo:
        return undefined;
    }
  }

  #getSpeed(): number {
    return this.#options.load.getSpeed?.(this.#time.now) ?? 1;
  }

  #startArrivals(domain: number): void {
    const { load } = this.#options;
    const totalWeight = load.kinds.reduce((sum, { weight }) => sum + weight, 0);
    const meanWorkMs = load.kinds
      .reduce((sum, { weight, workMs }) => sum + weight * workMs, 0) /
      totalWeight;
    const capacityPerMs = SERVERS * SLOTS / meanWorkMs;
    const sendNext = (): void => {
      const { now } = this.#time;
      if (now >= RUN_MS) return;
      void this.#sendRequest(this.#createRequest(domain));
      const perMs = load.getDemand(now, domain) * capacityPerMs / DOMAINS;
      this.#time.startTimer(-Math.log(1 - this.#arrivals()) / perMs, sendNext);
    };
    sendNext();
  }

  #createRequest(domain: number): SimulatedRequest {
    const { long } = this.#options.load;
    const kind = this.#pickKind();
    const team = this.#pickTeam();
    const isLong = this.#arrivals() < (long?.share ?? 0);
    const factor = this.#pickFactor() * (isLong ? long?.factor ?? 1 : 1);
    const workMs = kind.workMs * factor;
    return { kind, team, domain, sentAt: this.#time.now, workMs, repeats: 0 };
  }

  async #sendRequest(request: SimulatedRequest): Promise<void> {
    this.#result.recordRequest(request);
    const isRefused = this.#central === undefined
      ? await this.#sendToVm(request)
      : await this.#sendToCentral(request, this.#central);
    if (!isRefused) return;
    const { repeats = 0 } = this.#options.load;
    const freeRatio = this.#computeFreeRatio();
    this.#result.recordRefusal(request, this.#time.now, freeRatio);
    if (request.repeats >= repeats) return;
    await this.#sendRequest({
      ...request,
      sentAt: this.#time.now,
      repeats: request.repeats + 1,
    });
  }

  async #sendToCentral(
    request: SimulatedRequest,
    central: CentralQueue,
  ): Promise<boolean> {
    const startedAt = this.#time.now;
    const server = await central.acquire(request);
    if (server === undefined) return true;
    const waitMs = this.#time.now - startedAt;
    const running = server.run(request.workMs);
    central.recordStart(server);
    const result = await running;
    central.advance();
    if (result !== ServerResult.Done) return true;
    this.#result.recordResponse(request, waitMs, this.#time.now);
    return false;
  }

  /** Sends a request to a random VM of its domain; true if it is refused. */
  async #sendToVm(request: SimulatedRequest): Promise<boolean> {
    const { kind, team, sentAt } = request;
    const vms = this.#vms.filter(({ domain }) => domain === request.domain);
    const vm = vms[Math.floor(this.#random() * vms.length)];
    if (vm === undefined) return true;
    if (this.#options.decider === Decider.Fifo) {
      return await this.#sendToServer(request, vm);
    }
    const verdict = await vm.policy.admit({
      id: "",
      service: SCARCE_SERVICE,
      route: kind.name,
      team: `team-${team}`,
      priority: kind.priority,
      targetMs: kind.targetMs,
      arrivedAt: sentAt,
      deadlineAt: sentAt + kind.timeoutMs,
    }, new AbortController().signal);
    if (this.#time.now > sentAt + kind.timeoutMs) this.#result.overdue += 1;
    if (verdict.kind !== VerdictKind.Start) return true;
    const isRefused = await this.#sendToServer(request, vm);
    verdict.complete();
    return isRefused;
  }

  async #sendToServer(
    request: SimulatedRequest,
    vm: SimulatedVm,
  ): Promise<boolean> {
    const index = vm.pickServer();
    const server = index === undefined ? undefined : this.#servers[index];
    if (index === undefined || server === undefined) return true;
    const hadCapacity = vm.recordStart(index);
    const startedAt = this.#time.now;
    const result = await server.run(request.workMs);
    const isDone = result === ServerResult.Done;
    const latencyMs = this.#time.now - startedAt;
    vm.recordEnd(
      index,
      request.kind.name,
      isDone ? latencyMs : undefined,
      hadCapacity,
    );
    if (!isDone) return true;
    const waitMs = this.#time.now - request.sentAt -
      request.workMs / this.#getSpeed();
    this.#result.recordResponse(request, waitMs, this.#time.now);
    return false;
  }

  /** Reports the counts of each VM to all others, after a delay. */
  #startReports(): void {
    const { viewMs = VIEW_MS } = this.#options.load;
    const counts = this.#vms.map((vm) => vm.getCounts());
    const sum = sumCounts(counts);
    this.#time.startTimer(viewMs, () => {
      this.#vms.forEach((vm, index) => {
        const own = counts[index];
        vm.others = this.#isBlind(vm, index) || own === undefined
          ? undefined
          : computeDifference(sum, own);
        // Messages that are later than usual show in the age of the view.
        vm.receivedAt = this.#time.now - (viewMs - VIEW_MS);
      });
    });
    this.#time.startTimer(REPORT_MS, () => this.#startReports());
  }

  #isBlind(vm: SimulatedVm, index: number): boolean {
    const { blindVms = 0, hubLost } = this.#options.load;
    const { now } = this.#time;
    const isHubLost = hubLost !== undefined && vm.domain === 0 &&
      now >= hubLost.from && now < hubLost.to;
    return index < blindVms || isHubLost;
  }

  #startSamples(): void {
    if (this.#time.now >= RUN_MS) return;
    this.#result.loads.push(1 - this.#computeFreeRatio());
    this.#result.uses.push(this.#computeUse());
    this.#time.startTimer(SAMPLE_MS, () => this.#startSamples());
  }

  #startLoss({ share, at }: NonNullable<ScarcityLoad["lost"]>): void {
    const lost = this.#servers.slice(0, Math.round(SERVERS * share));
    this.#time.startTimer(at, () => {
      for (const server of lost) server.kill();
    });
  }

  /** Computes the share of free slots; negative if requests wait at servers. */
  #computeFreeRatio(): number {
    const up = this.#servers.filter(({ isUp }) => isUp);
    const slots = up.length * SLOTS;
    const used = up
      .reduce((sum, { running, waiting }) => sum + running + waiting, 0);
    return 1 - used / slots;
  }

  /** Computes the share of slots in use. */
  #computeUse(): number {
    const up = this.#servers.filter(({ isUp }) => isUp);
    const used = up.reduce((sum, { running }) => sum + running, 0);
    return used / (up.length * SLOTS);
  }

  #pickKind(): ScarcityKindSpec {
    const { kinds } = this.#options.load;
    const total = kinds.reduce((sum, { weight }) => sum + weight, 0);
    let remaining = this.#arrivals() * total;
    for (const kind of kinds) {
      remaining -= kind.weight;
      if (remaining < 0) return kind;
    }
    return kinds[0] as ScarcityKindSpec;
  }

  #pickTeam(): number {
    const hot = this.#options.load.hotTeamFactor ?? 1;
    const drawn = Math.floor(this.#arrivals() * (hot + TEAMS - 1));
    return Math.max(0, drawn - hot + 1);
  }

  /** Draws a factor of the work with a mean of about 1. */
  #pickFactor(): number {
    const radius = Math.sqrt(-2 * Math.log(1 - this.#arrivals()));
    const normal = radius * Math.cos(2 * Math.PI * this.#arrivals());
    const variance = WORK_DEVIATION ** 2;
    return Math.exp(normal * WORK_DEVIATION - variance / 2);
  }
}

function sumCounts(counts: readonly VmCounts[]): VmCounts {
  return counts.reduce((sum, other) => ({
    inFlight: sum.inFlight.map((value, index) =>
      value + (other.inFlight[index] ?? 0)
    ),
    waitingMs: sum.waitingMs.map((value, index) =>
      value + (other.waitingMs[index] ?? 0)
    ),
  }));
}

function computeDifference(sum: VmCounts, own: VmCounts): VmCounts {
  return {
    inFlight: sum.inFlight.map((value, index) =>
      value - (own.inFlight[index] ?? 0)
    ),
    waitingMs: sum.waitingMs.map((value, index) =>
      Math.max(0, value - (own.waitingMs[index] ?? 0))
    ),
  };
}
