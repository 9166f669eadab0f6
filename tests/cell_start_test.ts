import assert from "node:assert/strict";
import { test } from "node:test";
import { RecordKind } from "../src/model/mod.ts";
import type { Team } from "../src/model/mod.ts";
import { ServiceName } from "../src/services/catalog.ts";
import { Reachability } from "../src/services/membership/mod.ts";
import { GrantKind } from "../src/services/shares/mod.ts";
import { VirtualFleet } from "./virtual_fleet.ts";

const TEAM = "chaudhry";
/** Interval of requests to each VM; together they are 200 of 500 per second. */
const REQUEST_INTERVAL_MS = 15;
/** Time in which VMs that start together must all serve, in milliseconds. */
const START_LIMIT_MS = 5_000;
const RUN_MS = 10_000;
/** Round trips in which two connected VMs know that both receive messages. */
const CONNECT_LIMIT_MS = 50;

/** When VMs start, and when the platform's list contains them. */
const STARTS = [
  { name: "the list is complete", gapMs: 30, listedAtMs: 0 },
  { name: "the list is read before it contains them", gapMs: 0, listedAtMs: 1 },
  { name: "they start one by one", gapMs: 300, listedAtMs: 50 },
];

/** Starts three VMs and publishes a team while they start. */
async function startTogether(
  { gapMs, listedAtMs }: (typeof STARTS)[number],
): Promise<VirtualFleet> {
  const fleet = new VirtualFleet({ size: 3 });
  const { listedVms } = fleet;
  fleet.listedVms = listedAtMs === 0 ? listedVms : [];
  for (const name of listedVms) {
    await fleet.startVm(name);
    await fleet.time.advance(gapMs);
  }
  await fleet.time.advance(listedAtMs);
  fleet.listedVms = listedVms;
  fleet.publish({
    kind: RecordKind.TeamSet,
    team: { id: TEAM, cell: "cell-1", ratePerSecond: 500, burst: 500 },
  });
  return fleet;
}

function findTeam(fleet: VirtualFleet, vm: string): Team | undefined {
  return fleet.find(vm, ServiceName.Configuration).state.teams.get(TEAM);
}

/** Lists the VMs whose addresses any VM gives to callers of the team. */
function listAddressed(fleet: VirtualFleet): Set<string> {
  const names = fleet.names.flatMap((name) => {
    const team = findTeam(fleet, name);
    if (team === undefined) return [];
    const addresses = fleet.find(name, ServiceName.Addresses);
    return addresses.selectAddresses(team, "caller").addresses
      .map(({ vm }) => vm);
  });
  return new Set(names);
}

async function acquireToken(
  fleet: VirtualFleet,
  vm: string,
): Promise<GrantKind> {
  const { state } = fleet.find(vm, ServiceName.Configuration);
  const team = findTeam(fleet, vm);
  assert.ok(team);
  const grant = await fleet.find(vm, ServiceName.Shares)
    .acquire(team, state.getPreset());
  return grant.kind;
}

for (const start of STARTS) {
  // Guards against a VM that gives out its address and refuses all requests
  // there, because it cannot reach the quota shards yet.
  test(`a VM that gives out its address serves when ${start.name}`, async () => {
    const fleet = await startTogether(start);
    const refused: string[] = [];
    const startedAt = fleet.time.now;
    let completeAt = Infinity;
    while (fleet.time.now < startedAt + RUN_MS) {
      const at = fleet.time.now - startedAt;
      const addressed = listAddressed(fleet);
      if (addressed.size === fleet.names.length) {
        completeAt = Math.min(completeAt, at);
      }
      for (const vm of addressed) {
        void acquireToken(fleet, vm).then((kind) => {
          if (kind !== GrantKind.Granted) refused.push(`${vm} ${kind} ${at}`);
        });
      }
      await fleet.time.advance(REQUEST_INTERVAL_MS);
    }
    assert.deepEqual(refused, []);
    assert.ok(completeAt <= START_LIMIT_MS, `all serve after ${completeAt} ms`);
  });
}

// Guards against a cell without owners of its quota shards, all of whose VMs
// were killed, that no longer serves open routes either.
test("callers without a team get addresses although no VM serves teams", async () => {
  const fleet = new VirtualFleet({ size: 3 });
  await fleet.start();
  for (const name of fleet.names) await fleet.kill(name);
  await fleet.time.advance(START_LIMIT_MS);
  for (const name of fleet.listedVms) await fleet.startVm(name);
  await fleet.time.advance(START_LIMIT_MS);
  for (const name of fleet.names) {
    const addresses = fleet.find(name, ServiceName.Addresses);
    const list = addresses.selectAddresses(undefined, "caller").addresses;
    assert.equal(list.length, fleet.names.length, name);
  }
});

// Guards against a VM that cannot borrow for a second after it has connected.
test("VMs that have connected know at once that both receive messages", async () => {
  const fleet = new VirtualFleet({ size: 2 });
  const [first = "", second = ""] = fleet.listedVms;
  await fleet.startVm(first);
  await fleet.startVm(second);
  await fleet.time.advance(CONNECT_LIMIT_MS);
  for (const name of [first, second]) {
    const reachable = fleet.find(name, ServiceName.Membership).listReachable();
    assert.equal(reachable.length, 1, `${name} reaches its peer`);
  }
});

// Guards against a refusal that claims that a team is over its rate, when this
// VM reaches too few of its quota shards.
test("a VM that reaches few quota shards does not refuse as over the rate", async () => {
  const fleet = new VirtualFleet({ size: 3 });
  fleet.publish({
    kind: RecordKind.TeamSet,
    team: { id: TEAM, cell: "cell-1", ratePerSecond: 500, burst: 500 },
  });
  await fleet.start();
  const [alone = ""] = fleet.names;
  for (const other of fleet.names.slice(1)) {
    fleet.network.isolate(other, alone);
    fleet.network.isolate(alone, other);
  }
  await fleet.time.advance(START_LIMIT_MS);
  const peers = fleet.find(alone, ServiceName.Membership).listPeers();
  const now = fleet.getVm(alone).clock.now();
  for (const peer of peers) {
    assert.equal(peer.getReachability(now), Reachability.Unresponsive);
  }
  const kinds = new Set<GrantKind>();
  for (let count = 0; count < 300; count += 1) {
    void acquireToken(fleet, alone).then((kind) => kinds.add(kind));
  }
  await fleet.time.advance(1_000);
  assert.deepEqual([...kinds].toSorted(), [
    GrantKind.Granted,
    GrantKind.Missing,
  ]);
});
