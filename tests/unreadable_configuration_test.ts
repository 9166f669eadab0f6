import assert from "node:assert/strict";
import { test } from "node:test";
import { createWorld } from "./feed_world.ts";
import type { World } from "./feed_world.ts";

/** Exceeds the freshness bound of the simulated VMs. */
const BOUND_MS = 4_000;
/** Time in which a readable configuration is confirmed on all VMs. */
const CONFIRM_MS = 2_000;

function listFresh(world: World): string[] {
  return world.vms.filter((vm) => vm.freshness.isFresh())
    .map(({ name }) => name);
}

// Guards against a withdrawn key that stays in use: the withdrawal was in a
// configuration that could not be read, and the next empty read confirmed the
// older one.
test("no later read confirms the configuration before an unreadable one", async () => {
  const world = await createWorld();
  world.publishUnreadable();
  await world.time.advance(BOUND_MS);
  assert.deepEqual(listFresh(world), []);
});

test("a VM that reads the newest records again does not confirm it either", async () => {
  const world = await createWorld();
  world.publishUnreadable();
  await world.time.advance(BOUND_MS);
  for (const hub of world.listHubs()) world.killVm(hub);
  await world.time.advance(BOUND_MS);
  world.documents.removeHistory();
  await world.time.advance(BOUND_MS);
  assert.deepEqual(listFresh(world), []);
});

test("a readable configuration after an unreadable one is confirmed", async () => {
  const world = await createWorld();
  world.publishUnreadable();
  await world.time.advance(BOUND_MS);
  world.publish(2);
  await world.time.advance(CONFIRM_MS);
  assert.equal(listFresh(world).length, world.vms.length);
});
