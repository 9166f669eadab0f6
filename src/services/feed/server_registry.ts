/** Registry of backend servers, built from the entries that they write. */
import { getEra, ServerPhase } from "../../model/mod.ts";
import type { Offset, Server, ServerId, ServiceId } from "../../model/mod.ts";
import type { Configuration } from "../configuration/mod.ts";
import { computeHash } from "../hashing/mod.ts";
import type { Logger } from "../logging/mod.ts";
import { isColdAgain } from "./cold_servers.ts";
import { MissingCause, MissingServers } from "./missing_servers.ts";
import { ServerOrigin, ServerUpdateKind } from "./source.ts";
import type {
  ServerEntry,
  ServerListing,
  ServerUpdate,
  ServerVersion,
} from "./source.ts";
import { isNewer, isRemovedAfter, Tombstones } from "./tombstones.ts";
import type { ServerTombstone } from "./tombstones.ts";

export type { ServerTombstone } from "./tombstones.ts";

/**
 * Minimum share of a service's servers whose entries must be missing together
 * for an outage of the store to be the likely cause. If the store rejected only
 * this VM, the few servers that left meanwhile must be removed at once.
 */
const OUTAGE_RATIO_MIN = 0.5;
/** Receives each change that took effect, to relay it. */
export interface RegistryListener {
  /** A server was set. */
  recordSet(listing: ServerListing): void;
  /** A server was removed. */
  recordRemoved(tombstone: ServerTombstone): void;
  /** All servers were replaced by a complete list. */
  recordReplaced(): void;
}

/** Dependencies of {@linkcode ServerRegistry}. */
export interface ServerRegistryDependencies {
  readonly configuration: Configuration;
  readonly logger: Logger;
}

/**
 * Updates the servers of the configuration from their entries.
 *
 * Changes arrive from the store and from other VMs in any order. The store's
 * records are totally ordered, so for each server the state of the newest
 * record wins, wherever it comes from. The entries of one server are ordered by
 * their versions too, because an old entry may be written late.
 */
export class ServerRegistry {
  readonly #deps: ServerRegistryDependencies;
  readonly #listed = new Map<ServerId, ServerListing>();
  readonly #tombstones = new Tombstones();
  readonly #missing = new MissingServers();
  /** Exclusive or of the entries' hashes, updated with each change. */
  #digest = 0;
  #offset: Offset = -1;
  #listener: RegistryListener | undefined;

  /** Creates an empty registry. */
  constructor(deps: ServerRegistryDependencies) {
    this.#deps = deps;
  }

  /** Offset up to which all records are known; -1 before the first read. */
  get offset(): Offset {
    return this.#offset;
  }

  /** Lists all known entries, as the initial state of another VM. */
  list(): ServerListing[] {
    return [...this.#listed.values()];
  }

  /** Lists the newest removals, which another VM may not know. */
  listRecentTombstones(): ServerTombstone[] {
    return this.#tombstones.listRecent();
  }

  /** Sets the listener of changes. */
  setListener(listener: RegistryListener): void {
    this.#listener = listener;
  }

  /** Applies an entry that another VM relayed. */
  setRelayed(listing: ServerListing, now: number): void {
    this.#setListed(listing, listing.offset, now, ServerOrigin.Hub);
    this.#advance(listing.offset, now);
  }

  /** Applies a removal that another VM relayed. */
  removeRelayed(tombstone: ServerTombstone, now: number): void {
    this.#advance(tombstone.offset, now);
    this.#mergeTombstone(tombstone, ServerOrigin.Hub);
  }

  /**
   * Applies a removal of which a follower knows. That VM may be ahead, so the
   * removal's offset does not tell up to where records are known.
   */
  removeContradicted(tombstone: ServerTombstone): void {
    this.#mergeTombstone(tombstone, ServerOrigin.Follower);
  }

  /** Records that a read of the store succeeded after an outage. */
  recordOutageEnd(now: number): void {
    this.#missing.start(MissingCause.Outage, now);
  }

  /**
   * Merges a list of all servers that is complete up to `offset`. A list of an
   * earlier era than the newest known one is ignored.
   *
   * Returns the removals that the list contradicts: its entries are older.
   */
  replaceAll(
    listings: readonly ServerListing[],
    offset: Offset,
    now: number,
    origin: ServerOrigin.Store | ServerOrigin.HubList,
    tombstones: readonly ServerTombstone[] = [],
  ): ServerTombstone[] {
    if (getEndEra(offset) < getEndEra(this.#offset)) return [];
    this.#recordEra(offset, now);
    for (const tombstone of tombstones) this.#mergeTombstone(tombstone, origin);
    const listedIds = new Set(listings.map(({ entry }) => entry.server.id));
    for (const [id, { entry, offset: listedAt }] of [...this.#listed]) {
      if (listedIds.has(id) || listedAt > offset) continue;
      switch (origin) {
        case ServerOrigin.Store:
          this.#handleMissing(id, offset, now);
          break;
        case ServerOrigin.HubList:
          // A hub that started in this era may not know the server yet.
          if (this.#missing.isGrace(MissingCause.NewEra, now)) {
            this.#handleMissing(id, offset, now);
          } else this.#removeMissing(id, entry, offset, origin);
          break;
      }
    }
    for (const listing of listings) {
      this.#setListed(listing, offset, now, origin);
    }
    const contradicted = listings
      .map(({ entry }) => this.#tombstones.find(entry.server.id))
      .filter((tombstone) => tombstone !== undefined);
    if (offset < this.#offset) return contradicted;
    this.#offset = offset;
    this.#listener?.recordReplaced();
    return contradicted;
  }

  /** Removes all state, when the store has been replaced by another one. */
  removeAll(): void {
    for (const id of this.#listed.keys()) {
      this.#deps.configuration.removeServer(id);
    }
    this.#listed.clear();
    this.#tombstones.removeAll();
    this.#missing.removeAll();
    this.#digest = 0;
    this.#offset = -1;
  }

  /** Returns a digest that is equal on VMs with the same servers. */
  computeDigest(): number {
    return this.#digest >>> 0;
  }

  /** Applies one update; idempotent. */
  apply(update: ServerUpdate, now: number): void {
    if (getEndEra(update.offset) < getEndEra(this.#offset)) return;
    this.#recordEra(update.offset, now);
    switch (update.kind) {
      case ServerUpdateKind.Listed:
        this.#setListed(update, update.offset, now, ServerOrigin.Store);
        break;
      case ServerUpdateKind.Removed:
        this.#handleMissing(update.id, update.offset, now);
        break;
      case ServerUpdateKind.Unreadable:
        this.#deps.logger.warn(
          "a server's entry is unreadable; handling it as missing",
          {
            server: update.id,
            reason: update.reason,
            offset: update.offset,
          },
        );
        this.#handleMissing(update.id, update.offset, now);
        break;
    }
    this.#offset = Math.max(this.#offset, update.offset);
  }

  /** Whether servers are retained although their entries expired. */
  get hasExpired(): boolean {
    return this.#missing.size > 0;
  }

  /**
   * Removes expired servers that are too few of their service for an outage to
   * be the likely cause. Called after a read was applied.
   */
  removeFewExpired(): void {
    const known = this.#countByService(this.#listed.keys());
    const expired = this.#countByService(
      this.#missing.list().map(({ id }) => id),
    );
    for (const { id, cause, offset } of this.#missing.list()) {
      const entry = this.#listed.get(id)?.entry;
      if (entry === undefined || cause === MissingCause.NewEra) continue;
      const { service } = entry.server;
      const ratio = (expired.get(service) ?? 0) / (known.get(service) ?? 1);
      if (ratio < OUTAGE_RATIO_MIN) {
        this.#removeMissing(id, entry, offset, ServerOrigin.Store);
      }
    }
  }

  #countByService(ids: Iterable<ServerId>): Map<ServiceId, number> {
    const counts = new Map<ServiceId, number>();
    for (const id of ids) {
      const service = this.#listed.get(id)?.entry.server.service ?? "";
      counts.set(service, (counts.get(service) ?? 0) + 1);
    }
    return counts;
  }

  /** Removes expired servers whose grace period has ended. */
  removeExpired(now: number): void {
    for (const { id, until, offset } of this.#missing.list()) {
      const entry = this.#listed.get(id)?.entry;
      if (now < until || entry === undefined) continue;
      this.#removeMissing(id, entry, offset, ServerOrigin.Outage);
    }
  }

  /** Sets a server from a source that knows all records up to `knownUpTo`. */
  #setListed(
    listing: ServerListing,
    knownUpTo: Offset,
    now: number,
    origin: ServerOrigin,
  ): void {
    const { configuration, logger } = this.#deps;
    const { entry, offset } = listing;
    const { id } = entry.server;
    const earlier = this.#listed.get(id);
    if (!this.#hasNewState(listing, knownUpTo)) {
      this.#removeConfirmed(listing, earlier);
      return;
    }
    this.#replaceInDigest(earlier?.entry, entry);
    this.#listed.set(id, listing);
    this.#tombstones.remove(id);
    this.#missing.remove(id);
    const known = configuration.state.servers.get(id);
    const isSameStart = earlier?.entry.startedAt === entry.startedAt;
    if (
      known !== undefined && isSameStart &&
      isUnchanged(known, entry.server) &&
      !isColdAgain(known, entry.server, now)
    ) {
      return;
    }
    configuration.setServer({
      ...entry.server,
      startedAt: entry.startedAt,
      revision: offset,
      listedAt: now,
    });
    this.#listener?.recordSet(listing);
    logger.info("a server's entry changed", {
      server: id,
      service: entry.server.service,
      phase: entry.server.phase,
      earlier: known?.phase ?? "none",
      origin,
      address: `${entry.server.host}:${entry.server.port}`,
      coldMs: entry.server.coldMs ?? 0,
      offset,
    });
  }

  /** Applies a removal that another VM knows, unless a newer entry is known. */
  #mergeTombstone(tombstone: ServerTombstone, origin: ServerOrigin): void {
    const { id, offset } = tombstone;
    const listing = this.#listed.get(id);
    if (listing === undefined) {
      const known = this.#tombstones.find(id);
      const isNew = known === undefined || isNewer(tombstone, known);
      if (isNew) this.#tombstones.set(tombstone);
      return;
    }
    if (!isRemovedAfter(tombstone, listing)) return;
    const last = isNewer(tombstone, listing.entry) ? tombstone : listing.entry;
    this.#removeMissing(id, last, offset, origin);
  }

  /** Ends the grace period of a server whose entry was found again. */
  #removeConfirmed(listing: ServerListing, known?: ServerListing): void {
    const { id } = listing.entry.server;
    const missing = this.#missing.find(id);
    if (missing === undefined || known === undefined) return;
    if (listing.offset <= missing.offset) return;
    if (!isNewer(known.entry, listing.entry)) this.#missing.remove(id);
  }

  /** Records that all records up to `offset` are known. */
  #advance(offset: Offset, now: number): void {
    this.#recordEra(offset, now);
    this.#offset = Math.max(this.#offset, offset);
  }

  /** Starts the grace period if `offset` is of a new era. */
  #recordEra(offset: Offset, now: number): void {
    const isFirst = this.#offset === -1;
    if (isFirst || getEndEra(offset) <= getEndEra(this.#offset)) return;
    this.#missing.start(MissingCause.NewEra, now);
  }

  /** Whether an entry is newer than what is known of its server. */
  #hasNewState({ entry, offset }: ServerListing, knownUpTo: Offset): boolean {
    const { id } = entry.server;
    const listed = this.#listed.get(id);
    if (listed !== undefined) return isNewer(entry, listed.entry);
    const tombstone = this.#tombstones.find(id);
    if (tombstone !== undefined) {
      return offset > tombstone.offset && isNewer(entry, tombstone);
    }
    // A server without entry or tombstone did not exist at this VM's offset.
    return offset > this.#offset || knownUpTo >= this.#offset;
  }

  /**
   * Handles an entry that is missing at `offset`: removes its server, or
   * retains it for a grace period if the entry may have expired in an outage.
   */
  #handleMissing(id: ServerId, offset: Offset, now: number): void {
    const listing = this.#listed.get(id);
    if (listing === undefined || listing.offset > offset) return;
    const { entry } = listing;
    const isActive = entry.server.phase === ServerPhase.Active;
    if (isActive && this.#missing.tryAdd(id, offset, now)) return;
    this.#removeMissing(id, entry, offset, ServerOrigin.Store);
  }

  /** Removes a server and adds a tombstone with its `last` version. */
  #removeMissing(
    id: ServerId,
    last: ServerVersion,
    offset: Offset,
    origin: ServerOrigin,
  ): void {
    const entry = this.#listed.get(id)?.entry;
    const reason = this.#missing.find(id)?.cause ?? "removed";
    const { startedAt, sequence } = last;
    const tombstone = { id, offset, startedAt, sequence };
    this.#listed.delete(id);
    this.#replaceInDigest(entry, undefined);
    this.#missing.remove(id);
    this.#tombstones.set(tombstone);
    this.#deps.configuration.removeServer(id);
    this.#listener?.recordRemoved(tombstone);
    this.#deps.logger.info("a server's entry was removed", {
      server: id,
      reason,
      earlier: entry?.server.phase ?? "none",
      origin,
      offset,
    });
  }

  #replaceInDigest(
    earlier: ServerEntry | undefined,
    entry: ServerEntry | undefined,
  ): void {
    const before = earlier && formatForDigest(earlier);
    const after = entry && formatForDigest(entry);
    if (before === after) return;
    if (before !== undefined) this.#digest ^= computeHash(before);
    if (after !== undefined) this.#digest ^= computeHash(after);
  }
}

/**
 * Returns the era in which a list complete up to `offset` was read. The offset
 * after it decides: an empty topic is complete up to the end of the last era.
 */
function getEndEra(offset: Offset): number {
  return getEra(offset + 1);
}

/** Formats what must be equal on all VMs; heartbeats do not change it. */
function formatForDigest({ server, startedAt }: ServerEntry): string {
  const { id, phase, host, port } = server;
  return `${id} ${phase} ${host}:${port} ${startedAt}`;
}

/** Whether an entry changes nothing, except for the remaining cold time. */
function isUnchanged(known: Server, listed: ServerEntry["server"]): boolean {
  return known.service === listed.service && known.host === listed.host &&
    known.port === listed.port && known.phase === listed.phase &&
    known.slots === listed.slots &&
    known.failureDomain === listed.failureDomain;
}
