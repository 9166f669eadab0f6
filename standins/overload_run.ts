/** One service under a given load in virtual time, with and without decisions. */
import { Overload, OverloadKind } from "../src/services/overload/mod.ts";
import { TokenAccount } from "../src/services/quota/token_account.ts";
import type { TeamLimits } from "../src/services/quota/token_account.ts";
import { createSeededRandom } from "../src/services/random/mod.ts";
import type { Random } from "../src/services/random/mod.ts";
import { SlottedServer } from "./slotted_server.ts";
import { VirtualTime } from "./virtual_clock.ts";

/** All of each team's tokens. */
const ONLY_VM = { vms: 1, formerVms: 1, undelegatedMs: 0, totalVms: 1 };

/** Load for a time. */
export interface LoadStep {
  /** Arriving work, in multiples of what all slots can do. */
  readonly load: number;
  /** Length in milliseconds. */
  readonly forMs: number;
}

/** Who decides on the requests. */
export enum OverloadPolicy {
  Decided = "overload service",
  /** Nobody; servers shed what their queue has no room for. */
  Open = "no admission control",
  /** Nobody; servers queue without a bound, in order of arrival. */
  Fifo = "plain FIFO",
}

/** Options of {@linkcode runOverload}. */
export interface OverloadOptions {
  readonly seed: number;
  readonly steps: readonly LoadStep[];
  /** @default {OverloadPolicy.Decided} */
  readonly policy?: OverloadPolicy;
  /**
   * Share of the requests that are urgent, 0 to 1.
   * @default {0.5}
   */
  readonly urgentShare?: number;
  /** Virtual time in milliseconds from which `refusedAfter` counts. */
  readonly settledAt?: number;
  /**
   * Times that a caller sends a request again at once that was refused or shed.
   * @default {0}
   */
  readonly callerRetries?: number;
  /**
   * What the first team sends in multiples of what each other one sends.
   * @default {1}
   */
  readonly heavy?: number;
  /** Limits of each team; none if left out. */
  readonly limits?: TeamLimits;
}

/** How the requests ended. */
export interface OverloadResult {
  requests: number;
  /** Requests that reached a server, those sent again included. */
  arrivals: number;
  /** Answered within the target, and within the deadline. */
  inTime: number;
  served: number;
  /** Refusals by the overload service. */
  refused: number;
  refusedAfter: number;
  urgentRequests: number;
  urgentInTime: number;
  readonly requestsByTeam: Map<string, number>;
  readonly servedByTeam: Map<string, number>;
  /** Requests that the slots could do in the time of all steps. */
  capacity: number;
}

/** Number of teams; each has urgent and other requests. */
export const OVERLOAD_TEAMS = 6;
/** Requests a second that all slots can do. */
export const OVERLOAD_CAPACITY_PER_S = 128;
const SERVERS = 8;
const SLOTS = 4;
/** Requests that a server takes beyond its slots before it sheds. */
const SERVER_QUEUE = 16;
const MS_PER_SECOND = 1_000;
const WORK_MS = SERVERS * SLOTS * MS_PER_SECOND / OVERLOAD_CAPACITY_PER_S;
const TARGET_MS = 800;
const DEADLINE_MS = 2_000;
/** Age of what is known of the queues, in milliseconds. */
const LOOK_MS = 80;
const SERVICE = "rota";

/** One request of a caller, through all times that it is sent. */
interface CallerRequest {
  readonly team: number;
  readonly isUrgent: boolean;
  readonly sentAt: number;
}

/** Runs one service; servers go on with what their callers gave up. */
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
  /** Requests at each server as they were known last. */
  #known: number[] = [];

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
    this.#updateKnown();
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

  #updateKnown(): void {
    this.#known = this.#servers.map((server) => server.inFlight);
    this.#time.startTimer(LOOK_MS, () => this.#updateKnown());
  }

  async #sendRequest(): Promise<void> {
    const result = this.#result;
    const request: CallerRequest = {
      team: this.#pickTeam(),
      isUrgent: this.#random() < (this.#options.urgentShare ?? 0.5),
      sentAt: this.#time.now,
    };
    const kind = formatKind(request);
    result.requests += 1;
    result.urgentRequests += request.isUrgent ? 1 : 0;
    addOne(result.requestsByTeam, kind);
    const tries = 1 + (this.#options.callerRetries ?? 0);
    for (let count = 0; count < tries; count += 1) {
      if (await this.#sendOnce(request)) break;
    }
  }

  /** Sends a request; returns false if it was not run. */
  async #sendOnce(request: CallerRequest): Promise<boolean> {
    const { isUrgent, sentAt } = request;
    const result = this.#result;
    const time = this.#time;
    if (!this.#isWithinLimits(request) || !this.#isAccepted(request)) {
      return false;
    }
    const picked = this.#pickServer();
    const server = this.#servers[picked];
    if (server === undefined) return false;
    result.arrivals += 1;
    this.#known[picked] = (this.#known[picked] ?? 0) + 1;
    const isBounded = this.#options.policy !== OverloadPolicy.Fifo;
    if (isBounded && server.inFlight >= SLOTS + SERVER_QUEUE) return false;
    const startedAt = time.now;
    const waitedMs = await server.run(WORK_MS * (0.5 + this.#random()));
    const workMs = time.now - startedAt - waitedMs;
    this.#overload.recordProcessingTime(SERVICE, getRoute(request), workMs);
    const tookMs = time.now - sentAt;
    if (tookMs > DEADLINE_MS) return true;
    result.served += 1;
    addOne(result.servedByTeam, formatKind(request));
    if (tookMs > TARGET_MS) return true;
    result.inTime += 1;
    result.urgentInTime += isUrgent ? 1 : 0;
    return true;
  }

  #isWithinLimits({ team }: CallerRequest): boolean {
    const { limits } = this.#options;
    const account = this.#accounts[team];
    if (limits === undefined || account === undefined) return true;
    const { now } = this.#time;
    account.update(limits, ONLY_VM, now, now);
    return account.acquire();
  }

  #isAccepted(request: CallerRequest): boolean {
    const { policy = OverloadPolicy.Decided, settledAt } = this.#options;
    switch (policy) {
      case OverloadPolicy.Open:
      case OverloadPolicy.Fifo:
        return true;
      case OverloadPolicy.Decided:
    }
    const { now } = this.#time;
    const fewest = Math.min(...this.#known);
    const decision = this.#overload.evaluate({
      service: SERVICE,
      route: getRoute(request),
      priority: request.isUrgent ? 1 : 2,
      queueMs: Math.max(0, fewest + 1 - SLOTS) / SLOTS * WORK_MS,
      targetMs: TARGET_MS,
      remainingMs: DEADLINE_MS + request.sentAt - now,
    }, now);
    if (decision.kind === OverloadKind.Accepted) return true;
    this.#result.refused += 1;
    if (now >= (settledAt ?? Infinity)) this.#result.refusedAfter += 1;
    return false;
  }

  #pickTeam(): number {
    const heavy = this.#options.heavy ?? 1;
    const drawn = Math.floor(this.#random() * (heavy + OVERLOAD_TEAMS - 1));
    return Math.max(0, drawn - heavy + 1);
  }

  /** Picks the better of two at random, since what is known is old. */
  #pickServer(): number {
    const first = Math.floor(this.#random() * SERVERS);
    const second = Math.floor(this.#random() * SERVERS);
    const known = this.#known;
    return (known[first] ?? 0) <= (known[second] ?? 0) ? first : second;
  }
}

function getRoute({ isUrgent }: CallerRequest): string {
  return isUrgent ? "swap" : "lookup";
}

function formatKind({ team, isUrgent }: CallerRequest): string {
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
