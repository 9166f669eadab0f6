/** The VMs that have announced themselves, and their order in a domain. */
import type { VmName } from "../../model/mod.ts";
import { computeHash, listRanked } from "../hashing/mod.ts";
import type { VmEntry } from "./message.ts";

/** Number of hashes. */
const HASH_RANGE = 4_294_967_296;
/** Time after which a VM that is no hub yet is asked again, in milliseconds. */
const NO_HUB_RETRY_MS = 100;
/** Time after which a VM that could not be reached is tried again, in ms. */
const RETRY_MIN_MS = 1_000;
/** Longest such time; it doubles with each failure in a row. */
const RETRY_MAX_MS = 8_000;

interface Unreached {
  readonly failures: number;
  readonly retryAt: number;
}

/**
 * Holds entries by name, the newest start of each.
 *
 * All VMs rank the VMs of a domain alike, so that the first one that lives is
 * the hub of those that see it.
 */
export class VmList {
  readonly #entries = new Map<VmName, VmEntry>();
  readonly #unreached = new Map<VmName, Unreached>();

  /** Number of entries, those of dead VMs included. */
  get size(): number {
    return this.#entries.size;
  }

  /** Adds an entry; returns whether it was new. */
  add(entry: VmEntry): boolean {
    const known = this.#entries.get(entry.name);
    if (known !== undefined && known.incarnation >= entry.incarnation) {
      return false;
    }
    this.#entries.set(entry.name, entry);
    this.#unreached.delete(entry.name);
    return true;
  }

  /** Removes a VM that has left. */
  remove(name: VmName): void {
    this.#entries.delete(name);
  }

  /** Finds a VM by name. */
  find(name: VmName): VmEntry | undefined {
    return this.#entries.get(name);
  }

  /** Lists all entries. */
  list(): VmEntry[] {
    return [...this.#entries.values()];
  }

  /** Lists the failure domains that have VMs. */
  listDomains(): string[] {
    return [...new Set(this.list().map((entry) => entry.failureDomain))];
  }

  /**
   * Lists the VMs of a domain that may be tried now, the first in rank first.
   *
   * Those behind `before` in rank are left out.
   */
  listCandidates(domain: string, now: number, before?: VmEntry): VmEntry[] {
    const limit = before === undefined ? -1 : computeRank(before);
    return listRanked(
      this.list().filter((entry) =>
        entry.failureDomain === domain && entry.name !== before?.name &&
        computeRank(entry) > limit
      ),
      computeRank,
    ).filter((entry) =>
      now >= (this.#unreached.get(entry.name)?.retryAt ?? -Infinity)
    );
  }

  /** Records that a VM could not be reached, or is of no use as a hub. */
  recordUnreached(name: VmName, now: number): void {
    const failures = (this.#unreached.get(name)?.failures ?? 0) + 1;
    const delayMs = Math.min(RETRY_MAX_MS, RETRY_MIN_MS * 2 ** (failures - 1));
    this.#unreached.set(name, { failures, retryAt: now + delayMs });
  }

  /** Records that a VM was reached and is no hub; it may become one soon. */
  recordNoHub(name: VmName, now: number): void {
    this.#unreached.set(name, { failures: 0, retryAt: now + NO_HUB_RETRY_MS });
  }

  /** Records that a VM was reached. */
  recordReached(name: VmName): void {
    this.#unreached.delete(name);
  }
}

/** VMs of the same power of two in capacity are ranked by chance. */
function computeRank(entry: VmEntry): number {
  const step = Math.floor(Math.log2(1 + entry.capacity));
  const chance = computeHash(`hub ${entry.failureDomain} ${entry.name}`);
  return step * HASH_RANGE + chance;
}
