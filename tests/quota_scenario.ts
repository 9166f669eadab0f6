/** Simulates requests of one team to failing VMs in virtual time. */
import {
  createUnlimitedWait,
  LimitKind,
} from "../src/services/quota/team_limiter.ts";
import { createSeededRandom } from "../src/services/random/mod.ts";
import type { Random } from "../src/services/random/mod.ts";
import { createWorld, DOMAINS, ORDINARY, SETTLE_MS } from "./feed_world.ts";
import type { VirtualVm, World } from "./feed_world.ts";

/** Window of the users' contract on team limits, in milliseconds. */
export const WINDOW_MS = 5_000;
/** Tolerance of the contract, as a share of the allowed requests. */
const OVERSHOOT_RATIO = 0.1;
/** Additional tolerance of the contract, in requests. */
const OVERSHOOT_SLACK = 20;
/** Time step of the simulation, in milliseconds. */
const STEP_MS = 10;
const MS_PER_SECOND = 1_000;
/** First number in the names of joining VMs; larger than those of other VMs. */
const FIRST_JOINED_NUMBER = 100;

/** Kinds of {@linkcode QuotaFault}. */
export enum QuotaFaultKind {
  /** Some VMs are killed at once and restart. */
  MassKill = "herd_kill",
  /** VMs are killed one after another and restart. */
  SequentialKills = "kills_in_turn",
  /** Hubs are killed and restart. */
  HubKill = "hub_kill",
  /** Some VMs freeze and resume. */
  Freeze = "freeze",
  /** Hubs freeze and resume. */
  HubFreeze = "hub_freeze",
  /** Some VMs are partitioned from all others; connections are not closed. */
  Partition = "cut",
  /** Messages between VMs are delayed. */
  Delay = "late",
  /** New VMs join. */
  Join = "join",
  /** Open connections of some VMs stop transmitting; new ones work. */
  UnresponsiveLinks = "silent_links",
  /** The team's rate and burst are lowered. */
  LowerLimit = "lower_limit",
}

/**
 * Fault of VMs or change of limits; times are in milliseconds, and shares are
 * of the VMs, 0 to 1.
 */
export type QuotaFault =
  | {
    readonly kind: QuotaFaultKind.MassKill;
    readonly at: number;
    readonly share: number;
    readonly downMs: number;
  }
  | {
    readonly kind: QuotaFaultKind.SequentialKills;
    readonly at: number;
    readonly count: number;
    readonly gapMs: number;
    readonly downMs: number;
  }
  | {
    readonly kind: QuotaFaultKind.HubKill | QuotaFaultKind.HubFreeze;
    readonly at: number;
    readonly downMs: number;
    /** Index of the failure domain of the hub; all hubs if omitted. */
    readonly domain?: number;
  }
  | {
    readonly kind: QuotaFaultKind.Freeze | QuotaFaultKind.Partition;
    readonly at: number;
    readonly share: number;
    readonly forMs: number;
  }
  | {
    readonly kind: QuotaFaultKind.Delay;
    readonly at: number;
    readonly forMs: number;
    readonly delayMs: number;
  }
  | {
    readonly kind: QuotaFaultKind.Join;
    readonly at: number;
    readonly perDomain: number;
  }
  | {
    readonly kind: QuotaFaultKind.UnresponsiveLinks;
    readonly at: number;
    readonly share: number;
  }
  | {
    readonly kind: QuotaFaultKind.LowerLimit;
    readonly at: number;
    /** Factor by which the limits are multiplied, 0 to 1. */
    readonly factor: number;
  };

/** Simulated load and faults; times start when the fleet is stable. */
export interface QuotaScenario {
  readonly vms: number;
  readonly ratePerSecond: number;
  readonly burst: number;
  readonly lengthMs: number;
  /**
   * Time for the VMs to adapt to new callers, in milliseconds; requests and
   * refusals in this time are not counted.
   * @default 0
   */
  readonly warmUpMs?: number;
  readonly seed: number;
  /** Returns the requests per second of all callers at a time in ms. */
  readonly getRate: (ms: number) => number;
  /**
   * Picks the VM that receives a request, among the live VMs.
   * @default any live VM
   */
  readonly pickVm?: (
    vms: readonly VirtualVm[],
    random: Random,
  ) => VirtualVm | undefined;
  readonly faults: readonly QuotaFault[];
}

/** Outcome of the requests of all callers. */
export interface QuotaOutcome {
  readonly requested: number;
  readonly refused: number;
  /** Maximum number of requests admitted in any window. */
  readonly worstWindow: number;
  /** Times of admitted requests, in milliseconds since the simulation began. */
  readonly admittedAt: readonly number[];
}

/**
 * Returns the maximum number of requests that the contract allows in one
 * window.
 */
export function getWindowLimit(ratePerSecond: number, burst: number): number {
  const base = ratePerSecond * WINDOW_MS / MS_PER_SECOND + burst;
  return base * (1 + OVERSHOOT_RATIO) + OVERSHOOT_SLACK;
}

/** Returns the maximum number of `times` in any window; they must be sorted. */
export function countWorstWindow(times: readonly number[]): number {
  let worst = 0;
  let first = 0;
  times.forEach((time, index) => {
    while ((times[first] ?? 0) <= time - WINDOW_MS) first += 1;
    worst = Math.max(worst, index - first + 1);
  });
  return worst;
}

/** Simulates requests and faults, and counts the admitted requests. */
export async function runQuotaScenario(
  scenario: QuotaScenario,
): Promise<QuotaOutcome> {
  const world = await createWorld(scenario.vms);
  world.team = {
    ...world.team,
    ratePerSecond: scenario.ratePerSecond,
    burst: scenario.burst,
  };
  const random = createSeededRandom(scenario.seed);
  await world.time.advance(SETTLE_MS);
  const startedAt = world.time.now;
  const admittedAt: number[] = [];
  let requested = 0;
  let refused = 0;
  for (const fault of scenario.faults) {
    world.time.startTimer(fault.at, () => applyFault(world, fault, random));
  }
  while (world.time.now - startedAt < scenario.lengthMs) {
    const expected = scenario.getRate(world.time.now - startedAt) * STEP_MS /
      MS_PER_SECOND;
    const count = Math.floor(expected + random());
    for (let index = 0; index < count; index += 1) {
      // A VM admits no requests before it has a fresh configuration.
      const vms = world.vms.filter(({ freshness }) => freshness.isFresh());
      const vm = scenario.pickVm?.(vms, random) ?? pickAny(vms, random);
      if (vm === undefined) continue;
      const isWarm = world.time.now - startedAt >= (scenario.warmUpMs ?? 0);
      if (isWarm) requested += 1;
      // A frozen VM handles the requests that arrived once it resumes.
      vm.clock.runWhileRunning(() => {
        if (vm.stop.signal.aborted) return;
        const wait = createUnlimitedWait();
        const acquired = vm.limiter.acquire(world.team, ORDINARY, wait);
        void acquired.then((decision) => {
          if (decision.kind === LimitKind.Within) {
            admittedAt.push(world.time.now - startedAt);
          } else if (isWarm) refused += 1;
        });
      });
    }
    await world.time.advance(STEP_MS);
  }
  for (const vm of [...world.vms]) world.killVm(vm);
  const worstWindow = countWorstWindow(admittedAt);
  return { requested, refused, worstWindow, admittedAt };
}

/** Range of the start times of faults, in milliseconds. */
const FAULTS_FROM_MS = 1_500;
const FAULTS_TO_MS = 12_000;
/** Range of the durations of faults, in milliseconds. */
const FAULT_MIN_MS = 300;
const FAULT_MAX_MS = 4_000;
/** Number of faults in a simulation. */
const FAULT_COUNT = 5;

/** Creates random overlapping faults of all kinds except lowered limits. */
export function createRandomFaults(seed: number): QuotaFault[] {
  const random = createSeededRandom(seed);
  const pick = (min: number, max: number): number =>
    min + random() * (max - min);
  return Array.from({ length: FAULT_COUNT }, (): QuotaFault => {
    const at = pick(FAULTS_FROM_MS, FAULTS_TO_MS);
    const forMs = pick(FAULT_MIN_MS, FAULT_MAX_MS);
    const share = pick(0.1, 0.7);
    const kinds = Object.values(QuotaFaultKind);
    const kind = pickAny(kinds, random) ?? QuotaFaultKind.MassKill;
    switch (kind) {
      case QuotaFaultKind.LowerLimit:
      case QuotaFaultKind.MassKill:
        return {
          kind: QuotaFaultKind.MassKill,
          at,
          share,
          downMs: forMs,
        };
      case QuotaFaultKind.SequentialKills:
        return { kind, at, count: 6, gapMs: 400, downMs: forMs };
      case QuotaFaultKind.HubKill:
      case QuotaFaultKind.HubFreeze:
        return { kind, at, downMs: forMs };
      case QuotaFaultKind.Freeze:
      case QuotaFaultKind.Partition:
        return { kind, at, share, forMs };
      case QuotaFaultKind.Delay:
        return { kind, at, forMs, delayMs: pick(20, 900) };
      case QuotaFaultKind.Join:
        return { kind, at, perDomain: 1 };
      case QuotaFaultKind.UnresponsiveLinks:
        return { kind, at, share };
    }
  });
}

function pickAny<T>(values: readonly T[], random: Random): T | undefined {
  return values[Math.floor(random() * values.length)];
}

function pickSome(
  vms: readonly VirtualVm[],
  count: number,
  random: Random,
): VirtualVm[] {
  const remaining = [...vms];
  return Array.from(
    { length: Math.min(count, remaining.length) },
    () =>
      remaining.splice(
        Math.floor(random() * remaining.length),
        1,
      )[0] as VirtualVm,
  );
}

function applyFault(world: World, fault: QuotaFault, random: Random): void {
  const pickShare = (share: number): VirtualVm[] =>
    pickSome(world.vms, Math.round(share * world.vms.length), random);
  switch (fault.kind) {
    case QuotaFaultKind.MassKill:
      return killVms(world, pickShare(fault.share), fault.downMs);
    case QuotaFaultKind.HubKill:
      return killVms(world, listHubs(world, fault.domain), fault.downMs);
    case QuotaFaultKind.SequentialKills: {
      const { count, gapMs, downMs } = fault;
      pickSome(world.vms, count, random).forEach(({ name }, index) => {
        world.time.startTimer(index * gapMs, () => {
          const vm = world.vms.find((known) => known.name === name);
          if (vm !== undefined) killVms(world, [vm], downMs);
        });
      });
      return;
    }
    case QuotaFaultKind.Freeze:
      return pauseVms(world, pickShare(fault.share), fault.forMs);
    case QuotaFaultKind.HubFreeze:
      return pauseVms(world, listHubs(world, fault.domain), fault.downMs);
    case QuotaFaultKind.Partition:
      return isolateVms(world, pickShare(fault.share), fault.forMs);
    case QuotaFaultKind.Delay:
      world.network.extraLatencyMs = fault.delayMs;
      world.time.startTimer(fault.forMs, () => {
        world.network.extraLatencyMs = 0;
      });
      return;
    case QuotaFaultKind.Join:
      for (const domain of DOMAINS) {
        for (let index = 0; index < fault.perDomain; index += 1) {
          world.startVm(
            `${domain}${FIRST_JOINED_NUMBER + world.vms.length + index}`,
          );
        }
      }
      return;
    case QuotaFaultKind.UnresponsiveLinks:
      for (const vm of pickShare(fault.share)) vm.transport.setUnresponsive();
      return;
    case QuotaFaultKind.LowerLimit: {
      const { ratePerSecond, burst } = world.team;
      world.team = {
        ...world.team,
        ratePerSecond: ratePerSecond * fault.factor,
        burst: burst * fault.factor,
      };
    }
  }
}

function listHubs(world: World, domain?: number): VirtualVm[] {
  const hubs = world.listHubs();
  if (domain === undefined) return hubs;
  return hubs.filter(({ fleet }) =>
    fleet.self.failureDomain === DOMAINS[domain % DOMAINS.length]
  );
}

function killVms(
  world: World,
  vms: readonly VirtualVm[],
  downMs: number,
): void {
  for (const vm of vms) {
    world.killVm(vm);
    world.time.startTimer(downMs, () => void world.startVm(vm.name));
  }
}

function pauseVms(
  world: World,
  vms: readonly VirtualVm[],
  forMs: number,
): void {
  for (const { clock } of vms) {
    clock.setPaused();
    world.time.startTimer(forMs, () => clock.setRunning());
  }
}

function isolateVms(
  world: World,
  vms: readonly VirtualVm[],
  forMs: number,
): void {
  const pairs = vms.flatMap((vm) =>
    world.vms.filter((other) => other !== vm)
      .flatMap((other) => [[vm.name, other.name], [other.name, vm.name]])
  );
  for (const [from = "", to = ""] of pairs) world.network.isolate(from, to);
  world.time.startTimer(forMs, () => {
    for (const [from = "", to = ""] of pairs) world.network.restore(from, to);
  });
}
