import assert from "node:assert/strict";
import process from "node:process";
import { test } from "node:test";
import {
  createRandomFaults,
  getWindowLimit,
  runQuotaPlay,
  WINDOW_MS,
} from "./quota_scenario.ts";
import { parseSeeds } from "./seeds.ts";

/** Seeds of random faults; `QUOTA_SEEDS=1-120` plays others. */
const SEEDS = parseSeeds(process.env["QUOTA_SEEDS"] ?? "1,7,37,55,91,97");
/**
 * What all VMs together may admit beyond rate and burst in any window, in time
 * of the rate: tokens and statuses on their way, 400 ms each (docs/PLATFORM.md).
 */
const BEYOND_MS = 800;
/** Time between the ends of two bursts of the seeds with odd numbers. */
const BURST_MS = 2_500;

/** Steady calls beyond the rate, or bursts that find a full bucket. */
function createRate(seed: number, rate: number): (ms: number) => number {
  if (seed % 2 === 0) return (ms) => ms < 2_000 ? 0.6 * rate : 5 * rate;
  const isQuiet = (ms: number): boolean =>
    ms < 3_000 || Math.floor(ms / BURST_MS) % 3 === 0;
  return (ms) => isQuiet(ms) ? 0.3 * rate : 6 * rate;
}

// Guards against a bound that holds for single faults alone.
test("hot team: five faults of all kinds that overlap", async () => {
  const rate = 60;
  const most = rate * (WINDOW_MS + BEYOND_MS) / 1_000 + rate;
  assert.ok(most <= getWindowLimit(rate, rate));
  const exceeded: string[] = [];
  for (const seed of SEEDS) {
    const { worstWindow } = await runQuotaPlay({
      vms: 15,
      ratePerSecond: rate,
      burst: rate,
      lengthMs: 18_000,
      seed,
      getRate: createRate(seed, rate),
      faults: createRandomFaults(seed),
    });
    if (worstWindow > most) exceeded.push(`seed ${seed}: ${worstWindow}`);
  }
  assert.deepEqual(exceeded, []);
});
