/** Increase of the other VMs' counts since the last report. */
import type { Usage } from "./message.ts";

/** Stores the counts of the last report to compute their increase. */
export class UsageDeltas {
  readonly #received = new Map<string, Usage>();

  /**
   * Lists the increase of each count.
   *
   * The first report of a hub only sets the baseline: earlier counts were
   * reported by another hub, or by none.
   */
  listDeltas(others: readonly Usage[], isFirst: boolean): Usage[] {
    if (isFirst) this.#received.clear();
    const deltas: Usage[] = [];
    for (const usage of others) {
      const previous = this.#received.get(usage.name);
      this.#received.set(usage.name, usage);
      if (isFirst) continue;
      deltas.push({
        name: usage.name,
        admitted: usage.admitted - (previous?.admitted ?? 0),
        asked: usage.asked - (previous?.asked ?? 0),
      });
    }
    return deltas;
  }
}
