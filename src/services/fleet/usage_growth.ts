/** Increase of the other VMs' counts since the last report. */
import type { Usage } from "./message.ts";

/** Stores the counts of the last report to compute their increase. */
export class UsageGrowth {
  readonly #heard = new Map<string, Usage>();

  /**
   * Lists the increase of each count.
   *
   * The first report of a hub only sets the baseline: earlier counts were
   * reported by another hub, or by none.
   */
  listGrowth(others: readonly Usage[], isFirst: boolean): Usage[] {
    if (isFirst) this.#heard.clear();
    const growth: Usage[] = [];
    for (const usage of others) {
      const before = this.#heard.get(usage.name);
      this.#heard.set(usage.name, usage);
      if (isFirst) continue;
      growth.push({
        name: usage.name,
        admitted: usage.admitted - (before?.admitted ?? 0),
        asked: usage.asked - (before?.asked ?? 0),
      });
    }
    return growth;
  }
}
