import assert from "node:assert/strict";
import { test } from "node:test";
import { ServerPhase } from "../src/model/mod.ts";
import { createWorld } from "./feed_world.ts";
import type { StoreCopy, VirtualVm, World } from "./feed_world.ts";

/** Time in which all VMs learn of a change. */
const SPREAD_MS = 2_000;
/** Time for which the store is unavailable during a restore. */
const AWAY_MS = 1_000;
/** Time from the kill of a process to its next start. */
const RESTART_MS = 300;
/** Time in which operators and servers write again what a restore has lost. */
const REWRITE_MS = 2_000;
/** Time in which VMs that were killed must serve again. */
const RECOVERY_MS = 15_000;
const STEP_MS = 20;

/**
 * Publishes version 2 and lets the server s2 leave; returns a copy of the store
 * that has neither.
 */
async function createWorldWithCopy(): Promise<[World, StoreCopy]> {
  const world = await createWorld();
  for (const id of ["s1", "s2"]) world.announceServer(id, ServerPhase.Active);
  await world.time.advance(SPREAD_MS);
  const copy = world.createCopy();
  world.publish(2);
  world.announceServer("s2", ServerPhase.Draining);
  await world.time.advance(SPREAD_MS);
  world.announceServer("s2", undefined);
  await world.time.advance(SPREAD_MS);
  return [world, copy];
}

function setStoreDown(world: World, isDown: boolean): void {
  for (const topic of [world.documents, world.servers, world.directory]) {
    topic.isDown = isDown;
  }
}

/** Kills and restarts VMs while the store is unavailable, then restores it. */
async function restoreBesideRestart(
  world: World,
  copy: StoreCopy,
  killed: readonly VirtualVm[],
): Promise<void> {
  setStoreDown(world, true);
  for (const vm of killed) world.killVm(vm);
  await world.time.advance(RESTART_MS);
  for (const { name } of killed) world.startVm(name);
  await world.time.advance(AWAY_MS - RESTART_MS);
  world.restoreCopy(copy);
  setStoreDown(world, false);
}

function isActive(vm: VirtualVm, server: string): boolean {
  const { servers } = vm.configuration.state;
  return servers.get(server)?.phase === ServerPhase.Active;
}

/** Checks all VMs throughout `ms` for state from before the withdrawal. */
async function checkNothingReturns(world: World, ms: number): Promise<void> {
  const end = world.time.now + ms;
  while (world.time.now < end) {
    await world.time.advance(STEP_MS);
    for (const vm of world.vms) {
      const { name, configuration, freshness } = vm;
      const isServing = freshness.isFresh();
      if (isServing) assert.equal(configuration.offset, 2, name);
      assert.ok(!isActive(vm, "s2"), `${name} uses a server that left`);
    }
  }
}

function checkServing(world: World): void {
  for (const vm of world.vms) {
    assert.ok(vm.freshness.isFresh(), vm.name);
    assert.ok(isActive(vm, "s1"), vm.name);
  }
}

// Guards against a withdrawn key that runs after a restore: the store was
// restored from a copy, and a hub that restarted meanwhile confirmed it alone.
test("a hub that restarts during a restore uses nothing that was withdrawn", async () => {
  const [world, copy] = await createWorldWithCopy();
  const hubs = world.listHubs().filter(({ name }) => name.startsWith("a"));
  await restoreBesideRestart(world, copy, hubs);
  await checkNothingReturns(world, RECOVERY_MS);
  checkServing(world);
});

// Guards against a failure domain in which no VM knows what the copy lacks.
test("a domain that restarts during a restore gets its state from another", async () => {
  const [world, copy] = await createWorldWithCopy();
  const domain = world.vms.filter(({ name }) => name.startsWith("b"));
  await restoreBesideRestart(world, copy, domain);
  await checkNothingReturns(world, RECOVERY_MS);
  checkServing(world);
});

// Guards against a fleet that serves by the copy before operators and servers
// have written again, since no VM knows what the copy lacks.
test("a fleet that restarts during a restore waits until it is written again", async () => {
  const [world, copy] = await createWorldWithCopy();
  await restoreBesideRestart(world, copy, [...world.vms]);
  await checkNothingReturns(world, REWRITE_MS - STEP_MS);
  world.publish(2);
  world.announceServer("s1", ServerPhase.Active);
  world.announceServer("s2", undefined);
  await checkNothingReturns(world, RECOVERY_MS);
  checkServing(world);
});

// Guards against a VM that could not reach the store for so long that it missed
// a withdrawal, and confirms the older configuration when the store is back.
test("a domain that was cut off until the restore confirms nothing older", async () => {
  const [world, copy] = await createWorldWithCopy();
  const cutOff = world.vms.filter(({ name }) => name.startsWith("c"));
  const others = world.vms.filter((vm) => !cutOff.includes(vm));
  for (const { name } of cutOff) {
    for (const topic of [world.documents, world.servers, world.directory]) {
      topic.hangingClients.add(name);
    }
    for (const other of others) {
      world.network.isolate(name, other.name);
      world.network.isolate(other.name, name);
    }
  }
  const newerCopy = world.createCopy();
  world.publish(3);
  await world.time.advance(3 * SPREAD_MS);
  world.restoreCopy(newerCopy);
  for (const { name } of cutOff) {
    for (const topic of [world.documents, world.servers, world.directory]) {
      topic.hangingClients.delete(name);
    }
    for (const other of others) {
      world.network.restore(name, other.name);
      world.network.restore(other.name, name);
    }
  }
  const end = world.time.now + RECOVERY_MS;
  while (world.time.now < end) {
    await world.time.advance(STEP_MS);
    for (const { name, configuration, freshness } of world.vms) {
      if (!freshness.isFresh()) continue;
      assert.equal(configuration.offset, 3, name);
    }
  }
  checkServing(world);
  assert.ok(copy.documents < newerCopy.documents);
});

// Guards against a wait that grows with the number of VMs that don't respond.
test("a VM that is cut off from 60 others uses the restored store in time", async () => {
  const world = await createWorld(60);
  world.announceServer("s1", ServerPhase.Active);
  await world.time.advance(SPREAD_MS);
  const [hub] = world.listHubs();
  assert.ok(hub);
  for (const { name } of world.vms) {
    if (name === hub.name) continue;
    world.network.isolate(hub.name, name);
    world.network.isolate(name, hub.name);
  }
  await restoreBesideRestart(world, world.createCopy(), [hub]);
  await world.time.advance(2 * REWRITE_MS);
  const restarted = world.vms.find(({ name }) => name === hub.name);
  assert.ok(restarted);
  assert.ok(restarted.freshness.isFresh());
  assert.ok(isActive(restarted, "s1"));
});

// Guards against a VM that no other VM can help and that never serves again.
test("a VM without others uses the restored store after the rewrite time", async () => {
  const world = await createWorld(1);
  world.announceServer("s1", ServerPhase.Active);
  await world.time.advance(SPREAD_MS);
  await restoreBesideRestart(world, world.createCopy(), [...world.vms]);
  await world.time.advance(2 * REWRITE_MS);
  checkServing(world);
});
