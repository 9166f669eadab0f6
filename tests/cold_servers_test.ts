import assert from "node:assert/strict";
import { test } from "node:test";
import { ServerPhase } from "../src/model/mod.ts";
import { getColdUntil } from "../src/services/feed/cold_servers.ts";
import { ServerUpdateKind } from "../src/services/feed/source.ts";
import { createServerEntry, createWorld, SETTLE_MS } from "./feed_world.ts";
import type { VirtualVm, World } from "./feed_world.ts";

const COLD_MS = 6_000;
/** Time in which all VMs must know of a change; see docs/PLATFORM.md. */
const KNOWN_MS = 2_000;
/** Time until a hub removes a VM that does not return, plus a margin. */
const MISSING_MS = 75_000;

function announceCold(world: World, coldMs: number): void {
  const offset = world.servers.updates.length;
  const version = { startedAt: 1, sequence: offset };
  const entry = createServerEntry("s1", ServerPhase.Active, version);
  const server = { ...entry.server, coldMs };
  const kind = ServerUpdateKind.Listed;
  world.servers.add({ kind, offset, entry: { ...entry, server } });
}

function listUninformed(world: World): string[] {
  const { now } = world.time;
  return world.vms.filter(({ configuration }) => {
    const server = configuration.state.servers.get("s1");
    return server === undefined || getColdUntil(server) <= now;
  }).map(({ name }) => name);
}

function findFollower(world: World): VirtualVm {
  const hubs = world.listHubs();
  const follower = world.vms.find((vm) => !hubs.includes(vm));
  if (follower === undefined) throw new Error("there is no follower");
  return follower;
}

/** Time for which a VM has no links; longer than the timeout of its hub. */
const CUT_MS = 1_200;

/** What happens when a server becomes cold again. */
const EVENTS: Record<string, (world: World) => void> = {
  "nothing else happens": () => {},
  "the hub of its domain is lost": (world) => {
    const [hub] = world.listHubs();
    if (hub !== undefined) world.killVm(hub);
  },
  "a VM loses its links and is rejected by the store": (world) => {
    const { network, servers, time, vms } = world;
    const { name } = findFollower(world);
    const pairs = vms.filter((vm) => vm.name !== name).flatMap((other) => [
      [name, other.name] as const,
      [other.name, name] as const,
    ]);
    servers.rejectedClients.add(name);
    for (const [from, to] of pairs) network.isolate(from, to);
    time.startTimer(CUT_MS, () => {
      for (const [from, to] of pairs) network.restore(from, to);
    });
  },
};

for (const [name, apply] of Object.entries(EVENTS)) {
  // Guards against VMs that send to a server as to a warm one.
  test(`all VMs know that a server is cold again if ${name}`, async () => {
    const world = await createWorld();
    announceCold(world, 0);
    await world.time.advance(SETTLE_MS);
    assert.equal(listUninformed(world).length, world.vms.length);
    apply(world);
    announceCold(world, COLD_MS);
    await world.time.advance(CUT_MS + KNOWN_MS);
    assert.deepEqual(listUninformed(world), []);
  });
}

function listRosters(world: World): string[] {
  return world.vms.map(({ fleet }) =>
    fleet.findRoster()?.listVms().map((vm) => vm.name).toSorted().join() ??
      "none"
  );
}

// Guards against VMs that disagree on the owners of cold servers.
test("all VMs have the same list of VMs, also after one is lost for long", async () => {
  const world = await createWorld();
  const all = world.vms.map((vm) => vm.name).toSorted().join();
  assert.deepEqual([...new Set(listRosters(world))], [all]);
  const lost = findFollower(world);
  world.killVm(lost);
  await world.time.advance(SETTLE_MS);
  assert.deepEqual([...new Set(listRosters(world))], [all]);
  await world.time.advance(MISSING_MS);
  const rest = world.vms.map((vm) => vm.name).toSorted().join();
  assert.deepEqual([...new Set(listRosters(world))], [rest]);
});

// Guards against a VM that takes permits before it knows the other owners.
test("a VM has no list of VMs before the directory was read, and once it leaves", async () => {
  const world = await createWorld();
  world.directory.isDown = true;
  const started = world.startVm("a9");
  await world.time.advance(SETTLE_MS);
  assert.equal(started.fleet.findRoster(), undefined);
  world.directory.isDown = false;
  await world.time.advance(SETTLE_MS);
  assert.equal(started.fleet.findRoster()?.listVms().length, world.vms.length);
  void started.fleet.withdraw();
  assert.equal(started.fleet.findRoster(), undefined);
});
