import assert from "node:assert/strict";
import { test } from "node:test";
import { RecordKind } from "../src/model/mod.ts";
import { ServiceName } from "../src/services/catalog.ts";
import { createSeededRandom } from "../src/services/random/mod.ts";
import { GrantKind } from "../src/services/shares/mod.ts";
import { LogMode } from "../standins/log_standin.ts";
import { VirtualFleet } from "./virtual_fleet.ts";

const RATE_PER_SECOND = 40;
const BURST = 80;
const MS_PER_SECOND = 1_000;
const REQUESTS_SEED = 11;

async function startFleet(seed = 1): Promise<VirtualFleet> {
  const fleet = new VirtualFleet({ size: 5, seed });
  fleet.publish({
    kind: RecordKind.TeamSet,
    team: {
      id: "judges",
      cell: "cell-1",
      ratePerSecond: RATE_PER_SECOND,
      burst: BURST,
    },
  });
  await fleet.start();
  await fleet.time.advance(10_000);
  return fleet;
}

/**
 * Sends requests at random times; records when they were granted or refused.
 */
function startRequests(
  fleet: VirtualFleet,
  perSecond: number,
  pickVm: () => string | undefined,
  seed = REQUESTS_SEED,
): { readonly granted: number[]; readonly refused: number[] } {
  const results = { granted: [] as number[], refused: [] as number[] };
  const random = createSeededRandom(seed);
  const sendNext = (): void => {
    const vm = pickVm();
    if (vm !== undefined && fleet.vms.has(vm)) {
      void acquireOne(fleet, vm, results);
    }
    const gapMs = -Math.log(1 - random()) * MS_PER_SECOND / perSecond;
    fleet.time.startTimer(gapMs, sendNext);
  };
  sendNext();
  return results;
}

async function acquireOne(
  fleet: VirtualFleet,
  vm: string,
  results: { granted: number[]; refused: number[] },
): Promise<void> {
  const { state } = fleet.find(vm, ServiceName.Configuration);
  const team = state.teams.get("judges");
  if (team === undefined) return;
  const grant = await fleet.find(vm, ServiceName.Shares)
    .acquire(team, state.getPreset());
  const isGranted = grant.kind === GrantKind.Granted;
  (isGranted ? results.granted : results.refused).push(fleet.time.now);
}

/**
 * Throws if any window has more requests than rate times duration plus burst.
 */
function checkWindows(times: readonly number[]): void {
  let tokens = BURST;
  let last = times[0] ?? 0;
  for (const at of times.toSorted((left, right) => left - right)) {
    const filled = tokens + (at - last) * RATE_PER_SECOND / MS_PER_SECOND;
    tokens = Math.min(BURST, filled) - 1;
    last = at;
    assert.ok(tokens >= -1e-6, `over the limit by ${-tokens} at ${at} ms`);
  }
}

/**
 * Counts the requests that a single bucket for the whole fleet would refuse.
 */
function countIdealRefusals(times: readonly number[]): number {
  let tokens = BURST;
  let last = times[0] ?? 0;
  let refused = 0;
  for (const at of times.toSorted((left, right) => left - right)) {
    const filled = tokens + (at - last) * RATE_PER_SECOND / MS_PER_SECOND;
    tokens = Math.min(BURST, filled);
    last = at;
    if (tokens >= 1) tokens -= 1;
    else refused += 1;
  }
  return refused;
}

test("a team at five times its rate gets its rate and burst, but no more", async () => {
  const fleet = await startFleet();
  const random = createSeededRandom(3);
  const results = startRequests(
    fleet,
    5 * RATE_PER_SECOND,
    () => fleet.names[Math.floor(random() * fleet.names.length)],
  );
  await fleet.time.advance(20_000);
  checkWindows(results.granted);
  const fair = BURST + 20 * RATE_PER_SECOND;
  assert.ok(results.granted.length >= 0.9 * fair);
});

for (const seed of [REQUESTS_SEED, 12, 13]) {
  test(`callers of a single VM get nearly the whole rate (seed ${seed})`, async () => {
    const fleet = await startFleet();
    const load = 0.9 * RATE_PER_SECOND;
    const results = startRequests(fleet, load, () => "vm-03", seed);
    await fleet.time.advance(30_000);
    checkWindows(results.granted);
    const all = [...results.granted, ...results.refused];
    const wrongful = results.refused.length - countIdealRefusals(all);
    assert.ok(wrongful / all.length < 0.005, `${wrongful} of ${all.length}`);
  });
}

for (const seed of [1, 2, 3]) {
  test(`no fault lets a team exceed its limits (seed ${seed})`, async () => {
    const fleet = await startFleet(seed);
    const random = createSeededRandom(seed);
    const results = startRequests(
      fleet,
      5 * RATE_PER_SECOND,
      () => fleet.names[Math.floor(random() * fleet.names.length)],
    );
    await fleet.time.advance(2_000);
    await fleet.kill("vm-01");
    fleet.getVm("vm-02").clock.setPaused();
    for (const name of fleet.names) {
      if (name !== "vm-03") fleet.network.isolate("vm-03", name);
    }
    fleet.getVm("vm-03").log.isPartitioned = true;
    await fleet.time.advance(8_000);
    fleet.getVm("vm-02").clock.setRunning();
    fleet.log.mode = LogMode.LoseResponses;
    await fleet.startVm("vm-01");
    await fleet.time.advance(8_000);
    fleet.log.mode = LogMode.Down;
    await fleet.stopVm("vm-04");
    await fleet.startVm("vm-04");
    await fleet.time.advance(5_000);
    fleet.log.mode = LogMode.Up;
    await fleet.time.advance(20_000);
    checkWindows(results.granted);
    assert.ok(results.granted.length > 0);
  });
}
