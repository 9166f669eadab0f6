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
  readonly #seen = new Map<UsageOrigin, UsageTable>();
  readonly #credited = new Map<UsageOrigin, UsageTable>();
  readonly #totals: UsageTable = new Map();

  /**
   * Records the newest counts of an origin.
   *
   * The first counts of an origin only set the baseline: earlier counts were
   * recorded by another hub, or by none.
   */
  record(origin: UsageOrigin, usage: readonly Usage[]): void {
    const isNew = !this.#seen.has(origin);
    const seen = getTable(this.#seen, origin);
    const credited = getTable(this.#credited, origin);
    for (const { name, admitted, asked } of usage) {
      const before = seen.get(name) ??
        (isNew ? { admitted, asked } : { admitted: 0, asked: 0 });
      const growth = {
        admitted: admitted - before.admitted,
        asked: asked - before.asked,
      };
      seen.set(name, { admitted, asked });
      addCounts(credited, name, growth);
      addCounts(this.#totals, name, growth);
    }
  }

  /** Removes an origin; its increases remain in the sums. */
  remove(origin: UsageOrigin): void {
    this.#seen.delete(origin);
    this.#credited.delete(origin);
  }

  /** Lists the sums over all origins except `origin`, for all names. */
  listOthers(origin: UsageOrigin): Usage[] {
    const own = this.#credited.get(origin);
    return [...this.#totals].map(([name, total]) => ({
      name,
      admitted: total.admitted - (own?.get(name)?.admitted ?? 0),
      asked: total.asked - (own?.get(name)?.asked ?? 0),
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
  growth: UsageCounts,
): void {
  const counts = table.get(name) ?? { admitted: 0, asked: 0 };
  counts.admitted += growth.admitted;
  counts.asked += growth.asked;
  table.set(name, counts);
}
