/** Delays the use of a store that was restored from a copy. */
import { getEra } from "../../model/mod.ts";
import type { Offset } from "../../model/mod.ts";
import type { Clock } from "../clock/mod.ts";
import type { Fleet } from "../fleet/mod.ts";
import type { FreshnessSource } from "../freshness/mod.ts";
import type { Logger } from "../logging/mod.ts";

/**
 * Maximum time for which a VM waits for the state of others. The platform
 * guarantees that operators and servers write again within about two seconds
 * what the copy lacks.
 */
const REWRITE_MS = 2_000;
/** Interval of requests while no other VM has sent its state, in ms. */
const REQUEST_INTERVAL_MS = 200;

/** Dependencies of {@linkcode RestoredStore}. */
export interface RestoredStoreDependencies {
  readonly clock: Clock;
  readonly fleet: Pick<Fleet, "fetchState">;
  readonly freshness: Pick<FreshnessSource, "isFresh">;
  readonly logger: Logger;
}

/** Whether a read of the store may be applied. */
export enum RestoredReadKind {
  Usable = "usable",
  /** The read is too old; what it lacks may have been written again. */
  Outdated = "outdated",
}

interface Comparison {
  readonly era: number;
  readonly result: Promise<RestoredReadKind>;
}

/**
 * Decides when reads of a restored store may be applied.
 *
 * A copy may contain keys that were withdrawn and servers that have left. A VM
 * whose configuration is confirmed knows of that. Any other VM, such as one that
 * has just started, first gets the state of other VMs.
 */
export class RestoredStore {
  readonly #deps: RestoredStoreDependencies;
  /** Newest era whose reads may be applied. */
  #usableEra = 0;
  #comparison: Comparison | undefined;

  /** Creates an instance that only applies reads of era 0 at once. */
  constructor(deps: RestoredStoreDependencies) {
    this.#deps = deps;
  }

  /** Waits until reads in the era of the position `next` may be applied. */
  async waitUntilUsable(
    next: Offset,
    signal: AbortSignal,
  ): Promise<RestoredReadKind> {
    const era = getEra(next);
    if (era <= this.#usableEra) return RestoredReadKind.Usable;
    if (this.#deps.freshness.isFresh()) {
      this.#usableEra = era;
      return RestoredReadKind.Usable;
    }
    if (this.#comparison?.era !== era) {
      this.#comparison = { era, result: this.#fetchState(era, signal) };
    }
    const kind = await this.#comparison.result;
    this.#usableEra = Math.max(this.#usableEra, era);
    return kind;
  }

  async #fetchState(
    era: number,
    signal: AbortSignal,
  ): Promise<RestoredReadKind> {
    const { clock, fleet, freshness, logger } = this.#deps;
    logger.warn(
      "the store was restored from a copy; requesting the state of other VMs",
      { era },
    );
    const startedAt = clock.now();
    const limit = new AbortController();
    const cancelLimit = clock.startTimer(REWRITE_MS, () => limit.abort());
    const stopped = AbortSignal.any([signal, limit.signal]);
    while (!stopped.aborted) {
      const sources = await fleet.fetchState(stopped);
      if (sources > 0 || freshness.isFresh()) {
        cancelLimit();
        const waitedMs = Math.round(clock.now() - startedAt);
        logger.info("using the restored store", { era, sources, waitedMs });
        return RestoredReadKind.Usable;
      }
      await clock.sleep(REQUEST_INTERVAL_MS, stopped);
    }
    cancelLimit();
    logger.warn("no other VM has sent its state; using the restored store", {
      era,
      waitedMs: Math.round(clock.now() - startedAt),
    });
    return RestoredReadKind.Outdated;
  }
}
