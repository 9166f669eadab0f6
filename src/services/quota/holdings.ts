/** Tokens that followers hold ready, for which their hub has no room. */
import type { VmName } from "../../model/mod.ts";

interface Holding {
  readonly count: number;
  readonly expiresAt: number;
}

/** Remembers them by VM, until they can't be spent any more. */
export class Holdings {
  /** In the order in which they expire. */
  readonly #byVm = new Map<VmName, Holding>();
  #total = 0;

  /** Records that a VM holds `count` tokens, and none that it held before. */
  set(vm: VmName, count: number, expiresAt: number): void {
    this.#remove(vm);
    if (count === 0) return;
    this.#byVm.set(vm, { count, expiresAt });
    this.#total += count;
  }

  /** Counts the tokens that may be held at `now`. */
  count(now: number): number {
    for (const [vm, { expiresAt }] of this.#byVm) {
      if (now < expiresAt) break;
      this.#remove(vm);
    }
    return this.#total;
  }

  #remove(vm: VmName): void {
    const holding = this.#byVm.get(vm);
    if (holding === undefined) return;
    this.#byVm.delete(vm);
    this.#total -= holding.count;
  }
}
