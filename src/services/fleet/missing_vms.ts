/** VMs that are missing from the links or from the directory. */
import type { VmName } from "../../model/mod.ts";

/** Tracks since when each VM has been missing. */
export class MissingVms {
  readonly #limitMs: number;
  readonly #since = new Map<VmName, number>();

  /** Creates a tracker of VMs that are overdue after `limitMs` milliseconds. */
  constructor(limitMs: number) {
    this.#limitMs = limitMs;
  }

  /**
   * Lists the VMs of `missing` that have been missing for the limit, at most
   * `maxCount` of them. A VM is listed again only after another such period.
   */
  listOverdue(
    missing: readonly VmName[],
    now: number,
    maxCount = Infinity,
  ): VmName[] {
    const names = new Set(missing);
    for (const name of this.#since.keys()) {
      if (!names.has(name)) this.#since.delete(name);
    }
    let count = 0;
    return missing.filter((name) => {
      const since = this.#since.get(name) ?? now;
      const isOverdue = now - since >= this.#limitMs && count < maxCount;
      if (isOverdue) count += 1;
      this.#since.set(name, isOverdue ? now : since);
      return isOverdue;
    });
  }

  /** Removes all VMs, for a VM that is not the hub of its domain. */
  removeAll(): void {
    this.#since.clear();
  }
}
