import assert from "node:assert/strict";
import { test } from "node:test";
import { FleetMessageKind } from "../src/services/fleet/mod.ts";
import { createWorld, DOMAINS } from "./feed_world.ts";
import type { VirtualVm, World } from "./feed_world.ts";

/** Time in which an evacuation must take effect on a connected VM. */
const EVACUATION_MS = 5_000;
/** Additional time where the store is unstable. */
const UNSTABLE_MS = 5_000;
/** Time in which all VMs learn of a change without faults. */
const SPREAD_MS = 1_000;
const STEP_MS = 50;

function checkEvacuated(world: World, expected: readonly string[]): void {
  for (const vm of world.vms) {
    assert.deepEqual(
      vm.evacuations.listDomains().toSorted(),
      expected,
      vm.name,
    );
  }
}

async function advanceChecked(
  world: World,
  ms: number,
  expected: readonly string[],
): Promise<void> {
  const end = world.time.now + ms;
  while (world.time.now < end) {
    await world.time.advance(STEP_MS);
    checkEvacuated(world, expected);
  }
}

function setCutOff(world: World, vm: VirtualVm, isCutOff: boolean): void {
  for (const topic of [world.documents, world.servers, world.directory]) {
    if (isCutOff) topic.hangingClients.add(vm.name);
    else topic.hangingClients.delete(vm.name);
  }
  for (const { name } of world.vms) {
    if (name === vm.name) continue;
    for (const [from, to] of [[vm.name, name], [name, vm.name]] as const) {
      if (isCutOff) world.network.isolate(from, to);
      else world.network.restore(from, to);
    }
  }
}

function findFollower(world: World): VirtualVm {
  const hubs = world.listHubs();
  const follower = world.vms.find((vm) => !hubs.includes(vm));
  if (follower === undefined) throw new Error("there is no follower");
  return follower;
}

test("an evacuation is known on all VMs at once, and so is its end", async () => {
  const world = await createWorld();
  world.publishEvacuation("b");
  await world.time.advance(SPREAD_MS);
  checkEvacuated(world, ["b"]);
  world.publishEvacuation("b", false);
  await world.time.advance(SPREAD_MS);
  checkEvacuated(world, []);
});

test("an evacuation that is taken back at once does not stay in effect", async () => {
  const world = await createWorld();
  world.publishEvacuation("b");
  world.publishEvacuation("b", false);
  await world.time.advance(SPREAD_MS);
  checkEvacuated(world, []);
  world.publishEvacuation("b", false);
  world.publishEvacuation("b");
  await world.time.advance(SPREAD_MS);
  checkEvacuated(world, ["b"]);
});

test("all domains but one, and all of them, may be evacuated", async () => {
  const world = await createWorld();
  for (const domain of DOMAINS.slice(1)) world.publishEvacuation(domain);
  await world.time.advance(SPREAD_MS);
  checkEvacuated(world, ["b", "c"]);
  world.publishEvacuation("a");
  await world.time.advance(SPREAD_MS);
  checkEvacuated(world, DOMAINS);
  for (const vm of world.vms) assert.ok(vm.freshness.isFresh(), vm.name);
});

test("the newest records replace the set after the history was dropped", async () => {
  const world = await createWorld();
  world.publishEvacuation("b");
  await world.time.advance(SPREAD_MS);
  world.documents.pauseUpdates();
  world.publishEvacuation("b", false);
  world.publishEvacuation("c");
  world.documents.releaseUpdates();
  await world.time.advance(SPREAD_MS);
  checkEvacuated(world, ["c"]);
});

test("a VM that was cut off learns of the evacuation when it is back", async () => {
  const world = await createWorld();
  const vm = findFollower(world);
  setCutOff(world, vm, true);
  world.publishEvacuation("a");
  await world.time.advance(EVACUATION_MS);
  assert.equal(vm.freshness.isFresh(), false);
  setCutOff(world, vm, false);
  await world.time.advance(EVACUATION_MS);
  checkEvacuated(world, ["a"]);
});

// Guards against a VM that serves teams by a set that is older than what its
// hub's confirmation stands for.
test("a frozen VM serves no team again before it knows the evacuation", async () => {
  const world = await createWorld();
  const vm = findFollower(world);
  vm.clock.setPaused();
  await world.time.advance(SPREAD_MS);
  world.publishEvacuation("a");
  await world.time.advance(2 * EVACUATION_MS);
  vm.clock.setRunning();
  for (let ms = 0; ms < EVACUATION_MS; ms += STEP_MS) {
    const isUnsafe = vm.freshness.isFresh() && !vm.evacuations.isEvacuated("a");
    assert.equal(isUnsafe, false);
    await world.time.advance(STEP_MS);
  }
  checkEvacuated(world, ["a"]);
});

test("a confirmation of the hub counts only with the hub's set", async () => {
  const world = await createWorld();
  const vm = findFollower(world);
  vm.fleet.setHandler(FleetMessageKind.Evacuations, () => {});
  world.publishEvacuation("a");
  await world.time.advance(EVACUATION_MS);
  // Without confirmations from its hub, it has read the store itself.
  assert.ok(vm.evacuations.isEvacuated("a"));
  assert.ok(vm.freshness.isFresh());
});

test("a VM that restarts knows the evacuation before it has a configuration", async () => {
  const world = await createWorld();
  world.publishEvacuation("a");
  await world.time.advance(SPREAD_MS);
  const { name } = findFollower(world);
  const earlier = world.vms.find((vm) => vm.name === name);
  assert.ok(earlier);
  world.killVm(earlier);
  await world.time.advance(SPREAD_MS);
  const vm = world.startVm(name);
  for (let ms = 0; ms < EVACUATION_MS; ms += STEP_MS) {
    await world.time.advance(STEP_MS);
    const hasRoutes = vm.configuration.offset > 0;
    assert.ok(!hasRoutes || vm.evacuations.isEvacuated("a"));
  }
  checkEvacuated(world, ["a"]);
});

test("an evacuation stays in effect when the hubs die, and with the store down", async () => {
  const world = await createWorld();
  world.publishEvacuation("a");
  await world.time.advance(SPREAD_MS);
  world.documents.isDown = true;
  for (const hub of world.listHubs()) world.killVm(hub);
  await advanceChecked(world, 2 * EVACUATION_MS, ["a"]);
  world.documents.isDown = false;
  await advanceChecked(world, EVACUATION_MS, ["a"]);
});

test("the evacuation of the hub's own domain reaches it when the hub dies", async () => {
  const world = await createWorld();
  const hub = world.listHubs().find(({ name }) => name.startsWith("a"));
  assert.ok(hub);
  world.killVm(hub);
  world.publishEvacuation("a");
  await world.time.advance(EVACUATION_MS);
  checkEvacuated(world, ["a"]);
});

test("an evacuation is kept in a new era until the operator writes it again", async () => {
  const world = await createWorld();
  const copy = world.createCopy();
  world.publishEvacuation("a");
  await world.time.advance(SPREAD_MS);
  world.restoreCopy(copy);
  await advanceChecked(world, 3 * SPREAD_MS, ["a"]);
  world.publishEvacuation("a");
  await advanceChecked(world, 2 * EVACUATION_MS, ["a"]);
});

test("a hub that starts in a new era learns of an evacuation that the copy lacks", async () => {
  const world = await createWorld();
  const copy = world.createCopy();
  world.publishEvacuation("a");
  await world.time.advance(SPREAD_MS);
  const hub = world.listHubs().find(({ name }) => name.startsWith("b"));
  assert.ok(hub);
  world.killVm(hub);
  world.restoreCopy(copy);
  const restarted = world.startVm(hub.name);
  await world.time.advance(3 * SPREAD_MS);
  assert.ok(restarted.evacuations.isEvacuated("a"));
});

test("an evacuation that nobody writes again ends after the grace period", async () => {
  const world = await createWorld();
  const copy = world.createCopy();
  world.publishEvacuation("a");
  await world.time.advance(SPREAD_MS);
  world.restoreCopy(copy);
  await world.time.advance(UNSTABLE_MS + 2 * SPREAD_MS);
  checkEvacuated(world, []);
});

test("the store goes down right after an evacuation", async () => {
  const world = await createWorld();
  world.publishEvacuation("c");
  await world.time.advance(STEP_MS);
  for (const topic of [world.documents, world.servers, world.directory]) {
    topic.isDown = true;
  }
  await world.time.advance(EVACUATION_MS);
  checkEvacuated(world, ["c"]);
});
