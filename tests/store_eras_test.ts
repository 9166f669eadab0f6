import assert from "node:assert/strict";
import { test } from "node:test";
import { getEra, ServerPhase } from "../src/model/mod.ts";
import { createWorld } from "./feed_world.ts";
import type { VirtualVm, World } from "./feed_world.ts";

/** Time in which servers that are alive write again after a restore. */
const REWRITE_MS = 1_900;
/** Exceeds the grace period, and the time until all VMs know its end. */
const GRACE_MS = 4_000;
/** Time in which all VMs learn of a change. */
const SPREAD_MS = 2_000;
const STEP_MS = 20;

function listActive(vm: VirtualVm): string[] {
  return [...vm.configuration.state.servers.values()]
    .filter(({ phase }) => phase === ServerPhase.Active)
    .map(({ id }) => id).toSorted();
}

function checkActive(world: World, expected: readonly string[]): void {
  for (const vm of world.vms) {
    assert.deepEqual(listActive(vm), expected, vm.name);
  }
}

/** Advances time and checks the selectable servers of all VMs throughout. */
async function advanceChecked(
  world: World,
  ms: number,
  expected: readonly string[],
): Promise<void> {
  const end = world.time.now + ms;
  while (world.time.now < end) {
    await world.time.advance(STEP_MS);
    checkActive(world, expected);
  }
}

function checkFresh(world: World): void {
  for (const vm of world.vms) assert.ok(vm.freshness.isFresh(), vm.name);
}

async function createWorldWithServers(ids: readonly string[]): Promise<World> {
  const world = await createWorld();
  for (const id of ids) world.announceServer(id, ServerPhase.Active);
  await world.time.advance(SPREAD_MS);
  checkActive(world, ids);
  return world;
}

// Guards against an outage of a service after a restore: servers that were
// listed after the copy was made are not in it.
test("servers that the copy lacks are used until they have written again", async () => {
  const world = await createWorldWithServers(["s1"]);
  const copy = world.createCopy();
  for (const id of ["s2", "s3"]) world.announceServer(id, ServerPhase.Active);
  await world.time.advance(SPREAD_MS);
  world.restoreCopy(copy);
  await advanceChecked(world, REWRITE_MS, ["s1", "s2", "s3"]);
  for (const id of ["s1", "s2", "s3"]) {
    world.announceServer(id, ServerPhase.Active);
  }
  await advanceChecked(world, 2 * GRACE_MS, ["s1", "s2", "s3"]);
});

test("a server that the copy lacks and that is gone is removed after the grace period", async () => {
  const world = await createWorldWithServers(["s1"]);
  const copy = world.createCopy();
  world.announceServer("s2", ServerPhase.Active);
  await world.time.advance(SPREAD_MS);
  world.restoreCopy(copy);
  await world.time.advance(GRACE_MS);
  checkActive(world, ["s1"]);
});

test("a server that left between copy and restore stays left", async () => {
  const world = await createWorldWithServers(["s1", "s2", "s3"]);
  const copy = world.createCopy();
  world.announceServer("s2", ServerPhase.Draining);
  world.announceServer("s3", ServerPhase.Draining);
  await world.time.advance(SPREAD_MS);
  world.announceServer("s3", undefined);
  await world.time.advance(SPREAD_MS);
  world.restoreCopy(copy);
  await advanceChecked(world, GRACE_MS, ["s1"]);
});

test("a VM that starts after the restore does not learn of a server that left", async () => {
  const world = await createWorldWithServers(["s1", "s2"]);
  const copy = world.createCopy();
  world.announceServer("s2", undefined);
  await world.time.advance(SPREAD_MS);
  world.restoreCopy(copy);
  await world.time.advance(SPREAD_MS);
  const started = world.startVm("a9");
  await world.time.advance(SPREAD_MS);
  assert.deepEqual(listActive(started), ["s1"]);
  for (const hub of world.listHubs()) world.killVm(hub);
  await advanceChecked(world, GRACE_MS, ["s1"]);
});

// Guards against positions of different eras that are compared as offsets.
test("an offset that holds another record after the restore is read again", async () => {
  const world = await createWorldWithServers(["s1"]);
  const copy = world.createCopy();
  world.announceServer("s2", ServerPhase.Active);
  await world.time.advance(SPREAD_MS);
  world.restoreCopy(copy);
  world.announceServer("s4", ServerPhase.Active);
  await world.time.advance(GRACE_MS);
  checkActive(world, ["s1", "s4"]);
  checkFresh(world);
});

test("a configuration that the copy lacks stays in force and is confirmed", async () => {
  const world = await createWorld();
  const copy = world.createCopy();
  world.publish(2);
  await world.time.advance(SPREAD_MS);
  world.restoreCopy(copy);
  for (let ms = 0; ms < 2 * GRACE_MS; ms += STEP_MS) {
    await world.time.advance(STEP_MS);
    checkFresh(world);
    for (const vm of world.vms) assert.equal(vm.configuration.offset, 2);
  }
});

// Guards against a withdrawn key that works again: after the restore, a new hub
// finds only the configuration before the withdrawal in the store.
test("a hub that knows only the older configuration gets the newer one", async () => {
  const world = await createWorld();
  const copy = world.createCopy();
  world.publish(2);
  await world.time.advance(SPREAD_MS);
  const [hub] = world.listHubs();
  assert.ok(hub);
  world.killVm(hub);
  world.restoreCopy(copy);
  await world.time.advance(SPREAD_MS);
  const restarted = world.startVm(hub.name);
  await world.time.advance(2 * GRACE_MS);
  assert.equal(restarted.configuration.offset, 2);
  checkFresh(world);
});

test("a domain that never read the newest configuration gets it from another", async () => {
  const world = await createWorld();
  const copy = world.createCopy();
  const cutOff = world.vms.filter(({ name }) => name.startsWith("c"));
  for (const { name } of cutOff) world.documents.rejectedClients.add(name);
  await world.time.advance(STEP_MS);
  world.publish(2);
  await world.time.advance(100);
  world.restoreCopy(copy);
  for (const { name } of cutOff) world.documents.rejectedClients.delete(name);
  await world.time.advance(GRACE_MS + SPREAD_MS);
  for (const vm of world.vms) assert.equal(vm.configuration.offset, 2, vm.name);
  checkFresh(world);
});

test("two eras in a row lose no server that is alive", async () => {
  const world = await createWorldWithServers(["s1"]);
  const copy = world.createCopy();
  world.announceServer("s2", ServerPhase.Active);
  await world.time.advance(SPREAD_MS);
  world.restoreCopy(copy);
  await advanceChecked(world, REWRITE_MS, ["s1", "s2"]);
  world.restoreCopy(copy);
  await advanceChecked(world, REWRITE_MS, ["s1", "s2"]);
  world.announceServer("s2", ServerPhase.Active);
  await advanceChecked(world, 2 * GRACE_MS, ["s1", "s2"]);
  checkFresh(world);
});

test("a VM that was cut off during the restore learns what is different", async () => {
  const world = await createWorldWithServers(["s1", "s2"]);
  const copy = world.createCopy();
  const followers = world.vms.filter(({ name }) => name.startsWith("a"));
  const cutOff = followers.find((vm) => !world.listHubs().includes(vm));
  assert.ok(cutOff);
  const others = world.vms.filter((vm) => vm !== cutOff)
    .map(({ name }) => name);
  for (const topic of [world.documents, world.servers, world.directory]) {
    topic.hangingClients.add(cutOff.name);
  }
  for (const other of others) {
    world.network.isolate(cutOff.name, other);
    world.network.isolate(other, cutOff.name);
  }
  world.announceServer("s2", undefined);
  world.publish(2);
  await world.time.advance(SPREAD_MS);
  world.restoreCopy(copy);
  await world.time.advance(SPREAD_MS);
  for (const topic of [world.documents, world.servers, world.directory]) {
    topic.hangingClients.delete(cutOff.name);
  }
  for (const other of others) {
    world.network.restore(cutOff.name, other);
    world.network.restore(other, cutOff.name);
  }
  await world.time.advance(GRACE_MS + SPREAD_MS);
  checkActive(world, ["s1"]);
  for (const vm of world.vms) assert.equal(vm.configuration.offset, 2, vm.name);
  checkFresh(world);
});

test("a follower whose hub is still in the earlier era goes back nowhere", async () => {
  const world = await createWorldWithServers(["s1"]);
  const hubs = world.listHubs();
  const copy = world.createCopy();
  world.announceServer("s2", ServerPhase.Active);
  await world.time.advance(SPREAD_MS);
  for (const { name } of hubs) world.servers.hangingClients.add(name);
  world.restoreCopy(copy);
  world.announceServer("s2", ServerPhase.Draining);
  world.announceServer("s3", ServerPhase.Active);
  await world.time.advance(GRACE_MS);
  const followers = world.vms.filter((vm) => !hubs.includes(vm));
  for (const vm of followers) {
    assert.deepEqual(listActive(vm), ["s1", "s3"], vm.name);
    assert.equal(getEra(vm.registry.offset), 1, vm.name);
  }
  for (const { name } of hubs) world.servers.hangingClients.delete(name);
  await world.time.advance(GRACE_MS);
  checkActive(world, ["s1", "s3"]);
});

test("lost entries of VMs are written again once", async () => {
  const world = await createWorld(3);
  const copy = world.createCopy();
  world.startVm("a8");
  world.startVm("a9");
  const [gone] = world.vms;
  assert.ok(gone);
  await world.time.advance(2 * SPREAD_MS);
  world.restoreCopy(copy);
  const before = world.directory.updates.length;
  await world.time.advance(2 * GRACE_MS);
  const names = world.directory.updates.slice(before)
    .map((update) => "vm" in update ? update.vm.name : "");
  assert.deepEqual(names.toSorted(), ["a8", "a9"]);
});

test("a VM that withdrew after the copy was made is withdrawn again", async () => {
  const world = await createWorld();
  const copy = world.createCopy();
  const leaving = world.vms.find((vm) => !world.listHubs().includes(vm));
  assert.ok(leaving);
  void leaving.fleet.withdraw();
  await world.time.advance(STEP_MS);
  world.killVm(leaving);
  await world.time.advance(SPREAD_MS);
  world.restoreCopy(copy);
  await world.time.advance(GRACE_MS);
  for (const vm of world.listHubs()) {
    assert.equal(vm.fleet.countAnnounced(), world.vms.length, vm.name);
  }
  assert.equal(world.directory.updates.length, copy.directory + 1);
});

// Guards against a fleet that exceeds the store's limit of reads.
test("after an outage and a restore, few VMs read all records", async () => {
  const world = await createWorld(90);
  world.announceServer("s1", ServerPhase.Active);
  await world.time.advance(SPREAD_MS);
  const topics = [world.documents, world.servers, world.directory];
  const copy = world.createCopy();
  for (const topic of topics) topic.isDown = true;
  await world.time.advance(3 * SPREAD_MS);
  for (const topic of topics) topic.isDown = false;
  world.restoreCopy(copy);
  const restoredAt = world.time.now;
  await world.time.advance(GRACE_MS);
  const reads = topics.flatMap(({ newestReads }) => newestReads)
    .filter((at) => at >= restoredAt);
  assert.ok(reads.length <= 15, `${reads.length} reads of all records`);
  checkFresh(world);
});

test("each VM logs a new era once, with its last positions", async () => {
  const world = await createWorld();
  const hubs = world.listHubs();
  world.restoreCopy(world.createCopy());
  await world.time.advance(GRACE_MS);
  const lines = world.logLines.filter(({ message }) =>
    message.startsWith("the store has a new era")
  );
  assert.deepEqual(
    lines.map(({ vm }) => vm).toSorted(),
    hubs.map(({ name }) => name).toSorted(),
  );
});
