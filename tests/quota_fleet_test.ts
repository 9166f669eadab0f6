import assert from "node:assert/strict";
import process from "node:process";
import { test } from "node:test";
import { getKnownRed } from "./known_red.ts";
import {
  countWorstWindow,
  createRandomFaults,
  getWindowLimit,
  QuotaFaultKind,
  runQuotaPlay,
  WINDOW_MS,
} from "./quota_scenario.ts";
import { parseSeeds } from "./seeds.ts";
import type { QuotaFault, QuotaOutcome, QuotaPlay } from "./quota_scenario.ts";

const RATE = 66;
const BURST = 66;
const VMS = 30;
const HOT_FACTOR = 5;
const LENGTH_MS = 14_000;
/** When the team becomes hot; the bucket is full until then. */
const HOT_AT_MS = 1_000;

function createHotPlay(seed: number, faults: readonly QuotaFault[]): QuotaPlay {
  return {
    vms: VMS,
    ratePerSecond: RATE,
    burst: BURST,
    lengthMs: LENGTH_MS,
    seed,
    getRate: (ms) => ms < HOT_AT_MS ? 0.6 * RATE : HOT_FACTOR * RATE,
    faults,
  };
}

async function listExceeded(
  createFaults: (seed: number) => readonly QuotaFault[],
): Promise<string[]> {
  const limit = getWindowLimit(RATE, BURST);
  const exceeded: string[] = [];
  for (const seed of [1, 2, 3]) {
    const { worstWindow } = await runQuotaPlay(
      createHotPlay(seed, createFaults(seed)),
    );
    if (worstWindow > limit) {
      exceeded.push(`seed ${seed}: ${worstWindow} of ${limit}`);
    }
  }
  return exceeded;
}

function addHotTest(name: string, faults: readonly QuotaFault[]): void {
  test(name, getKnownRed(name), async () => {
    assert.deepEqual(await listExceeded(() => faults), []);
  });
}

// Guards against VMs that begin again with tokens that were spent before.
addHotTest("hot team: many VMs are killed at once and start again", [
  { kind: QuotaFaultKind.HerdKill, at: 3_000, share: 0.7, downMs: 600 },
]);

// Guards against counts that die with a VM, or with a hub.
addHotTest("hot team: VMs are killed one after the other", [
  {
    kind: QuotaFaultKind.KillsInTurn,
    at: 3_000,
    count: 8,
    gapMs: 500,
    downMs: 700,
  },
]);

// Guards against sums that a new hub begins with.
addHotTest("hot team: all hubs are killed at once", [
  { kind: QuotaFaultKind.HubKill, at: 3_000, downMs: 600 },
]);

// Guards against tokens that a VM still has when it goes on.
addHotTest("hot team: hubs stand still and go on", [
  { kind: QuotaFaultKind.HubFreeze, at: 3_000, downMs: 3_000 },
]);

// Guards against a bound that holds only while reports are on time.
addHotTest("hot team: what VMs tell each other comes late", [
  { kind: QuotaFaultKind.Late, at: 500, forMs: 8_000, lateMs: 800 },
]);

// Guards against VMs that count themselves alone while they are cut off.
addHotTest("hot team: VMs are cut off from each other", [
  { kind: QuotaFaultKind.Cut, at: 3_000, share: 0.4, forMs: 4_000 },
]);

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

// Guards against tokens that were saved up under a limit that has fallen.
test("hot team: its limits fall while hubs die", async () => {
  const fallsAt = 6_000;
  const part = 0.3;
  for (const seed of [1, 2, 3]) {
    const { admittedAt } = await runQuotaPlay(createHotPlay(seed, [
      { kind: QuotaFaultKind.HubKill, at: fallsAt - 500, downMs: 600 },
      { kind: QuotaFaultKind.LowerLimit, at: fallsAt, part },
    ]));
    const worst = countWorstWindow(admittedAt.filter((at) => at >= fallsAt));
    const most = getWindowLimit(part * RATE, part * BURST);
    assert.ok(worst <= most, `seed ${seed}: ${worst} of ${most}`);
  }
});

/** Share of the requests within a team's rate that may be refused. */
const REFUSED_MAX = 0.005;
const WARM_UP_MS = 2_000;

interface Load {
  readonly vms: number;
  /** Rate and burst of the team, each in requests and a second. */
  readonly limit: number;
  readonly seconds: number;
  readonly seed: number;
  readonly getRate: (ms: number) => number;
  readonly pickVm?: QuotaPlay["pickVm"];
  readonly faults?: readonly QuotaFault[];
}

function runLoad(load: Load): Promise<QuotaOutcome> {
  const { vms, limit, seconds, seed, getRate, pickVm, faults = [] } = load;
  return runQuotaPlay({
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

async function checkWindow(load: Load): Promise<void> {
  const { worstWindow } = await runLoad(load);
  const most = getWindowLimit(load.limit, load.limit);
  assert.ok(worstWindow <= most, `${worstWindow} of ${most}`);
}

async function checkRefused(load: Load): Promise<void> {
  const { asked, refused } = await runLoad(load);
  assert.ok(refused <= REFUSED_MAX * asked, `${refused} of ${asked}`);
}

for (const seed of [1, 2, 3]) {
  test(`hot team: five times the rate from all VMs stays in its limits (seed ${seed})`, async () => {
    await checkWindow({
      vms: 32,
      limit: 46,
      seconds: 30,
      seed,
      getRate: (ms) => ms < 8_000 ? 29 : 230,
    });
  });

  test(`sudden team: every VM is asked at once after a pause (seed ${seed})`, async () => {
    for (const vms of [4, 32]) {
      await checkWindow({
        vms,
        limit: 20,
        seconds: 12,
        seed,
        getRate: (ms) => ms < 2_000 ? 0 : 320,
      });
    }
  });

  test(`restart: all VMs start again while a team is hot (seed ${seed})`, async () => {
    await checkWindow({
      vms: 36,
      limit: 63,
      seconds: 20,
      seed,
      getRate: () => 400,
      faults: [{
        kind: QuotaFaultKind.HerdKill,
        at: 13_000,
        share: 1,
        downMs: 10,
      }],
    });
  });

  // Guards against tokens that a new hub begins with.
  test(`rolling replacement: hubs change while a team is hot (seed ${seed})`, async () => {
    await checkWindow({
      vms: 33,
      limit: 66,
      seconds: 30,
      seed,
      getRate: () => 300,
      faults: Array.from({ length: 14 }, (_fault, domain) => ({
        kind: QuotaFaultKind.HubFreeze,
        at: 2_000 * (1 + domain),
        downMs: 1_500,
        domain,
      })),
    });
  });

  test(`skewed callers: one VM gets nearly the whole rate (seed ${seed})`, async () => {
    await checkRefused({
      vms: 32,
      limit: 46,
      seconds: 30,
      seed,
      getRate: () => 0.95 * 46,
      pickVm: (vms) => vms[7],
    });
  });

  test(`even callers: a team within its rate is hardly refused (seed ${seed})`, async () => {
    await checkRefused({
      vms: 32,
      limit: 46,
      seconds: 30,
      seed,
      getRate: () => 0.8 * 46,
    });
  });
}

for (const vms of [18, 112]) {
  for (const seed of [1, 2, 3]) {
    test(`small team: ${vms} VMs are asked one after the other (seed ${seed})`, async () => {
      await checkWindow({
        vms,
        limit: 10,
        seconds: 30,
        seed,
        getRate: (ms) => ms < 5_000 ? 0 : 80,
      });
    });
  }
}
