import assert from "node:assert/strict";
import { test } from "node:test";
import { getKnownRed } from "./known_red.ts";
import {
  countWorstWindow,
  getWindowLimit,
  QuotaFaultKind,
  runQuotaPlay,
} from "./quota_scenario.ts";
import type { QuotaFault, QuotaPlay } from "./quota_scenario.ts";

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
