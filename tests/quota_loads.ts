/** Loads of one team, checked against the users' contract. */
import assert from "node:assert/strict";
import { getWindowLimit, runQuotaScenario } from "./quota_scenario.ts";
import type {
  QuotaFault,
  QuotaOutcome,
  QuotaScenario,
} from "./quota_scenario.ts";

/**
 * Maximum share of requests within a team's rate that may be refused, 0 to 1.
 */
const REFUSED_MAX = 0.005;
/** Time in which requests and refusals are not counted, in milliseconds. */
const WARM_UP_MS = 2_000;

/** Load of a team, and the faults of VMs during it. */
export interface Load {
  /** Number of VMs. */
  readonly vms: number;
  /** Rate of the team in requests per second, and its burst in requests. */
  readonly limit: number;
  /** Duration in seconds. */
  readonly seconds: number;
  readonly seed: number;
  /** Returns the requests per second of all callers at a time in ms. */
  readonly getRate: (ms: number) => number;
  /** See {@linkcode QuotaScenario.pickVm}. */
  readonly pickVm?: QuotaScenario["pickVm"];
  readonly faults?: readonly QuotaFault[];
}

function runLoad(load: Load): Promise<QuotaOutcome> {
  const { vms, limit, seconds, seed, getRate, pickVm, faults = [] } = load;
  return runQuotaScenario({
    vms,
    ratePerSecond: limit,
    burst: limit,
    lengthMs: seconds * 1_000,
    warmUpMs: WARM_UP_MS,
    seed,
    getRate,
    ...(pickVm !== undefined && { pickVm }),
    faults,
  });
}

/** Checks that no window has more requests than the users' contract allows. */
export async function checkWindow(load: Load): Promise<void> {
  const { worstWindow } = await runLoad(load);
  const limit = getWindowLimit(load.limit, load.limit);
  assert.ok(worstWindow <= limit, `${worstWindow} of ${limit}`);
}

/** Checks that a team within its rate is rarely refused. */
export async function checkRefusals(load: Load): Promise<void> {
  const { requested, refused } = await runLoad(load);
  assert.ok(refused <= REFUSED_MAX * requested, `${refused} of ${requested}`);
}
