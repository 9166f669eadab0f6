import assert from "node:assert/strict";
import { after, before, test } from "node:test";
import { sendToVm } from "../scripts/platform_calls.ts";
import { startPlatformFleet } from "../scripts/platform_fleet.ts";
import type { PlatformFleet } from "../scripts/platform_fleet.ts";
import { waitUntil } from "../scripts/processes.ts";

const START_LIMIT_MS = 15_000;
/** Time in which an evacuation must take effect, in milliseconds. */
const EVACUATION_MS = 5_000;
const KEY = "k-evacuation-1";
/** Failure domain of all servers of the fleet. */
const EVACUATION = ["keyed.op", "evacuate/domain-1"] as const;

let fleet: PlatformFleet;

async function listStatuses(): Promise<Set<number>> {
  const responses = await Promise.all(
    fleet.vms.map((vm) => sendToVm(vm, { path: "/look/1", key: KEY })),
  );
  return new Set(responses.map(({ status }) => status));
}

async function waitForStatus(status: number, limitMs: number): Promise<void> {
  await waitUntil(async () => {
    const statuses = await listStatuses();
    return statuses.size === 1 && statuses.has(status);
  }, limitMs);
}

before(async () => {
  fleet = await startPlatformFleet({ vms: [2, 1], servers: 2 });
  fleet.publish([{ name: "judges", keys: [KEY] }]);
  await waitForStatus(200, START_LIMIT_MS);
});

after(() => fleet.stop());

test("no request reaches an evacuated domain until the record is removed", async () => {
  fleet.store.put(...EVACUATION, {});
  await waitForStatus(503, EVACUATION_MS);
  const countRuns = (): number =>
    fleet.servers.reduce((sum, { runCount }) => sum + runCount, 0);
  const before = countRuns();
  const [vm] = fleet.vms;
  assert.ok(vm);
  const response = await sendToVm(vm, { path: "/look/1", key: KEY });
  assert.equal(response.status, 503);
  assert.ok(response.headers["retry-after"]);
  assert.equal(countRuns(), before);
  fleet.store.remove(...EVACUATION);
  await waitForStatus(200, EVACUATION_MS);
});

// Guards against an outage or an evacuation that ends when the store is
// restored from a copy without the configuration and the evacuation.
test("a restored store interrupts nothing and ends no evacuation", async () => {
  const restored = fleet.restoreStore(60_000, 1_000);
  const startedAt = performance.now();
  while (performance.now() - startedAt < 3_000) {
    assert.deepEqual([...await listStatuses()], [200]);
  }
  await restored;
  fleet.store.put(...EVACUATION, {});
  await waitForStatus(503, EVACUATION_MS);
  const again = fleet.restoreStore(2_000, 500);
  const restoredAt = performance.now();
  while (performance.now() - restoredAt < 3_000) {
    assert.deepEqual([...await listStatuses()], [503]);
    if (performance.now() - restoredAt < 1_500) continue;
    fleet.store.put(...EVACUATION, {});
  }
  await again;
});
