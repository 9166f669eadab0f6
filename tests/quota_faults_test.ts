import assert from "node:assert/strict";
import { test } from "node:test";
import { getKnownRedOptions } from "./known_red.ts";
import {
  countWorstWindow,
  getWindowLimit,
  QuotaFaultKind,
  runQuotaScenario,
} from "./quota_scenario.ts";
import type { QuotaFault, QuotaScenario } from "./quota_scenario.ts";

const RATE = 66;
const BURST = 66;
const VMS = 30;
const HOT_FACTOR = 5;
const LENGTH_MS = 14_000;
/** Time at which the team exceeds its rate; the bucket is full until then. */
const HOT_AT_MS = 1_000;

function createHotScenario(
  seed: number,
  faults: readonly QuotaFault[],
): QuotaScenario {
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
    const { worstWindow } = await runQuotaScenario(
      createHotScenario(seed, createFaults(seed)),
    );
    if (worstWindow > limit) {
      exceeded.push(`seed ${seed}: ${worstWindow} of ${limit}`);
    }
  }
  return exceeded;
}

function addHotTest(name: string, faults: readonly QuotaFault[]): void {
  test(name, getKnownRedOptions(name), async () => {
    assert.deepEqual(await listExceeded(() => faults), []);
  });
}

// Guards against VMs that restart with tokens that were already spent.
addHotTest("hot team: many VMs are killed at once and restart", [
  { kind: QuotaFaultKind.MassKill, at: 3_000, share: 0.7, downMs: 600 },
]);

// Guards against counts that are lost with a VM or a hub.
addHotTest("hot team: VMs are killed one after the other", [
  {
    kind: QuotaFaultKind.SequentialKills,
    at: 3_000,
    count: 8,
    gapMs: 500,
    downMs: 700,
  },
]);

// Guards against a new hub that starts with wrong totals.
addHotTest("hot team: all hubs are killed at once", [
  { kind: QuotaFaultKind.HubKill, at: 3_000, downMs: 600 },
]);

// Guards against a VM that resumes and spends tokens it no longer owns.
addHotTest("hot team: hubs freeze and resume", [
  { kind: QuotaFaultKind.HubFreeze, at: 3_000, downMs: 3_000 },
]);

// Guards against a limit that is enforced only while reports arrive in time.
addHotTest("hot team: messages between VMs are delayed", [
  { kind: QuotaFaultKind.Delay, at: 500, forMs: 8_000, delayMs: 800 },
]);

// Guards against partitioned VMs that count only themselves.
addHotTest("hot team: VMs are partitioned from each other", [
  { kind: QuotaFaultKind.Partition, at: 3_000, share: 0.4, forMs: 4_000 },
]);

// Guards against tokens that were saved up before a limit was lowered.
test("hot team: its limits are lowered while hubs are killed", async () => {
  const loweredAt = 6_000;
  const factor = 0.3;
  for (const seed of [1, 2, 3]) {
    const { admittedAt } = await runQuotaScenario(createHotScenario(seed, [
      { kind: QuotaFaultKind.HubKill, at: loweredAt - 500, downMs: 600 },
      { kind: QuotaFaultKind.LowerLimit, at: loweredAt, factor },
    ]));
    const worst = countWorstWindow(admittedAt.filter((at) => at >= loweredAt));
    const most = getWindowLimit(factor * RATE, factor * BURST);
    assert.ok(worst <= most, `seed ${seed}: ${worst} of ${most}`);
  }
});
