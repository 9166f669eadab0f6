/** Requests of one team at VMs that fail, in virtual time, by a seed. */
import { LimitKind } from "../src/services/quota/team_limiter.ts";
import { createSeededRandom } from "../src/services/random/mod.ts";
import type { Random } from "../src/services/random/mod.ts";
import { createWorld, DOMAINS, ORDINARY, SETTLE_MS } from "./feed_world.ts";
import type { VirtualVm, World } from "./feed_world.ts";

/** Window of the users' contract, and its tolerance: a tenth, and twenty. */
export const WINDOW_MS = 5_000;
const OVERSHOOT = 0.1;
const SLACK = 20;
/** Time between two looks at what has come. */
const STEP_MS = 10;
const MS_PER_SECOND = 1_000;
/** Number in the names of VMs that join; no other VM has such a one. */
const FIRST_JOINED = 100;

/** Kinds of {@linkcode QuotaFault}. */
export enum QuotaFaultKind {
  /** Some VMs are killed at once and start again. */
  HerdKill = "herd_kill",
  /** VMs are killed one after the other and start again. */
  KillsInTurn = "kills_in_turn",
  /** Hubs are killed and start again. */
  HubKill = "hub_kill",
  /** Some VMs stand still and go on. */
  Freeze = "freeze",
  /** Hubs stand still and go on. */
  HubFreeze = "hub_freeze",
  /** Some VMs are cut off from all others, which they do not notice. */
  Cut = "cut",
  /** What VMs tell each other comes late. */
  Late = "late",
  /** New VMs join. */
  Join = "join",
  /** Open connections of some VMs go silent; new ones work. */
  SilentLinks = "silent_links",
  /** The team's rate and burst fall to a part. */
  LowerLimit = "lower_limit",
}

/** Something that befalls VMs; times are in milliseconds. */
export type QuotaFault =
  | {
    readonly kind: QuotaFaultKind.HerdKill;
    readonly at: number;
    readonly share: number;
    readonly downMs: number;
  }
  | {
    readonly kind: QuotaFaultKind.KillsInTurn;
    readonly at: number;
    readonly count: number;
    readonly gapMs: number;
    readonly downMs: number;
  }
  | {
    readonly kind: QuotaFaultKind.HubKill | QuotaFaultKind.HubFreeze;
    readonly at: number;
    readonly downMs: number;
    /** Index of the domain whose hub it is; all of them if left out. */
    readonly domain?: number;
  }
  | {
    readonly kind: QuotaFaultKind.Freeze | QuotaFaultKind.Cut;
    readonly at: number;
    readonly share: number;
    readonly forMs: number;
  }
  | {
    readonly kind: QuotaFaultKind.Late;
    readonly at: number;
    readonly forMs: number;
    readonly lateMs: number;
  }
  | {
    readonly kind: QuotaFaultKind.Join;
    readonly at: number;
    readonly perDomain: number;
  }
  | {
    readonly kind: QuotaFaultKind.SilentLinks;
    readonly at: number;
    readonly share: number;
  }
  | {
    readonly kind: QuotaFaultKind.LowerLimit;
    readonly at: number;
    /** Part of the limits that stays, 0 to 1. */
    readonly part: number;
  };

/** What is played; times count from when the fleet has settled. */
export interface QuotaPlay {
  readonly vms: number;
  readonly ratePerSecond: number;
  readonly burst: number;
  readonly lengthMs: number;
  /**
   * Time until all VMs know of callers that are new; not counted as refused.
   * @default 0
   */
  readonly warmUpMs?: number;
  readonly seed: number;
  /** Requests a second of all callers together. */
  readonly getRate: (ms: number) => number;
  /**
   * Picks the VM that a request goes to among those that live.
   * @default any of them
   */
  readonly pickVm?: (
    vms: readonly VirtualVm[],
    random: Random,
  ) => VirtualVm | undefined;
  readonly faults: readonly QuotaFault[];
}

/** What callers saw. */
export interface QuotaOutcome {
  readonly asked: number;
  readonly refused: number;
  /** Most requests that were admitted in any window. */
  readonly worstWindow: number;
  /** When requests were admitted, in milliseconds since the play began. */
  readonly admittedAt: readonly number[];
}

/** Gets the most requests that the users' contract allows in one window. */
export function getWindowLimit(ratePerSecond: number, burst: number): number {
  const base = ratePerSecond * WINDOW_MS / MS_PER_SECOND + burst;
  return base * (1 + OVERSHOOT) + SLACK;
}

/** Counts the most of `times` that lie in any window; they are in order. */
export function countWorstWindow(times: readonly number[]): number {
  let worst = 0;
  let first = 0;
  times.forEach((time, index) => {
    while ((times[first] ?? 0) <= time - WINDOW_MS) first += 1;
    worst = Math.max(worst, index - first + 1);
  });
  return worst;
}

/** Plays requests and faults, and counts what was admitted. */
export async function runQuotaPlay(play: QuotaPlay): Promise<QuotaOutcome> {
  const world = await createWorld(play.vms);
  world.team = {
    ...world.team,
    ratePerSecond: play.ratePerSecond,
    burst: play.burst,
  };
  const random = createSeededRandom(play.seed);
  await world.time.advance(SETTLE_MS);
  const startedAt = world.time.now;
  const admittedAt: number[] = [];
  let asked = 0;
  let refused = 0;
  for (const fault of play.faults) {
    world.time.startTimer(fault.at, () => applyFault(world, fault, random));
  }
  while (world.time.now - startedAt < play.lengthMs) {
    const expected = play.getRate(world.time.now - startedAt) * STEP_MS /
      MS_PER_SECOND;
    const count = Math.floor(expected + random());
    for (let index = 0; index < count; index += 1) {
      // A VM admits nobody before it knows the configuration.
      const vms = world.vms.filter(({ freshness }) => freshness.isFresh());
      const vm = play.pickVm?.(vms, random) ?? pickAny(vms, random);
      if (vm === undefined) continue;
      const isWarm = world.time.now - startedAt >= (play.warmUpMs ?? 0);
      if (isWarm) asked += 1;
      // A VM that stands still serves what has come when it goes on.
      vm.clock.runAwake(() => {
        if (vm.stop.signal.aborted) return;
        void vm.limiter.take(world.team, ORDINARY).then((decision) => {
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
  return { asked, refused, worstWindow, admittedAt };
}

/** Times between which faults begin, and how long they last. */
const FAULTS_FROM_MS = 1_500;
const FAULTS_TO_MS = 12_000;
const FAULT_MIN_MS = 300;
const FAULT_MAX_MS = 4_000;
const FAULTS = 5;

/** Draws faults of all kinds but lower limits; they overlap. */
export function createRandomFaults(seed: number): QuotaFault[] {
  const random = createSeededRandom(seed);
  const pick = (least: number, most: number): number =>
    least + random() * (most - least);
  return Array.from({ length: FAULTS }, (): QuotaFault => {
    const at = pick(FAULTS_FROM_MS, FAULTS_TO_MS);
    const forMs = pick(FAULT_MIN_MS, FAULT_MAX_MS);
    const share = pick(0.1, 0.7);
    const kinds = Object.values(QuotaFaultKind);
    const kind = pickAny(kinds, random) ?? QuotaFaultKind.HerdKill;
    switch (kind) {
      case QuotaFaultKind.LowerLimit:
      case QuotaFaultKind.HerdKill:
        return {
          kind: QuotaFaultKind.HerdKill,
          at,
          share,
          downMs: forMs,
        };
      case QuotaFaultKind.KillsInTurn:
        return { kind, at, count: 6, gapMs: 400, downMs: forMs };
      case QuotaFaultKind.HubKill:
      case QuotaFaultKind.HubFreeze:
        return { kind, at, downMs: forMs };
      case QuotaFaultKind.Freeze:
      case QuotaFaultKind.Cut:
        return { kind, at, share, forMs };
      case QuotaFaultKind.Late:
        return { kind, at, forMs, lateMs: pick(20, 900) };
      case QuotaFaultKind.Join:
        return { kind, at, perDomain: 1 };
      case QuotaFaultKind.SilentLinks:
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
  const left = [...vms];
  return Array.from(
    { length: Math.min(count, left.length) },
    () => left.splice(Math.floor(random() * left.length), 1)[0] as VirtualVm,
  );
}

function applyFault(world: World, fault: QuotaFault, random: Random): void {
  const pickShare = (share: number): VirtualVm[] =>
    pickSome(world.vms, Math.round(share * world.vms.length), random);
  switch (fault.kind) {
    case QuotaFaultKind.HerdKill:
      return killVms(world, pickShare(fault.share), fault.downMs);
    case QuotaFaultKind.HubKill:
      return killVms(world, listHubs(world, fault.domain), fault.downMs);
    case QuotaFaultKind.KillsInTurn: {
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
      return holdVms(world, pickShare(fault.share), fault.forMs);
    case QuotaFaultKind.HubFreeze:
      return holdVms(world, listHubs(world, fault.domain), fault.downMs);
    case QuotaFaultKind.Cut:
      return cutVms(world, pickShare(fault.share), fault.forMs);
    case QuotaFaultKind.Late:
      world.network.lateMs = fault.lateMs;
      world.time.startTimer(fault.forMs, () => {
        world.network.lateMs = 0;
      });
      return;
    case QuotaFaultKind.Join:
      for (const domain of DOMAINS) {
        for (let index = 0; index < fault.perDomain; index += 1) {
          world.startVm(`${domain}${FIRST_JOINED + world.vms.length + index}`);
        }
      }
      return;
    case QuotaFaultKind.SilentLinks:
      for (const vm of pickShare(fault.share)) vm.transport.setSilent();
      return;
    case QuotaFaultKind.LowerLimit: {
      const { ratePerSecond, burst } = world.team;
      world.team = {
        ...world.team,
        ratePerSecond: ratePerSecond * fault.part,
        burst: burst * fault.part,
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

function holdVms(
  world: World,
  vms: readonly VirtualVm[],
  forMs: number,
): void {
  for (const { clock } of vms) {
    clock.setPaused();
    world.time.startTimer(forMs, () => clock.setAwake());
  }
}

function cutVms(
  world: World,
  vms: readonly VirtualVm[],
  forMs: number,
): void {
  const pairs = vms.flatMap((vm) =>
    world.vms.filter((other) => other !== vm)
      .flatMap((other) => [[vm.name, other.name], [other.name, vm.name]])
  );
  for (const [from = "", to = ""] of pairs) world.network.cut(from, to);
  world.time.startTimer(forMs, () => {
    for (const [from = "", to = ""] of pairs) world.network.restore(from, to);
  });
}
