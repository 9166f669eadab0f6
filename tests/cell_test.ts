import assert from "node:assert/strict";
import { test } from "node:test";
import { FRESHNESS_BOUND_MS, SHARDS_PER_CELL } from "../src/constants.ts";
import { KeyPhase, RecordKind, SnapshotScopeKind } from "../src/model/mod.ts";
import { computeKeyDigest } from "../src/services/admission/mod.ts";
import { ServiceName } from "../src/services/catalog.ts";
import { FreshnessKind } from "../src/services/freshness/mod.ts";
import { Reachability } from "../src/services/membership/mod.ts";
import { LogMode } from "../standins/log_standin.ts";
import { listBasicChanges, TEAM_KEY } from "./harness.ts";
import { VirtualFleet } from "./virtual_fleet.ts";
import type { VirtualFleetOptions } from "./virtual_fleet.ts";

const HOUR_MS = 3_600_000;
/**
 * Maximum time until a key withdrawal is in force on all VMs, in milliseconds:
 * the users' bound for their current fleet. The project aims at larger ones.
 */
const WITHDRAWAL_LIMIT_MS = 2_000;
/** Maximum time until all quota shards are owned again, in milliseconds. */
const SHARD_RECOVERY_LIMIT_MS = 30_000;
const KEY_DIGEST = computeKeyDigest(TEAM_KEY);

async function startFleet(
  options: Partial<VirtualFleetOptions> = {},
): Promise<VirtualFleet> {
  const fleet = new VirtualFleet({ size: 5, ...options });
  for (const change of listBasicChanges({ servers: [1] })) {
    fleet.publish(change);
  }
  await fleet.start();
  return fleet;
}

function withdrawKey(fleet: VirtualFleet): number {
  const name = fleet.names[0] ?? "";
  const { state } = fleet.find(name, ServiceName.Configuration);
  const base = state.keys.get(KEY_DIGEST)?.revision ?? 0;
  return fleet.publish(
    { kind: RecordKind.KeyWithdraw, digest: KEY_DIGEST },
    base,
  );
}

function isWithdrawnOn(fleet: VirtualFleet, name: string): boolean {
  const { state } = fleet.find(name, ServiceName.Configuration);
  return state.keys.get(KEY_DIGEST)?.phase === KeyPhase.Withdrawn;
}

/** Whether a VM currently admits requests with the team's key. */
function isServing(fleet: VirtualFleet, name: string): boolean {
  return fleet.find(name, ServiceName.Admission).checkKey(KEY_DIGEST) ===
    undefined;
}

function getFreshnessKind(fleet: VirtualFleet, name: string): FreshnessKind {
  return fleet.find(name, ServiceName.Freshness).getReport().kind;
}

test("a key withdrawal is in force on all 36 VMs within 2 s", async () => {
  const fleet = await startFleet({ size: 36 });
  withdrawKey(fleet);
  const elapsed = await fleet.time.advanceUntil(
    () => fleet.names.every((name) => isWithdrawnOn(fleet, name)),
    10_000,
  );
  assert.ok(elapsed <= WITHDRAWAL_LIMIT_MS);
  assert.deepEqual(fleet.failures, []);
});

test("the fleet stays fresh for hours while the log is down for all VMs", async () => {
  const fleet = await startFleet();
  fleet.log.mode = LogMode.Down;
  for (let step = 0; step < 72; step += 1) {
    await fleet.time.advance(2 * HOUR_MS / 72);
    for (const name of fleet.names) {
      assert.equal(
        getFreshnessKind(fleet, name),
        FreshnessKind.ConfirmedByShards,
      );
    }
  }
  assert.equal(fleet.countOwnedShards(), SHARDS_PER_CELL);
});

test("replacing all VMs while the log is down loses no quota shard or freshness", async () => {
  const fleet = await startFleet();
  fleet.log.mode = LogMode.Down;
  await fleet.advanceChecked(5_000);
  for (const name of fleet.names) {
    await fleet.stopVm(name);
    await fleet.startVm(name);
    await fleet.advanceChecked(10_000);
    assert.equal(fleet.countOwnedShards(), SHARDS_PER_CELL);
    assert.equal(fleet.isFresh(), true);
  }
  assert.ok(fleet.names.every((name) => isServing(fleet, name)));
});

test("a VM started while the log is down loads the configuration from peers", async () => {
  const fleet = await startFleet({ size: 3 });
  withdrawKey(fleet);
  await fleet.time.advance(2_000);
  fleet.log.mode = LogMode.Down;
  fleet.listedVms = [...fleet.listedVms, "vm-04"];
  await fleet.startVm("vm-04");
  assert.equal(getFreshnessKind(fleet, "vm-04"), FreshnessKind.Missing);
  await fleet.time.advance(5_000);
  assert.equal(
    getFreshnessKind(fleet, "vm-04"),
    FreshnessKind.ConfirmedByShards,
  );
  assert.equal(isWithdrawnOn(fleet, "vm-04"), true);
});

test("a partitioned VM stops serving in time and resumes after the partition", async () => {
  const fleet = await startFleet();
  fleet.isolate("vm-02", fleet.names);
  await fleet.time.advance(100);
  withdrawKey(fleet);
  await fleet.time.advance(FRESHNESS_BOUND_MS);
  assert.equal(isWithdrawnOn(fleet, "vm-02"), false);
  assert.equal(isServing(fleet, "vm-02"), false);
  assert.equal(isWithdrawnOn(fleet, "vm-01"), true);
  assert.equal(fleet.find("vm-01", ServiceName.Freshness).isFresh(), true);
  fleet.restore("vm-02", fleet.names);
  await fleet.advanceChecked(8_000);
  assert.equal(fleet.find("vm-02", ServiceName.Freshness).isFresh(), true);
  assert.equal(isWithdrawnOn(fleet, "vm-02"), true);
});

test("a partitioned minority stops serving while the majority continues", async () => {
  const fleet = await startFleet();
  const minority = ["vm-04", "vm-05"];
  for (const name of minority) {
    fleet.isolate(name, ["vm-01", "vm-02", "vm-03"]);
  }
  await fleet.advanceChecked(20_000);
  for (const name of minority) assert.equal(isServing(fleet, name), false);
  for (const name of ["vm-01", "vm-02", "vm-03"]) {
    assert.equal(isServing(fleet, name), true);
  }
});

test("a VM that cannot read the log receives its records from peers", async () => {
  const fleet = await startFleet();
  fleet.getVm("vm-03").log.isPartitioned = true;
  await fleet.time.advance(5_000);
  withdrawKey(fleet);
  const elapsed = await fleet.time.advanceUntil(
    () => isWithdrawnOn(fleet, "vm-03"),
    10_000,
  );
  assert.ok(elapsed <= FRESHNESS_BOUND_MS);
  assert.equal(
    getFreshnessKind(fleet, "vm-03"),
    FreshnessKind.ConfirmedByShards,
  );
});

test("both ends detect a one-way partition of their link", async () => {
  const fleet = await startFleet({ size: 3 });
  fleet.network.isolate("vm-01", "vm-02");
  await fleet.time.advance(4_500);
  const now = fleet.time.now;
  const getReachability = (
    name: string,
    peer: string,
  ): Reachability | undefined =>
    fleet.find(name, ServiceName.Membership).findPeer(peer)?.getReachability(
      now,
    );
  assert.equal(getReachability("vm-01", "vm-02"), Reachability.InboundOnly);
  assert.equal(getReachability("vm-02", "vm-01"), Reachability.Unresponsive);
  assert.equal(getReachability("vm-03", "vm-01"), Reachability.TwoWay);
});

test("the peers of a VM in a one-way partition still own quota shards", async () => {
  const fleet = await startFleet();
  for (const name of fleet.names) {
    if (name !== "vm-02") fleet.network.isolate(name, "vm-02");
  }
  await fleet.advanceChecked(30_000);
  const countOwned = (name: string): number =>
    fleet.find(name, ServiceName.QuotaShards).listOwned().length;
  for (const name of ["vm-01", "vm-03", "vm-04", "vm-05"]) {
    assert.ok(countOwned(name) > 0, `${name} has lost all quota shards`);
  }
});

test("the quota shards of a killed VM are owned again within 30 s", async () => {
  const fleet = await startFleet();
  await fleet.kill("vm-02");
  const elapsed = await fleet.time.advanceUntil(() => {
    fleet.checkShardOwners();
    return fleet.countOwnedShards() === SHARDS_PER_CELL;
  }, 60_000);
  assert.ok(elapsed <= SHARD_RECOVERY_LIMIT_MS, `took ${elapsed} ms`);
});

test("the shards of a killed failure domain are owned again within 30 s", async () => {
  const fleet = await startFleet({ size: 6 });
  await fleet.kill("vm-01");
  await fleet.kill("vm-04");
  const elapsed = await fleet.time.advanceUntil(() => {
    fleet.checkShardOwners();
    return fleet.countOwnedShards() === SHARDS_PER_CELL;
  }, 60_000);
  assert.ok(elapsed <= SHARD_RECOVERY_LIMIT_MS, `took ${elapsed} ms`);
});

test("a VM suspended beyond all leases revalidates before it uses its shards", async () => {
  const fleet = await startFleet();
  const ownedCount =
    fleet.find("vm-02", ServiceName.QuotaShards).listOwned().length;
  assert.ok(ownedCount > 0);
  fleet.getVm("vm-02").clock.setPaused();
  await fleet.time.advance(SHARD_RECOVERY_LIMIT_MS);
  assert.equal(getFreshnessKind(fleet, "vm-02"), FreshnessKind.Stale);
  fleet.getVm("vm-02").clock.setRunning();
  fleet.checkShardOwners();
  await fleet.advanceChecked(20_000);
  assert.equal(isServing(fleet, "vm-02"), true);
  assert.equal(fleet.countOwnedShards(), SHARDS_PER_CELL);
});

test("a confirmation from before a suspension expires during the suspension", async () => {
  const fleet = await startFleet();
  withdrawKey(fleet);
  fleet.getVm("vm-02").clock.setPaused();
  await fleet.time.advance(10_000);
  assert.equal(isServing(fleet, "vm-02"), false);
});

test("a replaced VM that resumes doesn't displace its newer incarnation", async () => {
  const fleet = await startFleet({ size: 3 });
  const old = fleet.getVm("vm-02");
  const before = old.kernel.find(ServiceName.Membership).self.incarnation;
  old.clock.setPaused();
  await fleet.startVm("vm-02");
  await fleet.time.advance(5_000);
  old.clock.setRunning();
  await fleet.time.advance(5_000);
  const peer = fleet.find("vm-01", ServiceName.Membership).findPeer("vm-02");
  assert.ok((peer?.incarnation ?? 0) > before);
});

test("a VM without state recovers from a snapshot and the entries after it", async () => {
  const fleet = await startFleet({ size: 2, retention: 400 });
  const snapshots = fleet.find("vm-01", ServiceName.Snapshots);
  const { cell } = fleet.find("vm-01", ServiceName.Configuration);
  const writing = Promise.all([
    snapshots.writeSnapshot({ kind: SnapshotScopeKind.Fleet }),
    snapshots.writeSnapshot({
      kind: SnapshotScopeKind.Cell,
      cell: cell ?? "",
    }),
  ]);
  await fleet.time.advance(1_000);
  assert.deepEqual(await writing, [true, true]);
  withdrawKey(fleet);
  for (let count = 0; count < 350; count += 1) fleet.log.append("filler");
  assert.ok(fleet.log.first > 1);
  await fleet.kill("vm-01");
  await fleet.kill("vm-02");
  await fleet.startVm("vm-01");
  await fleet.time.advance(3_000);
  assert.equal(isWithdrawnOn(fleet, "vm-01"), true);
  const { state, offset } = fleet.find("vm-01", ServiceName.Configuration);
  assert.equal(state.routes.size, 2);
  assert.ok(offset >= fleet.log.head - 5);
});

test("conflicting changes of two operators resolve the same on every VM", async () => {
  const fleet = await startFleet();
  const publishTeam = (rate: number): number =>
    fleet.publish({
      kind: RecordKind.TeamSet,
      team: { id: "racer", cell: "cell-1", ratePerSecond: rate, burst: 10 },
    });
  publishTeam(5);
  publishTeam(7);
  await fleet.time.advance(2_000);
  for (const name of fleet.names) {
    const { state, counts } = fleet.find(name, ServiceName.Configuration);
    assert.equal(state.teams.get("racer")?.ratePerSecond, 5);
    assert.equal(counts.conflict, 1);
  }
});

test("appends whose responses are lost take effect once", async () => {
  const fleet = new VirtualFleet({ size: 5 });
  fleet.log.mode = LogMode.LoseResponses;
  await fleet.start();
  await fleet.advanceChecked(10_000);
  assert.equal(fleet.countOwnedShards(), SHARDS_PER_CELL);
});
