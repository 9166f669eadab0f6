import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import { WarmUpFleet } from "../../../standins/warm_up_fleet.ts";
import type { WarmUpVm } from "../../../standins/warm_up_fleet.ts";
import type { Server } from "../../model/mod.ts";
import { PermitKind, Warmth } from "./mod.ts";

/** Limit of the users' platform, and what it tolerates in a second. */
const LIMIT = { perSecond: 3.8, coldMs: 3_000 };
const computeBound = (perSecond: number): number => perSecond * 1.5 + 8;
/** Servers of the domain that returns, in batches, and of the other one. */
const RETURNING = 80;
const BATCH = 8;
const BATCH_INTERVAL_MS = 100;
const OTHERS = 80;
const LOAD_PER_SECOND = 400;
const SETTLE_MS = 1_000;

/** Creates a fleet under load whose domain `b` has no servers yet. */
async function createLoadedFleet(): Promise<WarmUpFleet> {
  const fleet = new WarmUpFleet({ b: 40 }, LIMIT);
  fleet.setServers("a", 0, OTHERS, 0);
  fleet.startLoad(LOAD_PER_SECOND);
  await fleet.time.advance(SETTLE_MS);
  return fleet;
}

/** What may happen just before all servers of a domain return. */
const EVENTS: Record<string, (fleet: WarmUpFleet) => void> = {
  "nothing else happens": () => {},
  "half of its VMs die": (fleet) => {
    for (const vm of fleet.vms.filter((_vm, index) => index % 2 > 0)) {
      vm.stop.abort();
      fleet.vms.splice(fleet.vms.indexOf(vm), 1);
    }
  },
  "one VM is partitioned": ({ vms, time }) => {
    const vm = vms.at(-1);
    if (vm !== undefined) vm.cutAt = time.now;
  },
  "one VM has restarted": (fleet) => {
    const vm = fleet.vms.at(-1);
    if (vm !== undefined) fleet.startVm(vm);
  },
};

for (const [name, apply] of Object.entries(EVENTS)) {
  // Guards against servers that crash since all VMs send to the first ones that
  // return, and against servers that get nothing although they are up.
  test(`80 cold servers return at 400 requests a second: within the bound and used, if ${name}`, async () => {
    const fleet = await createLoadedFleet();
    apply(fleet);
    fleet.refused = 0;
    for (let first = 0; first < RETURNING; first += BATCH) {
      fleet.setServers("b", first, BATCH, LIMIT.coldMs);
      await fleet.time.advance(BATCH_INTERVAL_MS);
    }
    await fleet.time.advance(LIMIT.coldMs);
    const peak = fleet.countPeak();
    assert.ok(peak <= computeBound(LIMIT.perSecond), `peak ${peak}`);
    const used = fleet.countUsed();
    assert.ok(used >= 0.9 * RETURNING, `${used} used`);
    assert.equal(fleet.refused, 0);
  });
}

// Guards against servers that become cold while all VMs use them.
test("servers that are cold twice stay within the bound", async () => {
  const fleet = new WarmUpFleet({ b: 10 }, LIMIT);
  fleet.startLoad(LOAD_PER_SECOND / 4);
  fleet.setServers("b", 0, RETURNING / 4, 0);
  for (let count = 0; count < 2; count += 1) {
    await fleet.time.advance(SETTLE_MS);
    fleet.setServers("b", 0, RETURNING / 4, LIMIT.coldMs);
    await fleet.time.advance(LIMIT.coldMs);
  }
  const peak = fleet.countPeak();
  assert.ok(peak <= computeBound(LIMIT.perSecond), `peak ${peak}`);
  assert.equal(fleet.countUsed(), RETURNING / 4);
});

/** A fault of one VM; the kinds are explained by {@linkcode applyFault}. */
interface Fault {
  readonly kind: "freeze" | "cut" | "restart" | "forget";
  readonly vm: number;
  readonly atMs: number;
  readonly forMs: number;
}

const RUN_MS = 8_000;
/** Time until a VM that has restarted knows the others. */
const DISCOVERY_MS = 3_000;
const SERVER = "server-b0";

function applyFault(fleet: WarmUpFleet, fault: Fault): void {
  const { time, vms } = fleet;
  const vm = vms[fault.vm % vms.length] as WarmUpVm;
  switch (fault.kind) {
    case "freeze":
      vm.clock.setPaused();
      time.startTimer(fault.forMs, () => vm.clock.setRunning());
      return;
    case "cut":
      vm.cutAt = time.now;
      time.startTimer(fault.forMs, () => vm.cutAt = undefined);
      return;
    case "restart": {
      const restarted = fleet.startVm(vm);
      time.startTimer(DISCOVERY_MS, () => fleet.setRoster(restarted, vms));
      return;
    }
    case "forget": {
      // Only the first VM's list is wrong: it knows of itself alone.
      const [first] = vms;
      if (first?.roster === undefined) return;
      fleet.setRoster(first, [first]);
      time.startTimer(fault.forMs, () => fleet.setRoster(first, vms));
    }
  }
}

/** Lets each VM send to a cold server whenever it may, and counts the most. */
async function measurePeak(
  vms: number,
  perSecond: number,
  faults: readonly Fault[],
): Promise<number> {
  const fleet = new WarmUpFleet({ b: vms }, { perSecond, coldMs: 1 });
  fleet.setServers("b", 0, 1, 2 * RUN_MS);
  for (const fault of faults) {
    fleet.time.startTimer(fault.atMs, () => applyFault(fleet, fault));
  }
  for (let at = 0; at < RUN_MS; at += 10) {
    for (const [index, vm] of fleet.vms.entries()) {
      // A connection takes longer at times; so do permits that are in use.
      const connectMs = (at / 10 * 37 + index * 13) % 90;
      vm.clock.runWhileRunning(() =>
        fleet.sendIfPermitted(vm, SERVER, connectMs)
      );
    }
    await fleet.time.advance(10);
  }
  return fleet.countPeak();
}

// Guards against VMs that together send more than a cold server tolerates,
// since their clocks or their views of the fleet differ.
test("a cold server gets at most its bound in any second, whichever VMs are frozen, cut, restarted or mistaken", async () => {
  const fault = fc.record({
    kind: fc.constantFrom("freeze", "cut", "restart", "forget"),
    vm: fc.nat(20),
    atMs: fc.nat(RUN_MS),
    forMs: fc.integer({ min: 50, max: 4_000 }),
  }) as fc.Arbitrary<Fault>;
  await fc.assert(
    fc.asyncProperty(
      fc.integer({ min: 2, max: 20 }),
      fc.double({ min: 0.5, max: 60, noNaN: true }),
      fc.array(fault, { maxLength: 6 }),
      async (vms, perSecond, faults) => {
        const peak = await measurePeak(vms, perSecond, faults);
        assert.ok(peak <= computeBound(perSecond), `peak ${peak}`);
      },
    ),
    { seed: 1, numRuns: 30 },
  );
});

/** Creates two VMs and a warm server; both own it while it is cold. */
async function createPair(): Promise<{ fleet: WarmUpFleet; vm: WarmUpVm }> {
  const fleet = new WarmUpFleet({ b: 2 }, LIMIT);
  fleet.setServers("b", 0, 10, 0);
  await fleet.time.advance(SETTLE_MS);
  return { fleet, vm: fleet.vms[0] as WarmUpVm };
}

function getServer(vm: WarmUpVm, id = SERVER): Server {
  return vm.configuration.state.servers.get(id) as Server;
}

/** What follows a refused connection, and how long the server is cold then. */
const AFTER_REFUSAL: [string, (vm: WarmUpVm) => void, number][] = [
  ["it is not reached again", () => {}, 2 * LIMIT.coldMs],
  [
    "it is reached",
    (vm) => vm.warmUp.recordReached(getServer(vm)),
    LIMIT.coldMs,
  ],
  ["its new entry says that it is warm", (vm) => {
    const listedAt = vm.clock.now();
    vm.configuration.setServer({ ...getServer(vm), listedAt, coldMs: 0 });
  }, 0],
  ["most servers are unreachable", (vm) => {
    for (let index = 0; index < 8; index += 1) {
      vm.warmUp.recordUnreachable(getServer(vm, `server-b${index}`));
    }
  }, 0],
];

for (const [name, apply, coldMs] of AFTER_REFUSAL) {
  // Guards against full load on a server that restarted before its entry
  // arrived, and against a VM whose own link fails and that then serves nothing.
  test(`a server that refused a connection is cold for ${coldMs} ms if ${name}`, async () => {
    const { fleet, vm } = await createPair();
    vm.warmUp.recordUnreachable(getServer(vm));
    apply(vm);
    const isCold = (): boolean =>
      vm.warmUp.getWarmth(getServer(vm)) !== Warmth.Warm;
    if (coldMs > 0) await fleet.time.advance(coldMs - 1);
    assert.equal(isCold(), coldMs > 0);
    await fleet.time.advance(1);
    assert.equal(isCold(), false);
  });
}

/** What ends a permit, or keeps a VM from getting one. */
const LAPSES: Record<string, (fleet: WarmUpFleet, vm: WarmUpVm) => void> = {
  "the permit is used late": () => {},
  "the VM was paused": ({ time }, { clock }) => {
    clock.setPaused();
    time.startTimer(1_990, () => clock.setRunning());
  },
  "the VM was not confirmed for long": ({ time }, vm) =>
    void (vm.cutAt = time.now - 40_000),
};

for (const [name, apply] of Object.entries(LAPSES)) {
  // Guards against permits of different times that are used together.
  test(`a request to a cold server is not sent if ${name}`, async () => {
    const { fleet, vm } = await createPair();
    fleet.setServers("b", 0, 1, 60_000);
    await fleet.time.advance(SETTLE_MS);
    const permit = vm.warmUp.acquire(getServer(vm));
    assert.equal(permit.kind, PermitKind.Granted);
    apply(fleet, vm);
    await fleet.time.advance(name.includes("late") ? 200 : 2_000);
    assert.equal(vm.warmUp.checkPermit(getServer(vm), permit), false);
  });
}
