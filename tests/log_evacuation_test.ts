import assert from "node:assert/strict";
import { after, before, test } from "node:test";
import { startFleet } from "../scripts/demo_fleet.ts";
import type { Fleet } from "../scripts/demo_fleet.ts";
import { waitUntil } from "../scripts/processes.ts";
import { RecordKind, SnapshotScopeKind } from "../src/model/mod.ts";
import { ServiceName } from "../src/services/catalog.ts";
import { listBasicChanges } from "./harness.ts";
import { VirtualFleet } from "./virtual_fleet.ts";

/** Time in which an evacuation must take effect, in milliseconds. */
const EVACUATION_MS = 5_000;
const START_LIMIT_MS = 15_000;
const DOMAIN = "domain-1";

async function startVirtualFleet(retention?: number): Promise<VirtualFleet> {
  const fleet = new VirtualFleet({
    size: 3,
    ...(retention !== undefined && { retention }),
  });
  for (const change of listBasicChanges({ servers: [1] })) {
    fleet.publish(change);
  }
  await fleet.start();
  return fleet;
}

/** Whether no VM selects a server of the service; throws if VMs differ. */
function isEvacuated(fleet: VirtualFleet): boolean {
  const views = new Set(fleet.names.map((name) => {
    const selection = fleet.find(name, ServiceName.Selection);
    assert.equal(
      selection.hasOnlyEvacuated("rota"),
      fleet.find(name, ServiceName.Evacuation).isEvacuated(DOMAIN),
    );
    return selection.hasOnlyEvacuated("rota");
  }));
  assert.equal(views.size, 1);
  return views.has(true);
}

test("an evacuation by the log is in force on all VMs until it is restored", async () => {
  const fleet = await startVirtualFleet();
  assert.equal(isEvacuated(fleet), false);
  const domain = DOMAIN;
  const base = fleet.publish({ kind: RecordKind.DomainEvacuate, domain });
  await fleet.time.advance(EVACUATION_MS);
  assert.equal(isEvacuated(fleet), true);
  await fleet.kill("vm-01");
  await fleet.startVm("vm-01");
  await fleet.time.advance(EVACUATION_MS);
  assert.equal(isEvacuated(fleet), true);
  fleet.publish({ kind: RecordKind.DomainRestore, domain }, base);
  await fleet.time.advance(EVACUATION_MS);
  assert.equal(isEvacuated(fleet), false);
});

test("a domain that is not evacuated can't be restored", async () => {
  const fleet = await startVirtualFleet();
  await fleet.time.advance(EVACUATION_MS);
  const { counts } = fleet.find("vm-01", ServiceName.Configuration);
  const { skipped } = counts;
  fleet.publish({ kind: RecordKind.DomainRestore, domain: "domain-2" });
  await fleet.time.advance(EVACUATION_MS);
  assert.equal(counts.skipped, skipped + 1);
  assert.equal(counts.malformed, 0);
});

test("a snapshot contains the evacuations", async () => {
  const fleet = await startVirtualFleet(400);
  fleet.publish({ kind: RecordKind.DomainEvacuate, domain: DOMAIN });
  await fleet.time.advance(EVACUATION_MS);
  const snapshots = fleet.find("vm-01", ServiceName.Snapshots);
  const writing = Promise.all([
    snapshots.writeSnapshot({ kind: SnapshotScopeKind.Fleet }),
    snapshots.writeSnapshot({ kind: SnapshotScopeKind.Cell, cell: "cell-1" }),
  ]);
  await fleet.time.advance(1_000);
  assert.deepEqual(await writing, [true, true]);
  for (let count = 0; count < 350; count += 1) fleet.log.append("filler");
  for (const name of [...fleet.names]) await fleet.kill(name);
  await fleet.startVm("vm-01");
  await fleet.time.advance(EVACUATION_MS);
  assert.equal(isEvacuated(fleet), true);
});

let fleet: Fleet;

before(async () => {
  fleet = await startFleet({ daemons: 1, servers: 1 });
  await waitUntil(
    async () => (await fleet.runCtl("status")).code === 0,
    START_LIMIT_MS,
  );
});

after(() => fleet.group.stop(EVACUATION_MS));

async function runCtl(...args: string[]): Promise<string> {
  const { code, stdout, stderr } = await fleet.runCtl(...args);
  assert.equal(code, 0, stderr);
  return stdout;
}

test("rhubarbctl evacuates a domain, restores it, and status shows it", async () => {
  const status = ["status", "--output", "json"];
  assert.match(await runCtl(...status), /"evacuated": ?\[\]/);
  await runCtl("evacuate", DOMAIN, "--wait");
  assert.match(await runCtl(...status), /"evacuated": ?\[\s*"domain-1"\s*\]/);
  assert.match(await runCtl("dump"), /domain-1/);
  const { code } = await fleet.runCtl("restore", "domain-2");
  assert.notEqual(code, 0);
  await runCtl("restore", DOMAIN, "--wait");
  assert.match(await runCtl(...status), /"evacuated": ?\[\]/);
});
