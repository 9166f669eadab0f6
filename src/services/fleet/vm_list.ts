/** Announced VMs, and their rank as hub of their failure domain. */
import type { VmName } from "../../model/mod.ts";
import { computeHash, listRanked } from "../hashing/mod.ts";
import type { VmEntry } from "./message.ts";

/** Number of distinct hash values (32 bits). */
const HASH_RANGE = 4_294_967_296;
/** Delay before a VM that is not yet a hub is tried again, in milliseconds. */
const NOT_HUB_RETRY_MS = 100;
/** Delay before an unreachable VM is tried again, in milliseconds. */
const RETRY_MIN_MS = 1_000;
/** Maximum of that delay, which doubles with each consecutive failure. */
const RETRY_MAX_MS = 8_000;

interface Backoff {
  readonly failures: number;
  readonly retryAt: number;
}

/**
 * Stores the entry of each VM's newest incarnation by name.
 *
 * All VMs compute the same ranking of a domain, so the highest-ranked live VM
 * becomes the hub of the VMs that can reach it.
 */
export class VmList {
  readonly #entries = new Map<VmName, VmEntry>();
  readonly #backoffs = new Map<VmName, Backoff>();
  #version = 0;

  /** Number of changes of the entries. */
  get version(): number {
    return this.#version;
  }

  /** Number of entries, including those of dead VMs. */
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
    this.#version += 1;
    this.#backoffs.delete(entry.name);
    return true;
  }

  /** Removes a VM's entry. */
  remove(name: VmName): void {
    if (this.#entries.delete(name)) this.#version += 1;
  }

  /** Finds a VM by name. */
  find(name: VmName): VmEntry | undefined {
    return this.#entries.get(name);
  }

  /** Lists all entries. */
  list(): VmEntry[] {
    return [...this.#entries.values()];
  }

  /** Lists the failure domains of all entries. */
  listDomains(): string[] {
    return [...new Set(this.list().map((entry) => entry.failureDomain))];
  }

  /** Counts the announced VMs of a failure domain, including dead ones. */
  countDomain(domain: string): number {
    let count = 0;
    for (const { failureDomain } of this.list()) {
      if (failureDomain === domain) count += 1;
    }
    return count;
  }

  /**
   * Lists the VMs of a domain that may be tried now, the highest-ranked first.
   *
   * With `reference`, lists only VMs that rank before that one.
   */
  listCandidates(domain: string, now: number, reference?: VmEntry): VmEntry[] {
    const limit = reference === undefined ? -1 : computeRank(reference);
    return listRanked(
      this.list().filter((entry) =>
        entry.failureDomain === domain && entry.name !== reference?.name &&
        computeRank(entry) > limit
      ),
      computeRank,
    ).filter((entry) =>
      now >= (this.#backoffs.get(entry.name)?.retryAt ?? -Infinity)
    );
  }

  /**
   * Lists the VMs that may be tried now: the highest-ranked of each domain, then
   * the second of each, and so on. A fault often affects a whole domain.
   */
  listAcrossDomains(now: number): VmEntry[] {
    return this.listDomains()
      .flatMap((domain) =>
        this.listCandidates(domain, now).map((vm, rank) => ({ vm, rank }))
      )
      .toSorted((left, right) => left.rank - right.rank)
      .map(({ vm }) => vm);
  }

  /** Records that a VM could not be reached or did not identify itself. */
  recordUnreachable(name: VmName, now: number): void {
    const failures = (this.#backoffs.get(name)?.failures ?? 0) + 1;
    const delayMs = Math.min(RETRY_MAX_MS, RETRY_MIN_MS * 2 ** (failures - 1));
    this.#backoffs.set(name, { failures, retryAt: now + delayMs });
  }

  /** Records that a VM is reachable but not a hub; it may become one soon. */
  recordNotHub(name: VmName, now: number): void {
    this.#backoffs.set(name, { failures: 0, retryAt: now + NOT_HUB_RETRY_MS });
  }

  /** Records that a VM is reachable and a hub. */
  recordReachable(name: VmName): void {
    this.#backoffs.delete(name);
  }
}

/** Ranks by capacity, rounded down to a power of two, then by a hash. */
function computeRank(entry: VmEntry): number {
  const capacityClass = Math.floor(Math.log2(1 + entry.capacity));
  const tieBreaker = computeHash(`hub ${entry.failureDomain} ${entry.name}`);
  return capacityClass * HASH_RANGE + tieBreaker;
}
