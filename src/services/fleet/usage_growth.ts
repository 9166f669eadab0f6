/** What the other VMs' counts have grown by since they were heard before. */
import type { Usage } from "./message.ts";

/** Remembers the counts that were heard last. */
export class UsageGrowth {
  readonly #heard = new Map<string, Usage>();

  /**
   * Lists what has been added to each count.
   *
   * The first counts of a hub are where it is counted from: what lies before was
   * heard from another hub, or from nobody.
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
