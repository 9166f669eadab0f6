/** Costs per object and per peer for docs/CAPACITY.md, by linear regression. */
import { Buffer } from "node:buffer";
import process from "node:process";
import {
  EntryKind,
  Idempotency,
  RecordKind,
  RouteAccess,
  ServerPhase,
} from "../src/model/mod.ts";
import type { Change, LogEntry, Team } from "../src/model/mod.ts";
import { encodeRecord } from "../src/protocols/log/record_codec.ts";
import { computeKeyDigest } from "../src/services/admission/mod.ts";
import { ServiceName } from "../src/services/catalog.ts";
import { Configuration } from "../src/services/configuration/mod.ts";
import { VirtualClock, VirtualTime } from "../standins/virtual_clock.ts";
import { VirtualFleet } from "../tests/virtual_fleet.ts";
import { printLine, printTable } from "./report.ts";

/** Numbers of objects of one kind. */
const COUNTS = [10_000, 20_000, 40_000];
/** Numbers of VMs in a cell. */
const FLEET_SIZES = [6, 12, 24];
/** Duration of a traffic measurement, in milliseconds. */
const TRAFFIC_MS = 10_000;
const ADMISSIONS = 20_000;
const NS_PER_MS = 1e6;

interface Line {
  readonly slope: number;
  /** Value at zero. */
  readonly intercept: number;
  /** Largest distance of a point from the line, as a share of its value. */
  readonly residual: number;
}

/** Fits a line by least squares. */
function computeLine(points: readonly (readonly [number, number])[]): Line {
  const count = points.length;
  const meanX = points.reduce((sum, [x]) => sum + x, 0) / count;
  const meanY = points.reduce((sum, [, y]) => sum + y, 0) / count;
  const sumXy = points
    .reduce((sum, [x, y]) => sum + (x - meanX) * (y - meanY), 0);
  const sumXx = points.reduce((sum, [x]) => sum + (x - meanX) ** 2, 0);
  const slope = sumXy / sumXx;
  const intercept = meanY - slope * meanX;
  const residual = Math.max(
    ...points.map(([x, y]) =>
      Math.abs(y - intercept - slope * x) / Math.max(1e-9, Math.abs(y))
    ),
  );
  return { slope, intercept, residual };
}

type ChangeFactory = (index: number) => Change;

const CHANGE_FACTORIES: Readonly<Record<string, ChangeFactory>> = {
  teams: (index) => ({
    kind: RecordKind.TeamSet,
    team: { id: `team-${index}`, cell: "cell-1", ratePerSecond: 1, burst: 4 },
  }),
  keys: (index) => ({
    kind: RecordKind.KeyIssue,
    digest: computeKeyDigest(String(index)),
    team: "team-0",
  }),
  routes: (index) => ({
    kind: RecordKind.RouteSet,
    route: {
      id: `route-${index}`,
      method: "GET",
      path: `/area-${index % 100}/route-${index}`,
      service: "service-0",
      access: RouteAccess.TeamBound,
      idempotency: Idempotency.Idempotent,
      deadlineMs: 1_000,
      floor: 0.5,
    },
  }),
  servers: (index) => ({
    kind: RecordKind.ServerSet,
    server: {
      id: `server-${index}`,
      service: "service-0",
      host: "10.0.0.1",
      port: 80,
      failureDomain: "domain-1",
      slots: 4,
      phase: ServerPhase.Active,
    },
  }),
};

function createEntry(offset: number, change: Change): LogEntry {
  return {
    kind: EntryKind.Record,
    offset,
    record: { version: 1, id: `id-${offset}`, base: 0, change },
  };
}

interface ReducerCost {
  /** Growth of the heap by all records. */
  readonly bytes: number;
  /** Mean time to apply a record, in microseconds. */
  readonly applyUs: number;
  /** Encoded size of the first record. */
  readonly recordBytes: number;
}

/** Applies `count` records of one kind and measures memory and time. */
function measureReducer(
  createChange: ChangeFactory,
  count: number,
): ReducerCost {
  const configuration = new Configuration(
    "cell-1",
    new VirtualClock(new VirtualTime()),
  );
  configuration.apply(createEntry(1, {
    kind: RecordKind.ServiceSet,
    service: { id: "service-0" },
  }));
  configuration.apply(createEntry(2, {
    kind: RecordKind.TeamSet,
    team: { id: "team-0", cell: "cell-1", ratePerSecond: 1, burst: 4 },
  }));
  const before = getHeapBytes();
  const startedAt = performance.now();
  let recordBytes = 0;
  for (let index = 1; index <= count; index += 1) {
    const entry = createEntry(index + 2, createChange(index));
    if (entry.kind === EntryKind.Record && index === 1) {
      recordBytes = Buffer.byteLength(encodeRecord(entry.record));
    }
    configuration.apply(entry);
  }
  const applyMs = performance.now() - startedAt;
  const bytes = getHeapBytes() - before;
  if (configuration.offset < count) throw new Error("records were lost");
  return { bytes, applyUs: applyMs * 1_000 / count, recordBytes };
}

function getHeapBytes(): number {
  globalThis.gc?.();
  globalThis.gc?.();
  return process.memoryUsage().heapUsed;
}

function measureObjects(): string[][] {
  const rows: string[][] = [];
  for (const [name, createChange] of Object.entries(CHANGE_FACTORIES)) {
    measureReducer(createChange, COUNTS[0] ?? 0);
    const costs = COUNTS.map((count) => measureReducer(createChange, count));
    const points = costs.map((cost, index) =>
      [COUNTS[index] ?? 0, cost.bytes] as const
    );
    const line = computeLine(points);
    rows.push([
      `memory of ${name}`,
      `${line.slope.toFixed(0)} B each`,
      `${(line.intercept / 1e6).toFixed(2)} MB`,
      `${(line.residual * 100).toFixed(1)}%`,
    ]);
    const last = costs.at(-1);
    rows.push([
      `applying a record of ${name}`,
      `${last?.applyUs.toFixed(1)} us`,
      `${last?.recordBytes} B in the log`,
      "-",
    ]);
  }
  return rows;
}

/** Costs of one VM per second. */
interface FleetCost {
  readonly sentBytes: number;
  readonly messages: number;
  readonly cpuMs: number;
}

/** Runs an idle cell and measures the mean traffic and CPU time of a VM. */
async function measureFleet(size: number): Promise<FleetCost> {
  const fleet = new VirtualFleet({ size, countsBytes: true });
  await fleet.start();
  await fleet.time.advance(20_000);
  const getTraffic = (): { sentBytes: number; sentMessages: number } => {
    const sums = { sentBytes: 0, sentMessages: 0 };
    for (const name of fleet.names) {
      const { traffic } = fleet.getVm(name).transport;
      sums.sentBytes += traffic.sentBytes;
      sums.sentMessages += traffic.sentMessages;
    }
    return sums;
  };
  const before = getTraffic();
  const cpuBefore = process.cpuUsage();
  await fleet.time.advance(TRAFFIC_MS);
  const cpu = process.cpuUsage(cpuBefore);
  const after = getTraffic();
  const vmSeconds = size * TRAFFIC_MS / 1_000;
  return {
    sentBytes: (after.sentBytes - before.sentBytes) / vmSeconds,
    messages: (after.sentMessages - before.sentMessages) / vmSeconds,
    cpuMs: (cpu.user + cpu.system) / 1_000 / vmSeconds,
  };
}

async function measurePeers(): Promise<string[][]> {
  const costs: FleetCost[] = [];
  for (const size of FLEET_SIZES) costs.push(await measureFleet(size));
  const createRow = (
    name: string,
    unit: string,
    getCost: (cost: FleetCost) => number,
  ): string[] => {
    const points = costs.map((cost, index) =>
      [(FLEET_SIZES[index] ?? 1) - 1, getCost(cost)] as const
    );
    const line = computeLine(points);
    return [
      name,
      `${line.slope.toFixed(3)} ${unit} per peer`,
      `${line.intercept.toFixed(2)} ${unit}`,
      `${(line.residual * 100).toFixed(1)}%`,
    ];
  };
  return [
    createRow("bytes sent per second", "B", ({ sentBytes }) => sentBytes),
    createRow(
      "messages sent per second",
      "messages",
      ({ messages }) => messages,
    ),
    createRow("CPU time per second", "ms", ({ cpuMs }) => cpuMs),
  ];
}

/** Measures one admission at a VM that owns all of the team's quota shards. */
async function measureAdmission(): Promise<string[]> {
  const fleet = new VirtualFleet({ size: 1 });
  fleet.publish({
    kind: RecordKind.TeamSet,
    team: { id: "big", cell: "cell-1", ratePerSecond: 1e9, burst: 1e9 },
  });
  await fleet.start();
  await fleet.time.advance(5_000);
  const { state } = fleet.find("vm-01", ServiceName.Configuration);
  const team = state.teams.get("big") as Team;
  const shares = fleet.find("vm-01", ServiceName.Shares);
  const preset = state.getPreset();
  const startedAt = performance.now();
  for (let count = 0; count < ADMISSIONS; count += 1) {
    await shares.acquire(team, preset);
  }
  const ns = (performance.now() - startedAt) * NS_PER_MS / ADMISSIONS;
  return ["one admission, 64 quota shards", `${ns.toFixed(0)} ns`, "-", "-"];
}

/** Prints the slope, value at zero and residual of each cost. */
export async function runSlopesBench(): Promise<void> {
  printLine(
    `${COUNTS.join(", ")} objects; cells of ${FLEET_SIZES.join(", ")} VMs`,
  );
  printTable([
    ["cost", "slope", "at zero", "residual"],
    ...measureObjects(),
    ...await measurePeers(),
    await measureAdmission(),
  ]);
}
