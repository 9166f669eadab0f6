/** Tokens that followers have prefetched; they reduce their hub's capacity. */
import type { VmName } from "../../model/mod.ts";

interface VmTokens {
  readonly count: number;
  readonly expiresAt: number;
}

/** Tracks prefetched tokens by VM until they expire. */
export class OutstandingTokens {
  /** Ordered by expiry. */
  readonly #byVm = new Map<VmName, VmTokens>();
  #total = 0;

  /** Sets the number of tokens that a VM has; replaces the previous one. */
  set(vm: VmName, count: number, expiresAt: number): void {
    this.#remove(vm);
    if (count === 0) return;
    this.#byVm.set(vm, { count, expiresAt });
    this.#total += count;
  }

  /** Counts the tokens that have not expired at `now`. */
  count(now: number): number {
    for (const [vm, { expiresAt }] of this.#byVm) {
      if (now < expiresAt) break;
      this.#remove(vm);
    }
    return this.#total;
  }

  #remove(vm: VmName): void {
    const entry = this.#byVm.get(vm);
    if (entry === undefined) return;
    this.#byVm.delete(vm);
    this.#total -= entry.count;
  }
}
