/** Sums the counts of all VMs from cumulative counts that each VM reports. */
import type { Usage } from "./message.ts";

/** Sender of counts: an incarnation of a VM or of another domain's hub. */
export type UsageOrigin = string;

/** Counts of one name; see {@linkcode Usage}. */
export interface UsageCounts {
  admitted: number;
  asked: number;
}

/** Counts by name. */
export type UsageTable = Map<string, UsageCounts>;

/** Sums the increases of each origin's counts. */
export class UsageLedger {
  readonly #lastCounts = new Map<UsageOrigin, UsageTable>();
  readonly #originTotals = new Map<UsageOrigin, UsageTable>();
  readonly #totals: UsageTable = new Map();

  /**
   * Records the newest counts of an origin.
   *
   * The first counts of an origin only set the baseline: earlier counts were
   * recorded by another hub, or by none.
   */
  record(origin: UsageOrigin, usage: readonly Usage[]): void {
    const isNew = !this.#lastCounts.has(origin);
    const lastCounts = getTable(this.#lastCounts, origin);
    const originTotals = getTable(this.#originTotals, origin);
    for (const { name, admitted, asked } of usage) {
      const previous = lastCounts.get(name) ??
        (isNew ? { admitted, asked } : { admitted: 0, asked: 0 });
      const delta = {
        admitted: admitted - previous.admitted,
        asked: asked - previous.asked,
      };
      lastCounts.set(name, { admitted, asked });
      addCounts(originTotals, name, delta);
      addCounts(this.#totals, name, delta);
    }
  }

  /** Removes an origin; its increases remain in the sums. */
  remove(origin: UsageOrigin): void {
    this.#lastCounts.delete(origin);
    this.#originTotals.delete(origin);
  }

  /** Lists the sums over all origins except `origin`, for all names. */
  listOthers(origin: UsageOrigin): Usage[] {
    const excluded = this.#originTotals.get(origin);
    return [...this.#totals].map(([name, total]) => ({
      name,
      admitted: total.admitted - (excluded?.get(name)?.admitted ?? 0),
      asked: total.asked - (excluded?.get(name)?.asked ?? 0),
    }));
  }
}

function getTable(
  tables: Map<UsageOrigin, UsageTable>,
  origin: UsageOrigin,
): UsageTable {
  const existing = tables.get(origin);
  if (existing !== undefined) return existing;
  const created: UsageTable = new Map();
  tables.set(origin, created);
  return created;
}

function addCounts(
  table: UsageTable,
  name: string,
  delta: UsageCounts,
): void {
  const counts = table.get(name) ?? { admitted: 0, asked: 0 };
  counts.admitted += delta.admitted;
  counts.asked += delta.asked;
  table.set(name, counts);
}
