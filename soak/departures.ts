/** Seeded random departures and returns of backend servers. */
import type { PlatformFleet } from "../scripts/platform_fleet.ts";
import type { Random } from "../src/services/random/mod.ts";
import { pickOne, sleep } from "./callers.ts";

/** A departure of a server. */
export interface DepartureRecord {
  /** Index of the server in the fleet. */
  readonly server: number;
  /** Monotonic time of the store's record that it leaves, in milliseconds. */
  readonly leftAt: number;
  /** Monotonic time of its return, in milliseconds; infinite while away. */
  returnedAt: number;
}

/** Options of {@linkcode runDepartures}. */
export interface DepartureOptions {
  readonly fleet: PlatformFleet;
  readonly random: Random;
  /** Every departure is appended here. */
  readonly records: DepartureRecord[];
}

/** Mean time between two departures, in milliseconds. */
const MEAN_INTERVAL_MS = 1_500;
/**
 * Minimum absence, in milliseconds; longer than the time after which a leaving
 * server must get no request.
 */
const AWAY_MIN_MS = 2_500;
/** Maximum absence, in milliseconds. */
const AWAY_MAX_MS = 9_000;
/** Share of the departures without a draining phase, 0 to 1. */
const ABRUPT_RATIO = 0.4;
/** Maximum share of the servers that are away at the same time, 0 to 1. */
const AWAY_RATIO_MAX = 0.5;

/**
 * Lets servers leave until the signal aborts. Resolves when all of them have
 * returned.
 */
export async function runDepartures(
  options: DepartureOptions,
  signal: AbortSignal,
): Promise<void> {
  const { fleet, random, records } = options;
  const running = new Set<Promise<void>>();
  while (!signal.aborted) {
    await sleep(-Math.log(1 - random()) * MEAN_INTERVAL_MS);
    const away = new Set(
      records.filter(({ returnedAt }) => returnedAt === Infinity)
        .map(({ server }) => server),
    );
    const present = fleet.servers.map((_server, index) => index)
      .filter((index) => !away.has(index));
    if (away.size + 1 > fleet.servers.length * AWAY_RATIO_MAX) continue;
    const departure = runDeparture(options, pickOne(present, random))
      .finally(() => running.delete(departure));
    running.add(departure);
  }
  await Promise.all(running);
}

async function runDeparture(
  { fleet, random, records }: DepartureOptions,
  server: number,
): Promise<void> {
  const awayMs = AWAY_MIN_MS + random() * (AWAY_MAX_MS - AWAY_MIN_MS);
  if (random() < ABRUPT_RATIO) fleet.removeServer(server);
  else fleet.announceServer(server, "draining");
  const record = { server, leftAt: performance.now(), returnedAt: Infinity };
  records.push(record);
  await sleep(awayMs);
  record.returnedAt = performance.now();
  fleet.restoreServer(server);
}
