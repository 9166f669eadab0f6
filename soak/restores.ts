/** Seeded random restores of the store from an old copy. */
import type { PlatformFleet } from "../scripts/platform_fleet.ts";
import type { Random } from "../src/services/random/mod.ts";
import { StoreMode } from "../standins/store_standin.ts";
import { pickOne, sleep } from "./callers.ts";
import { FaultKind } from "./faults.ts";
import type { FaultRecord } from "./faults.ts";

/** Options of {@linkcode runRestores}. */
export interface RestoreOptions {
  readonly fleet: PlatformFleet;
  readonly random: Random;
  /** Every restore is appended here. */
  readonly records: FaultRecord[];
}

/** Mean time between two restores, in milliseconds. */
const MEAN_INTERVAL_MS = 5_000;
/** Maximum time for which the store is unavailable before, in milliseconds. */
const OUTAGE_MAX_MS = 2_000;
/** Maximum age of the copy, in milliseconds. */
const AGE_MAX_MS = 3_000;
/** Maximum time until operator and servers have written again, in ms. */
const REWRITE_MAX_MS = 1_000;
const OUTAGES = [StoreMode.Unresponsive, StoreMode.Busy, StoreMode.Reset];

/** Restores the store again and again until the signal aborts. */
export async function runRestores(
  { fleet, random, records }: RestoreOptions,
  signal: AbortSignal,
): Promise<void> {
  while (!signal.aborted) {
    await sleep(-Math.log(1 - random()) * MEAN_INTERVAL_MS);
    if (signal.aborted) return;
    const record = {
      kind: FaultKind.Restore,
      target: "store",
      startedAt: performance.now(),
      endedAt: Infinity,
    };
    records.push(record);
    fleet.store.mode = pickOne(OUTAGES, random);
    await sleep(random() * OUTAGE_MAX_MS);
    fleet.store.mode = StoreMode.Up;
    await fleet.restoreStore(
      random() * AGE_MAX_MS,
      random() * REWRITE_MAX_MS,
    );
    record.endedAt = performance.now();
  }
}
