import assert from "node:assert/strict";
import { test } from "node:test";
import { FleetAddresses } from "../src/services/addresses/fleet_addresses.ts";
import { createWorld, DOMAINS } from "./feed_world.ts";
import type { VirtualVm, World } from "./feed_world.ts";

const VMS = 18;
/**
 * Time after which the platform's callers must not be given the address of a VM
 * that was killed, in milliseconds.
 */
const LIMIT_MS = 6_000;

/** Lists the killed VMs that any live VM names to callers of any domain. */
function listNamedDead(world: World, killed: readonly VirtualVm[]): string[] {
  const dead = new Set(killed.map(({ name }) => name));
  const named = new Set<string>();
  for (const { name, fleet } of world.vms) {
    if (dead.has(name)) continue;
    const addresses = new FleetAddresses({ fleet, ttlMs: 1_000 });
    for (const domain of DOMAINS) {
      for (const { vm } of addresses.selectForDomain(domain).addresses) {
        if (dead.has(vm)) named.add(vm);
      }
    }
  }
  return [...named];
}

const LOSSES: Record<string, (world: World) => readonly VirtualVm[]> = {
  "a hub": (world) => world.listHubs().slice(0, 1),
  "all hubs": (world) => world.listHubs(),
  "a whole failure domain": ({ vms }) =>
    vms.filter(({ fleet }) => fleet.self.failureDomain === DOMAINS[0]),
  "half of all VMs": ({ vms }) => vms.filter((_vm, index) => index % 2 === 0),
};

for (const [name, listKilled] of Object.entries(LOSSES)) {
  // Guards against callers that are sent to VMs that are gone, because the VM
  // that should report their loss is gone too.
  test(`after ${name} was killed, no VM names it to callers`, async () => {
    const world = await createWorld(VMS);
    const killed = [...listKilled(world)];
    assert.ok(killed.length > 0);
    for (const vm of killed) world.killVm(vm);
    await world.time.advance(LIMIT_MS);
    assert.deepEqual(listNamedDead(world, killed), []);
  });
}
