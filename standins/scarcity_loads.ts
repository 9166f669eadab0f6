/** Loads for which the scarcity of a service is simulated. */

/** A kind of request; its callers value responses as the users do. */
export interface ScarcityKindSpec {
  readonly name: string;
  readonly priority: number;
  /** Share of the requests, relative to the other kinds. */
  readonly weight: number;
  readonly workMs: number;
  readonly targetMs: number;
  readonly timeoutMs: number;
  readonly value: number;
  readonly lateValue: number;
}

/** A load and the faults that occur during it; times are in milliseconds. */
export interface ScarcityLoad {
  readonly name: string;
  readonly kinds: readonly ScarcityKindSpec[];
  /** Arriving work as a multiple of the capacity of all slots at full speed. */
  readonly getDemand: (now: number, domain: number) => number;
  /** Speed of the servers, 1 is full speed. */
  readonly getSpeed?: (now: number) => number;
  /** Share of the servers that are lost at some time. */
  readonly lost?: { readonly share: number; readonly at: number };
  /** Share of the requests that need `factor` times their work. */
  readonly long?: { readonly share: number; readonly factor: number };
  /** Load of the first team, relative to each other team. */
  readonly hotTeamFactor?: number;
  /** Number of times that refused callers repeat at once. */
  readonly repeats?: number;
  /** Time until VMs know of each other's requests. */
  readonly viewMs?: number;
  /** Times between which the VMs of the first domain have no view. */
  readonly hubLost?: { readonly from: number; readonly to: number };
  /** Number of VMs that never have a view. */
  readonly blindVms?: number;
}

const URGENT: ScarcityKindSpec = {
  name: "urgent",
  priority: 0,
  weight: 1,
  workMs: 300,
  targetMs: 1_000,
  timeoutMs: 6_000,
  value: 4,
  lateValue: 0.6,
};
const NORMAL: ScarcityKindSpec = {
  name: "normal",
  priority: 1,
  weight: 1,
  workMs: 400,
  targetMs: 1_500,
  timeoutMs: 8_000,
  value: 2,
  lateValue: 0.6,
};
const BULK: ScarcityKindSpec = {
  name: "bulk",
  priority: 2,
  weight: 2,
  workMs: 600,
  targetMs: 3_000,
  timeoutMs: 10_000,
  value: 1,
  lateValue: 0.4,
};
const KINDS = [URGENT, NORMAL, BULK];
const WAVE_MS = 12_000;

/** Returns a demand that is `high` between two times and `low` otherwise. */
function createStep(
  low: number,
  high: number,
  from: number,
  to: number,
): ScarcityLoad["getDemand"] {
  return (now) => now >= from && now < to ? high : low;
}

function createWave(mean: number, swing: number): ScarcityLoad["getDemand"] {
  return (now, domain) =>
    mean *
    (1 + swing * Math.sin(2 * Math.PI * (now / WAVE_MS + domain / 3)));
}

/** Half of the capacity that is needed, for ten seconds. */
export const HALF_CAPACITY: ScarcityLoad = {
  name: "capacity for half of the demand",
  kinds: KINDS,
  getDemand: createStep(0.7, 2, 3_000, 13_000),
};

/** The loads on which docs/WORK.md asks for results. */
export const SCARCITY_LOADS: readonly ScarcityLoad[] = [
  HALF_CAPACITY,
  {
    name: "a hot team inside its quota",
    kinds: [NORMAL],
    getDemand: createStep(0.7, 1.4, 3_000, 13_000),
    hotTeamFactor: 6,
  },
  {
    name: "a burst of 1.7 in one domain",
    kinds: KINDS,
    getDemand: (now, domain) =>
      0.95 * (domain === 0 && now >= 3_000 && now < 8_000 ? 1.7 : 1),
  },
  {
    name: "a third of the servers lost",
    kinds: KINDS,
    getDemand: () => 0.9,
    lost: { share: 1 / 3, at: 4_000 },
  },
  {
    name: "seven times the work for one in thirty",
    kinds: KINDS,
    getDemand: () => 1,
    long: { share: 1 / 30, factor: 7 },
  },
  {
    name: "servers of half speed",
    kinds: KINDS,
    getDemand: () => 0.7,
    getSpeed: (now) => now >= 3_000 && now < 12_000 ? 0.5 : 1,
  },
  {
    name: "waves out of phase",
    kinds: KINDS,
    getDemand: createWave(1.1, 0.5),
  },
  {
    name: "callers that repeat at once",
    kinds: KINDS,
    getDemand: createStep(0.7, 1.6, 3_000, 11_000),
    repeats: 3,
  },
  {
    name: "views 1 s old",
    kinds: KINDS,
    getDemand: createStep(0.7, 1.6, 3_000, 11_000),
    viewMs: 1_000,
  },
  {
    name: "hub lost at the peak",
    kinds: KINDS,
    getDemand: createStep(0.7, 1.6, 3_000, 11_000),
    hubLost: { from: 6_000, to: 7_400 },
  },
  {
    name: "one VM without a view",
    kinds: KINDS,
    getDemand: createStep(0.7, 1.6, 3_000, 11_000),
    blindVms: 1,
  },
];
