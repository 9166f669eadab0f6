/** A VM in a simulation of scarcity: its view, its servers' loads, its policy. */
import { OverloadPolicyKind } from "../src/model/mod.ts";
import { Metrics } from "../src/services/metrics/mod.ts";
import { Overload } from "../src/services/overload/mod.ts";
import type { OverloadPolicy } from "../src/services/overload/policy.ts";
import { createPriorityPolicy } from "../src/services/overload/priority_policy.ts";
import type { Random } from "../src/services/random/mod.ts";
import {
  ALL_LEVELS,
  ViewKind,
} from "../src/services/scarcity/capacity_view.ts";
import type { CapacityView } from "../src/services/scarcity/capacity_view.ts";
import { Scarcity } from "../src/services/scarcity/mod.ts";
import { ServerLoad } from "../src/services/selection/server_load.ts";
import type { ScarcityServer } from "./scarcity_server.ts";
import { SILENT_LOGGER } from "./silent_logger.ts";
import type { VirtualClock } from "./virtual_clock.ts";

/** Name of the only service. */
export const SCARCE_SERVICE = "rota";
/** Weight of the newest processing time in the typical one. */
const PROCESSING_WEIGHT = 0.05;
/** Number of random servers of which the one with the shortest wait is picked. */
const SAMPLES = 4;

/** What a VM reports, and what it knows of the sum of all others. */
export interface VmCounts {
  readonly inFlight: readonly number[];
  readonly waitingMs: readonly number[];
}

/** Options of {@linkcode SimulatedVm}. */
export interface SimulatedVmOptions {
  readonly clock: VirtualClock;
  readonly random: Random;
  readonly domain: number;
  readonly servers: readonly ScarcityServer[];
  readonly policy: OverloadPolicyKind;
}

/** One VM. */
export class SimulatedVm {
  readonly policy: OverloadPolicy;
  readonly domain: number;
  /** Counts of all other VMs; undefined without a view. */
  others: VmCounts | undefined;
  /** Time at which they were received, in milliseconds. */
  receivedAt = 0;
  readonly #options: SimulatedVmOptions;
  readonly #overload: Overload;
  readonly #scarcity: Scarcity | undefined;
  readonly #loads: readonly ServerLoad[];
  #processingMs = 0;

  constructor(options: SimulatedVmOptions) {
    const { clock, random, policy } = options;
    this.#options = options;
    this.domain = options.domain;
    this.#overload = new Overload(random);
    this.#loads = options.servers.map(() => new ServerLoad());
    switch (policy) {
      case OverloadPolicyKind.Priority:
        this.policy = createPriorityPolicy({
          clock,
          overload: this.#overload,
          getQueueMs: () => this.#getQueueMs(),
          logger: SILENT_LOGGER,
          random,
        });
        return;
      case OverloadPolicyKind.Cost:
        this.#scarcity = new Scarcity({
          clock,
          random,
          logger: SILENT_LOGGER,
          metrics: new Metrics(),
          getView: (_service, workMs, ownStarted) =>
            this.#getView(workMs, ownStarted),
        });
        this.policy = this.#scarcity;
    }
  }

  /** Returns this VM's own counts. */
  getCounts(): VmCounts {
    const backlog = this.#scarcity?.sumBacklog().get(SCARCE_SERVICE);
    return {
      inFlight: this.#loads.map(({ inFlight }) => inFlight),
      waitingMs: backlog ?? ALL_LEVELS.map(() => 0),
    };
  }

  /** Picks the server with the shortest expected wait of some random ones. */
  pickServer(): number | undefined {
    const { servers, random, clock } = this.#options;
    const up = servers.flatMap((server, index) => server.isUp ? [index] : []);
    let picked: number | undefined;
    let shortestMs = Infinity;
    for (let sample = 0; sample < SAMPLES; sample += 1) {
      const index = up[Math.floor(random() * up.length)] ?? 0;
      const waitMs = this.#loads[index]?.getWaitMs(
        servers[index]?.slots ?? 0,
        this.#processingMs,
        clock.now(),
        this.others?.inFlight[index],
      ) ?? Infinity;
      if (waitMs >= shortestMs) continue;
      picked = index;
      shortestMs = waitMs;
    }
    return picked;
  }

  /** Records that a request is sent; returns whether it gets a free slot. */
  recordStart(index: number): boolean {
    const isFree = this.#computeDepth(index) === 0;
    this.#loads[index]?.recordStart();
    return isFree;
  }

  /** Records that a request ended after `latencyMs`, undefined if not run. */
  recordEnd(
    index: number,
    route: string,
    latencyMs: number | undefined,
    hadCapacity: boolean,
  ): void {
    const { clock, servers } = this.#options;
    const server = servers[index];
    this.#loads[index]?.recordEnd({
      latencyMs,
      load: server && { running: server.running, waiting: server.waiting },
      isShed: latencyMs === undefined,
      typicalMs: this.#processingMs,
      at: clock.now(),
    });
    if (latencyMs === undefined) return;
    this.recordProcessing(route, latencyMs, hadCapacity);
  }

  /** Records a processing time. */
  recordProcessing(
    route: string,
    latencyMs: number,
    hadCapacity = true,
  ): void {
    const service = SCARCE_SERVICE;
    this.policy.recordProcessed({ service, route, latencyMs });
    if (!hadCapacity) return;
    const before = this.#processingMs || latencyMs;
    this.#processingMs = before + PROCESSING_WEIGHT * (latencyMs - before);
    this.#overload.recordProcessingTime(service, route, latencyMs);
  }

  #computeDepth(index: number): number {
    const { servers, clock } = this.#options;
    return this.#loads[index]?.computeQueueDepth(
      servers[index]?.slots ?? 1,
      clock.now(),
      this.others?.inFlight[index],
    ) ?? 0;
  }

  #getQueueMs(): number {
    const depths = this.#options.servers.flatMap((server, index) =>
      server.isUp ? [this.#computeDepth(index)] : []
    );
    return Math.min(...depths) * this.#processingMs;
  }

  #getView(processingMs: number, ownStarted: number): CapacityView {
    const { clock, servers } = this.#options;
    const now = clock.now();
    const up = servers.flatMap((server, index) => server.isUp ? [index] : []);
    const own = up.reduce(
      (sum, index) => sum + (this.#loads[index]?.inFlight ?? 0),
      0,
    );
    const shed = up.filter((index) => this.#loads[index]?.isFull(now)).length;
    const view = {
      slots: up.reduce((sum, index) => sum + (servers[index]?.slots ?? 0), 0),
      processingMs,
      ownInFlight: Math.max(own, ownStarted),
      shedRatio: shed / up.length,
      ageMs: this.others === undefined ? Infinity : now - this.receivedAt,
    };
    const { others } = this;
    if (others === undefined) {
      const reportedQueueMs = this.#getQueueMs();
      return { kind: ViewKind.Local, ...view, reportedQueueMs };
    }
    return {
      kind: ViewKind.Fleet,
      ...view,
      othersInFlight: up.reduce(
        (sum, index) => sum + (others.inFlight[index] ?? 0),
        0,
      ),
      othersWaitingMs: others.waitingMs,
    };
  }
}
