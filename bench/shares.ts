/** Fleet-wide rate and burst: over-admission and unnecessary refusals. */
import { RecordKind } from "../src/model/mod.ts";
import type { Team } from "../src/model/mod.ts";
import { ServiceName } from "../src/services/catalog.ts";
import { createSeededRandom } from "../src/services/random/mod.ts";
import type { Random } from "../src/services/random/mod.ts";
import { GrantKind } from "../src/services/shares/mod.ts";
import { LogMode } from "../standins/log_standin.ts";
import { VirtualFleet } from "../tests/virtual_fleet.ts";
import { printLine, printTable } from "./report.ts";

const VMS = 36;
const SEEDS = [1];
const LOAD_MS = 4_000;
const MS_PER_SECOND = 1_000;
const TEAMS: readonly { readonly id: string; readonly rate: number }[] = [
  { id: "large-1", rate: 200 },
  { id: "large-2", rate: 100 },
  ...Array.from({ length: 6 }, (_team, index) => ({
    id: `small-${index + 1}`,
    rate: 5,
  })),
];

/** How a team's callers choose a VM. */
enum Skew {
  /** All callers use the same VM. */
  OneVm = "one VM",
  /** Callers use the first VM of their address response. */
  ByAddress = "by address",
  /** Callers use a random VM for each request. */
  Even = "even",
}

/** Decision on one request. */
interface Admission {
  /** Virtual time of the decision, in milliseconds. */
  readonly at: number;
  readonly isGranted: boolean;
  readonly vm: string;
}

function publishTeams(fleet: VirtualFleet): void {
  for (const { id, rate } of TEAMS) {
    fleet.publish({
      kind: RecordKind.TeamSet,
      team: { id, cell: "cell-1", ratePerSecond: rate, burst: rate * 2 },
    });
  }
}

function findTeam(fleet: VirtualFleet, vm: string, id: string): Team {
  const { state } = fleet.find(vm, ServiceName.Configuration);
  const team = state.teams.get(id);
  if (team === undefined) throw new Error(`team ${id} is unknown`);
  return team;
}

function pickVm(
  fleet: VirtualFleet,
  id: string,
  skew: Skew,
  random: Random,
): string {
  const names = fleet.names.filter((name) =>
    fleet.find(name, ServiceName.Configuration).state.teams.has(id)
  );
  const pickAny = (): string =>
    names[Math.floor(random() * names.length)] ?? "";
  switch (skew) {
    case Skew.OneVm:
      return names[0] ?? "";
    case Skew.Even:
      return pickAny();
    case Skew.ByAddress: {
      const vm = pickAny();
      const caller = String(Math.floor(random() * 50));
      const { addresses } = fleet.find(vm, ServiceName.Addresses)
        .selectAddresses(findTeam(fleet, vm, id), caller);
      return addresses[0]?.vm ?? vm;
    }
  }
}

interface TeamLoad {
  readonly id: string;
  /** Requests per second. */
  readonly ratePerSecond: number;
  readonly skew: Skew;
  readonly random: Random;
  readonly durationMs: number;
}

function startTeamLoad(fleet: VirtualFleet, load: TeamLoad): Admission[] {
  const admissions: Admission[] = [];
  const endAt = fleet.time.now + load.durationMs;
  const sendNext = (): void => {
    if (fleet.time.now >= endAt) return;
    void admitOne(fleet, load).then((admission) =>
      void admissions.push(admission)
    );
    const intervalMs = -Math.log(1 - load.random()) * MS_PER_SECOND /
      load.ratePerSecond;
    fleet.time.startTimer(intervalMs, sendNext);
  };
  sendNext();
  return admissions;
}

async function admitOne(
  fleet: VirtualFleet,
  load: TeamLoad,
): Promise<Admission> {
  const vm = pickVm(fleet, load.id, load.skew, load.random);
  const team = findTeam(fleet, vm, load.id);
  const { state } = fleet.find(vm, ServiceName.Configuration);
  const grant = await fleet.find(vm, ServiceName.Shares)
    .acquire(team, state.getPreset());
  return {
    at: fleet.time.now,
    isGranted: grant.kind === GrantKind.Granted,
    vm,
  };
}

/**
 * Computes by how many requests admissions exceed burst plus rate × time in the
 * worst window of any length; 0 if they never do.
 */
export function computeOverAdmission(
  times: readonly number[],
  ratePerSecond: number,
  burst: number,
): number {
  let tokens = burst;
  let last = times[0] ?? 0;
  let worst = 0;
  for (const at of times) {
    const refilled = tokens + (at - last) * ratePerSecond / MS_PER_SECOND;
    tokens = Math.min(burst, refilled) - 1;
    last = at;
    worst = Math.max(worst, -tokens);
  }
  return worst;
}

/**
 * Counts the requests that a static split of rate and burst over `bucketCount`
 * token buckets, one for each VM, would refuse; a single bucket serves all VMs.
 */
function countStaticRefusals(
  admissions: readonly Admission[],
  ratePerSecond: number,
  bucketCount: number,
): number {
  const burst = ratePerSecond * 2;
  const buckets = new Map<string, { tokens: number; at: number }>();
  let refused = 0;
  for (const { at, vm } of admissions) {
    const name = bucketCount === 1 ? "" : vm;
    const bucket = buckets.get(name) ?? { tokens: burst / bucketCount, at };
    const rate = ratePerSecond / bucketCount / MS_PER_SECOND;
    const refilled = bucket.tokens + (at - bucket.at) * rate;
    const tokens = Math.min(burst / bucketCount, refilled);
    const isGranted = tokens >= 1;
    if (!isGranted) refused += 1;
    buckets.set(name, { tokens: isGranted ? tokens - 1 : tokens, at });
  }
  return refused;
}

interface ShareResult {
  /** Over-admission of the worst team, in requests. */
  overAdmission: number;
  refused: number;
  /** Refusals of a static split of rate and burst over the VMs. */
  staticSplitRefused: number;
  /** Refusals of one bucket for the fleet. */
  oneBucketRefused: number;
  requests: number;
}

function createResult(): ShareResult {
  return {
    overAdmission: 0,
    refused: 0,
    staticSplitRefused: 0,
    oneBucketRefused: 0,
    requests: 0,
  };
}

async function measureSkew(
  fleet: VirtualFleet,
  skew: Skew,
  factor: number,
): Promise<ShareResult> {
  const random = createSeededRandom(17);
  const loads = TEAMS.map(({ id, rate }) => ({
    id,
    rate,
    admissions: startTeamLoad(fleet, {
      id,
      ratePerSecond: rate * factor,
      skew,
      random,
      durationMs: LOAD_MS,
    }),
  }));
  await fleet.time.advance(LOAD_MS + MS_PER_SECOND);
  const result = createResult();
  for (const { rate, admissions } of loads) {
    const sorted = admissions.toSorted((left, right) => left.at - right.at);
    const granted = sorted.filter(({ isGranted }) => isGranted);
    const times = granted.map(({ at }) => at);
    const overAdmission = computeOverAdmission(times, rate, rate * 2);
    result.overAdmission = Math.max(result.overAdmission, overAdmission);
    result.requests += sorted.length;
    result.refused += sorted.length - granted.length;
    result.staticSplitRefused += countStaticRefusals(sorted, rate, VMS);
    result.oneBucketRefused += countStaticRefusals(sorted, rate, 1);
  }
  return result;
}

/** Measures a rolling restart of all VMs under load while the log is down. */
async function measureRollingRestart(
  fleet: VirtualFleet,
): Promise<ShareResult> {
  fleet.log.mode = LogMode.Down;
  const result = createResult();
  const random = createSeededRandom(23);
  const large = TEAMS[0];
  if (large === undefined) return result;
  const admissions = startTeamLoad(fleet, {
    id: large.id,
    ratePerSecond: large.rate * 0.9,
    skew: Skew.ByAddress,
    random,
    durationMs: VMS * 3_000,
  });
  for (const name of fleet.names) {
    await fleet.stopVm(name);
    await fleet.startVm(name);
    await fleet.time.advance(1_000);
  }
  await fleet.time.advance(MS_PER_SECOND);
  const granted = admissions.filter(({ isGranted }) => isGranted);
  const times = granted.map(({ at }) => at).toSorted((a, b) => a - b);
  result.overAdmission = computeOverAdmission(
    times,
    large.rate,
    large.rate * 2,
  );
  result.refused = admissions.length - granted.length;
  result.requests = admissions.length;
  return result;
}

function formatShare(count: number, total: number): string {
  return `${(100 * count / total).toFixed(2)}%`;
}

/** Prints over-admission and refusals for each skew and load of the callers. */
export async function runSharesBench(): Promise<void> {
  const rows = [[
    "callers",
    "load",
    "requests",
    "over-admitted",
    "refused",
    "one bucket",
    "static split",
    "borrow messages/s",
  ]];
  for (const seed of SEEDS) {
    const fleet = new VirtualFleet({ size: VMS, seed });
    publishTeams(fleet);
    await fleet.start();
    await fleet.time.advance(5_000);
    for (const skew of Object.values(Skew)) {
      for (const factor of [0.95, 5]) {
        const before = countBorrowMessages(fleet);
        const result = await measureSkew(fleet, skew, factor);
        const messages = (countBorrowMessages(fleet) - before) / VMS;
        rows.push([
          skew,
          `${factor * 100}%`,
          String(result.requests),
          result.overAdmission.toFixed(2),
          formatShare(result.refused, result.requests),
          formatShare(result.oneBucketRefused, result.requests),
          formatShare(result.staticSplitRefused, result.requests),
          (messages / (LOAD_MS / MS_PER_SECOND)).toFixed(1),
        ]);
      }
    }
    const rolling = await measureRollingRestart(fleet);
    rows.push([
      "rolling restart, log down",
      "90%",
      String(rolling.requests),
      rolling.overAdmission.toFixed(2),
      formatShare(rolling.refused, rolling.requests),
      "-",
      "-",
      "-",
    ]);
  }
  printLine(`${VMS} VMs, ${TEAMS.length} teams, seeds ${SEEDS.join(", ")}`);
  printTable(rows);
}

function countBorrowMessages(fleet: VirtualFleet): number {
  return fleet.names.reduce((sum, name) => {
    const { requests, responses } =
      fleet.find(name, ServiceName.Shares).traffic;
    return sum + requests + responses;
  }, 0);
}
