/** VMs of which the directory says something else than their links. */
import type { VmName } from "../../model/mod.ts";

/** Remembers since when each VM is missing. */
export class MissingVms {
  readonly #limitMs: number;
  readonly #since = new Map<VmName, number>();

  /** Creates a memory of VMs that may be missing for `limitMs`. */
  constructor(limitMs: number) {
    this.#limitMs = limitMs;
  }

  /** Lists those of `missing` that have been away for long, each once a while. */
  listOverdue(missing: readonly VmName[], now: number): VmName[] {
    const names = new Set(missing);
    for (const name of this.#since.keys()) {
      if (!names.has(name)) this.#since.delete(name);
    }
    return missing.filter((name) => {
      const since = this.#since.get(name) ?? now;
      const isOverdue = now - since >= this.#limitMs;
      this.#since.set(name, isOverdue ? now : since);
      return isOverdue;
    });
  }

  /** Forgets all, when this VM is not the hub of its domain any more. */
  removeAll(): void {
    this.#since.clear();
  }
}
