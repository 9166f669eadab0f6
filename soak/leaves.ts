/** Backend servers that leave and come back, by a seed. */
import type { PlatformFleet } from "../scripts/platform_fleet.ts";
import type { Random } from "../src/services/random/mod.ts";
import { pickOne, sleep } from "./callers.ts";

/** A server that left, from the store's word on. */
export interface LeaveRecord {
  /** Index of the server in the fleet. */
  readonly server: number;
  readonly leftAt: number;
  backAt: number;
}

/** What leaves are caused on. */
export interface LeaveOptions {
  readonly fleet: PlatformFleet;
  readonly random: Random;
  /** Gets every leave. */
  readonly records: LeaveRecord[];
}

/** Mean time between two leaves, in milliseconds. */
const GAP_MS = 1_500;
/** Shortest and longest absence; the first is longer than the bound. */
const AWAY_MIN_MS = 2_500;
const AWAY_MAX_MS = 9_000;
/** Share of the servers that leave without a word. */
const ABRUPT_RATIO = 0.4;
/** Share of the servers that may be away at the same time. */
const AWAY_RATIO_MAX = 0.5;

/** Lets servers leave until the signal aborts; all are back at the end. */
export async function runLeaves(
  options: LeaveOptions,
  signal: AbortSignal,
): Promise<void> {
  const { fleet, random, records } = options;
  const running = new Set<Promise<void>>();
  while (!signal.aborted) {
    await sleep(-Math.log(1 - random()) * GAP_MS);
    const away = new Set(
      records.filter(({ backAt }) => backAt === Infinity)
        .map(({ server }) => server),
    );
    const present = fleet.servers.map((_server, index) => index)
      .filter((index) => !away.has(index));
    if (away.size + 1 > fleet.servers.length * AWAY_RATIO_MAX) continue;
    const leave = runLeave(options, pickOne(present, random))
      .finally(() => running.delete(leave));
    running.add(leave);
  }
  await Promise.all(running);
}

async function runLeave(
  { fleet, random, records }: LeaveOptions,
  server: number,
): Promise<void> {
  const awayMs = AWAY_MIN_MS + random() * (AWAY_MAX_MS - AWAY_MIN_MS);
  if (random() < ABRUPT_RATIO) fleet.removeServer(server);
  else fleet.announceServer(server, "draining");
  const record = { server, leftAt: performance.now(), backAt: Infinity };
  records.push(record);
  await sleep(awayMs);
  record.backAt = performance.now();
  fleet.announceServer(server, "ready");
}
