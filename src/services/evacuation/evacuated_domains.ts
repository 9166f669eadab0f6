/** Evacuated failure domains as read from the store, by this VM or its hub. */
import { getEra } from "../../model/mod.ts";
import type { Offset } from "../../model/mod.ts";
import { EvacuationUpdateKind } from "../feed/source.ts";
import type { EvacuationUpdate } from "../feed/source.ts";
import type { Logger } from "../logging/mod.ts";
import { Counter } from "../metrics/mod.ts";
import type { Metrics } from "../metrics/mod.ts";
import type { EvacuationListener, EvacuationView } from "./mod.ts";

/**
 * Time for which an evacuation is kept that a restored store does not contain.
 * The operator writes it again; the store's instability extends the time in
 * which an evacuation takes effect by as much.
 */
const GRACE_MS = 5_000;

/** An evacuated domain with the offset of its record. */
export interface EvacuatedDomain {
  readonly domain: string;
  readonly offset: Offset;
}

interface HeldDomain extends EvacuatedDomain {
  /**
   * Monotonic time at which it is restored unless a record evacuates it again;
   * infinite if the records contain it.
   */
  readonly missingUntil: number;
}

/** Dependencies of {@linkcode EvacuatedDomains}. */
export interface EvacuatedDomainsDependencies {
  readonly metrics: Metrics;
  readonly logger: Logger;
}

/** Holds the evacuated domains and the offset up to which they are known. */
export class EvacuatedDomains implements EvacuationView {
  readonly #deps: EvacuatedDomainsDependencies;
  readonly #domains = new Map<string, HeldDomain>();
  /** Offsets up to which the newest evacuation of a domain has ended. */
  readonly #ended = new Map<string, Offset>();
  readonly #listeners = new Set<EvacuationListener>();
  #upTo: Offset = -1;
  #changedAt: Offset = -1;

  /** Creates an empty set, of which nothing is known yet. */
  constructor(deps: EvacuatedDomainsDependencies) {
    this.#deps = deps;
  }

  /** Offset up to which the records are known; -1 before the first read. */
  get upTo(): Offset {
    return this.#upTo;
  }

  /** Offset up to which a VM must know the records to have the same set. */
  get changedAt(): Offset {
    return this.#changedAt;
  }

  isEvacuated(domain: string): boolean {
    return this.#domains.has(domain);
  }

  listDomains(): string[] {
    return [...this.#domains.keys()];
  }

  /** Lists the evacuated domains with the offsets of their records. */
  list(): EvacuatedDomain[] {
    return [...this.#domains.values()]
      .map(({ domain, offset }) => ({ domain, offset }));
  }

  /** Lists the domains that are held although no record evacuates them. */
  listRetained(): EvacuatedDomain[] {
    return [...this.#domains.values()]
      .filter(({ missingUntil }) => missingUntil < Infinity)
      .map(({ domain, offset }) => ({ domain, offset }));
  }

  addListener(listener: EvacuationListener): void {
    this.#listeners.add(listener);
  }

  /**
   * Applies one record, unless a newer one of the domain is known. Records of
   * several domains may arrive out of order while newest records are read.
   */
  apply(update: EvacuationUpdate): void {
    const { domain, offset } = update;
    const evacuatedAt = this.#domains.get(domain)?.offset ?? -1;
    const endedAt = this.#ended.get(domain) ?? -1;
    if (offset <= Math.max(evacuatedAt, endedAt)) return;
    this.advance(offset);
    switch (update.kind) {
      case EvacuationUpdateKind.Evacuated:
        return this.#recordChange(this.#set(domain, offset, Infinity));
      case EvacuationUpdateKind.Restored:
        return this.#recordChange(
          this.#remove(domain, offset, "restored by the operator"),
        );
    }
  }

  /** Records that all records up to `upTo` have been applied. */
  advance(upTo: Offset): void {
    this.#upTo = Math.max(this.#upTo, upTo);
  }

  /**
   * Replaces the set by one that is complete up to `upTo`, unless more is known.
   * In a new era, domains that it lacks are held for a while.
   */
  replaceAll(
    domains: readonly EvacuatedDomain[],
    upTo: Offset,
    now: number,
  ): void {
    if (upTo < this.#upTo) return;
    const isFirst = this.#upTo === -1;
    const isNewEra = getEra(upTo + 1) > getEra(this.#upTo + 1);
    this.#upTo = upTo;
    const listed = new Set(domains.map(({ domain }) => domain));
    const missing = [...this.#domains.values()]
      .filter(({ domain }) => !listed.has(domain));
    // Followers need a list of the new era, or any, to compare with theirs.
    let isChanged = isFirst || isNewEra;
    for (const { domain, offset, missingUntil } of missing) {
      const until = isNewEra ? now + GRACE_MS : missingUntil;
      isChanged = (now < until && until < Infinity
        ? this.#set(domain, offset, until)
        : this.#remove(domain, upTo, "not in the newest records")) ||
        isChanged;
    }
    for (const { domain, offset } of domains) {
      isChanged = this.#set(domain, offset, Infinity) || isChanged;
    }
    this.#recordChange(isChanged);
  }

  /** Holds domains that a follower knew before the store was restored. */
  addRetained(domains: readonly EvacuatedDomain[], now: number): void {
    const unknown = domains.filter(({ domain, offset }) =>
      !this.#domains.has(domain) && offset > (this.#ended.get(domain) ?? -1)
    );
    for (const { domain, offset } of unknown) {
      this.#set(domain, offset, now + GRACE_MS);
    }
    this.#recordChange(unknown.length > 0);
  }

  /** Restores domains that no record has evacuated again in time. */
  removeExpired(now: number): void {
    const expired = [...this.#domains.values()]
      .filter(({ missingUntil }) => now >= missingUntil);
    for (const { domain } of expired) {
      this.#remove(domain, this.#upTo, "not in the newest records");
    }
    this.#recordChange(expired.length > 0);
  }

  /** Sets a domain; returns whether it was not evacuated before. */
  #set(domain: string, offset: Offset, missingUntil: number): boolean {
    const isNew = !this.#domains.has(domain);
    this.#domains.set(domain, { domain, offset, missingUntil });
    if (!isNew) return false;
    this.#deps.metrics.add(Counter.Evacuations, "evacuated");
    this.#deps.logger.warn("a failure domain is evacuated", { domain, offset });
    return true;
  }

  /**
   * Removes a domain whose evacuation has ended at `offset`; returns whether it
   * was evacuated before.
   */
  #remove(domain: string, offset: Offset, reason: string): boolean {
    this.#ended.set(domain, offset);
    if (!this.#domains.delete(domain)) return false;
    this.#deps.metrics.add(Counter.Evacuations, "restored");
    this.#deps.logger.warn("a failure domain is in use again", {
      domain,
      reason,
      offset,
    });
    return true;
  }

  #recordChange(isChanged: boolean): void {
    if (!isChanged) return;
    this.#changedAt = this.#upTo;
    for (const listener of this.#listeners) listener();
  }
}
