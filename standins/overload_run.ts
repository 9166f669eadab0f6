/**
 * Simulates the load of one service in virtual time, with and without the
 * overload service.
 */
import { Overload, OverloadKind } from "../src/services/overload/mod.ts";
import { TokenAccount } from "../src/services/quota/token_account.ts";
import type { TeamLimits } from "../src/services/quota/token_account.ts";
import { createSeededRandom } from "../src/services/random/mod.ts";
import type { Random } from "../src/services/random/mod.ts";
import { SlottedServer } from "./slotted_server.ts";
import { VirtualTime } from "./virtual_clock.ts";

/** Fleet of a single VM, which gets the whole quota of each team. */
const SINGLE_VM = { vms: 1, formerVms: 1, undelegatedMs: 0, totalVms: 1 };

/** A constant load for some time. */
export interface LoadStep {
  /** Rate of requests, as a multiple of the capacity of all slots. */
  readonly load: number;
  /** Duration in milliseconds. */
  readonly forMs: number;
}

/** Policy that decides which requests are accepted. */
export enum OverloadPolicy {
  /** The overload service decides. */
  AdmissionControl = "overload service",
  /** All requests are sent; servers shed requests when their queue is full. */
  BoundedQueues = "no admission control",
  /** All requests are sent; servers queue them without a bound, in order. */
  UnboundedQueues = "plain FIFO",
}

/** Options of {@linkcode runOverload}. */
export interface OverloadOptions {
  readonly seed: number;
  readonly steps: readonly LoadStep[];
  /** @default {OverloadPolicy.AdmissionControl} */
  readonly policy?: OverloadPolicy;
  /**
   * Share of requests that are urgent, 0 to 1.
   * @default {0.5}
   */
  readonly urgentShare?: number;
  /**
   * Virtual time in milliseconds from which
   * {@linkcode OverloadResult.refusedAfter} counts refusals; never if omitted.
   */
  readonly recoveredAt?: number;
  /**
   * Maximum number of immediate retries by the caller of a request that was
   * refused or shed.
   * @default {0}
   */
  readonly callerRetries?: number;
  /**
   * Load of the first team, as a multiple of the load of each other team.
   * @default {1}
   */
  readonly firstTeamLoad?: number;
  /** Limits of each team; no limits if omitted. */
  readonly limits?: TeamLimits;
}

/** Counts of requests by their outcome. */
export interface OverloadResult {
  requests: number;
  /** Requests that reached a server, including retries. */
  arrivals: number;
  /** Responses within the target latency. */
  inTime: number;
  /** Responses within the deadline. */
  served: number;
  /** Refusals by the overload service. */
  refused: number;
  /** Refusals since {@linkcode OverloadOptions.recoveredAt}. */
  refusedAfter: number;
  /** Number of urgent requests. */
  urgentRequests: number;
  /** Responses to urgent requests within the target latency. */
  urgentInTime: number;
  /** Requests by team and urgency, with keys such as `urgent 0`. */
  readonly requestsByTeam: Map<string, number>;
  /** Responses within the deadline, with the same keys. */
  readonly servedByTeam: Map<string, number>;
  /** Requests that the slots can process during all steps. */
  capacity: number;
}

/** Number of teams; each sends urgent and other requests. */
export const OVERLOAD_TEAMS = 6;
/** Capacity of all slots, in requests per second. */
export const OVERLOAD_CAPACITY_PER_S = 128;
const SERVERS = 8;
const SLOTS = 4;
/** Length of a server's queue at which the server sheds requests. */
const QUEUE_LIMIT = 16;
const MS_PER_SECOND = 1_000;
/** Mean processing time of a request, in milliseconds. */
const MEAN_WORK_MS = SERVERS * SLOTS * MS_PER_SECOND / OVERLOAD_CAPACITY_PER_S;
/** Target latency of a request, in milliseconds. */
const TARGET_MS = 800;
/** Deadline of a request, in milliseconds after it was sent. */
const DEADLINE_MS = 2_000;
/** Interval between updates of the known server loads, in milliseconds. */
const LOAD_UPDATE_MS = 80;
const SERVICE = "rota";

/** A request of a caller, including its retries. */
interface CallerRequest {
  readonly team: number;
  readonly isUrgent: boolean;
  readonly sentAt: number;
}

/** Runs the simulation; servers also process requests past their deadline. */
export async function runOverload(
  options: OverloadOptions,
): Promise<OverloadResult> {
  const run = new OverloadRun(options);
  return await run.run();
}

class OverloadRun {
  readonly #options: OverloadOptions;
  readonly #time = new VirtualTime();
  readonly #random: Random;
  readonly #overload: Overload;
  readonly #servers: readonly SlottedServer[];
  readonly #accounts: readonly TokenAccount[];
  readonly #result: OverloadResult;
  /** Number of requests at each server, as known to the VM. */
  #knownLoads: number[] = [];

  constructor(options: OverloadOptions) {
    this.#options = options;
    this.#random = createSeededRandom(options.seed);
    this.#overload = new Overload(this.#random);
    this.#servers = Array.from(
      { length: SERVERS },
      () => new SlottedServer(this.#time, SLOTS),
    );
    const { limits } = options;
    this.#accounts = limits === undefined ? [] : Array.from(
      { length: OVERLOAD_TEAMS },
      () => new TokenAccount(-MS_PER_SECOND),
    );
    this.#result = createResult(options);
  }

  async run(): Promise<OverloadResult> {
    this.#updateKnownLoads();
    for (const { load, forMs } of this.#options.steps) {
      const perMs = load * OVERLOAD_CAPACITY_PER_S / MS_PER_SECOND;
      const endAt = this.#time.now + forMs;
      const sendNext = (): void => {
        if (this.#time.now >= endAt) return;
        void this.#sendRequest();
        const gapMs = -Math.log(1 - this.#random()) / perMs;
        this.#time.startTimer(gapMs, sendNext);
      };
      sendNext();
      await this.#time.advance(forMs);
    }
    await this.#time.advance(DEADLINE_MS);
    return this.#result;
  }

  #updateKnownLoads(): void {
    this.#knownLoads = this.#servers.map((server) => server.inFlight);
    this.#time.startTimer(LOAD_UPDATE_MS, () => this.#updateKnownLoads());
  }

  async #sendRequest(): Promise<void> {
    const result = this.#result;
    const request: CallerRequest = {
      team: this.#pickTeam(),
      isUrgent: this.#random() < (this.#options.urgentShare ?? 0.5),
      sentAt: this.#time.now,
    };
    const teamKey = formatTeamKey(request);
    result.requests += 1;
    result.urgentRequests += request.isUrgent ? 1 : 0;
    addOne(result.requestsByTeam, teamKey);
    const maxAttempts = 1 + (this.#options.callerRetries ?? 0);
    for (let attempt = 0; attempt < maxAttempts; attempt += 1) {
      if (await this.#sendOnce(request)) break;
    }
  }

  /** Sends a request once; returns false if it was refused or shed. */
  async #sendOnce(request: CallerRequest): Promise<boolean> {
    const { isUrgent, sentAt } = request;
    const result = this.#result;
    const time = this.#time;
    if (!this.#acquireToken(request) || !this.#isAccepted(request)) {
      return false;
    }
    const index = this.#pickServer();
    const server = this.#servers[index];
    if (server === undefined) return false;
    result.arrivals += 1;
    this.#knownLoads[index] = (this.#knownLoads[index] ?? 0) + 1;
    const isBounded = this.#options.policy !== OverloadPolicy.UnboundedQueues;
    if (isBounded && server.inFlight >= SLOTS + QUEUE_LIMIT) return false;
    const startedAt = time.now;
    const waitedMs = await server.run(MEAN_WORK_MS * (0.5 + this.#random()));
    const processingMs = time.now - startedAt - waitedMs;
    this.#overload.recordProcessingTime(
      SERVICE,
      getRoute(request),
      processingMs,
    );
    const latencyMs = time.now - sentAt;
    if (latencyMs > DEADLINE_MS) return true;
    result.served += 1;
    addOne(result.servedByTeam, formatTeamKey(request));
    if (latencyMs > TARGET_MS) return true;
    result.inTime += 1;
    result.urgentInTime += isUrgent ? 1 : 0;
    return true;
  }

  #acquireToken({ team }: CallerRequest): boolean {
    const { limits } = this.#options;
    const account = this.#accounts[team];
    if (limits === undefined || account === undefined) return true;
    const { now } = this.#time;
    account.update(limits, SINGLE_VM, now, now);
    return account.acquire();
  }

  #isAccepted(request: CallerRequest): boolean {
    const { policy = OverloadPolicy.AdmissionControl, recoveredAt } =
      this.#options;
    switch (policy) {
      case OverloadPolicy.BoundedQueues:
      case OverloadPolicy.UnboundedQueues:
        return true;
      case OverloadPolicy.AdmissionControl:
    }
    const { now } = this.#time;
    const minLoad = Math.min(...this.#knownLoads);
    const decision = this.#overload.evaluate({
      service: SERVICE,
      route: getRoute(request),
      priority: request.isUrgent ? 1 : 2,
      queueMs: Math.max(0, minLoad + 1 - SLOTS) / SLOTS * MEAN_WORK_MS,
      targetMs: TARGET_MS,
      remainingMs: DEADLINE_MS + request.sentAt - now,
    }, now);
    if (decision.kind === OverloadKind.Accepted) return true;
    this.#result.refused += 1;
    if (now >= (recoveredAt ?? Infinity)) this.#result.refusedAfter += 1;
    return false;
  }

  #pickTeam(): number {
    const firstTeamLoad = this.#options.firstTeamLoad ?? 1;
    const drawn = Math.floor(
      this.#random() * (firstTeamLoad + OVERLOAD_TEAMS - 1),
    );
    return Math.max(0, drawn - firstTeamLoad + 1);
  }

  /**
   * Picks the less loaded of two random servers: the known loads are outdated,
   * and always picking the least loaded server would overload it.
   */
  #pickServer(): number {
    const first = Math.floor(this.#random() * SERVERS);
    const second = Math.floor(this.#random() * SERVERS);
    const loads = this.#knownLoads;
    return (loads[first] ?? 0) <= (loads[second] ?? 0) ? first : second;
  }
}

function getRoute({ isUrgent }: CallerRequest): string {
  return isUrgent ? "swap" : "lookup";
}

function formatTeamKey({ team, isUrgent }: CallerRequest): string {
  return `${isUrgent ? "urgent" : "other"} ${team}`;
}

function createResult({ steps }: OverloadOptions): OverloadResult {
  const totalMs = steps.reduce((sum, { forMs }) => sum + forMs, 0);
  return {
    requests: 0,
    arrivals: 0,
    inTime: 0,
    served: 0,
    refused: 0,
    refusedAfter: 0,
    urgentRequests: 0,
    urgentInTime: 0,
    requestsByTeam: new Map(),
    servedByTeam: new Map(),
    capacity: totalMs * OVERLOAD_CAPACITY_PER_S / MS_PER_SECOND,
  };
}

function addOne(counts: Map<string, number>, name: string): void {
  counts.set(name, (counts.get(name) ?? 0) + 1);
}
