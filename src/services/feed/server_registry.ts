/** The servers that registered themselves, as their entries say. */
import { ServerPhase } from "../../model/mod.ts";
import type { Offset, Server, ServerId, ServiceId } from "../../model/mod.ts";
import type { Configuration } from "../configuration/mod.ts";
import { computeHash } from "../hashing/mod.ts";
import type { Logger } from "../logging/mod.ts";
import { ServerOrigin, ServerUpdateKind } from "./source.ts";
import type {
  ServerEntry,
  ServerListing,
  ServerUpdate,
  ServerVersion,
} from "./source.ts";

/**
 * Time after an outage of the store in which an entry that lapsed may come
 * back; the platform promises about two seconds.
 */
const LAPSE_GRACE_MS = 2_200;
/**
 * Part of a service's servers that must have vanished together for an outage of
 * the store to be the likely cause. Where the store has turned this VM alone
 * away, those few that left meanwhile are gone for good.
 */
const LAPSE_RATIO_MIN = 0.5;
/** Entries of servers that are gone, kept to recognize late ones. */
const GONE_ENTRIES_KEPT = 10_000;

/** A server that is gone: since which record, and its newest entry's version. */
export interface GoneServer extends ServerVersion {
  readonly id: ServerId;
  readonly offset: Offset;
}

/** A server that is kept for a while although its entry is missing. */
interface LapsedServer {
  /** Offset at which the entry was missing. */
  readonly offset: Offset;
  /** When it is taken for gone. */
  readonly until: number;
}

/** Told of each change that took effect, to pass it on. */
export interface RegistryListener {
  /** A server was set. */
  recordSet(listing: ServerListing): void;
  /** A server was removed. */
  recordRemoved(server: GoneServer): void;
  /** All servers were read anew. */
  recordReplaced(): void;
}

/** What the registry works with. */
export interface ServerRegistryParts {
  readonly configuration: Configuration;
  readonly logger: Logger;
}

/**
 * Keeps the servers of the configuration in step with their entries.
 *
 * Changes come from the store and from other VMs in any order. The store's
 * records are in one order, so for each server the state of the newest record
 * wins, whoever tells of it. Entries of one server are also ordered by the
 * server itself, since an old one may be written late.
 */
export class ServerRegistry {
  readonly #parts: ServerRegistryParts;
  readonly #listed = new Map<ServerId, ServerListing>();
  readonly #gone = new Map<ServerId, GoneServer>();
  readonly #lapsed = new Map<ServerId, LapsedServer>();
  /** Exclusive or of the entries' hashes, kept as they change. */
  #digest = 0;
  #offset: Offset = -1;
  /** Until when a lapsed entry is taken for an effect of an outage. */
  #graceUntil = -Infinity;
  #listener: RegistryListener | undefined;

  /** Creates a registry without servers. */
  constructor(parts: ServerRegistryParts) {
    this.#parts = parts;
  }

  /** Offset up to which all records are known; -1 before the first. */
  get offset(): Offset {
    return this.#offset;
  }

  /** Lists what is known, for another VM to start from. */
  list(): ServerListing[] {
    return [...this.#listed.values()];
  }

  /** Sets who is told of changes. */
  setListener(listener: RegistryListener): void {
    this.#listener = listener;
  }

  /** Sets a server as another VM has it. */
  setPassed(listing: ServerListing, now: number): void {
    this.#setListed(listing, listing.offset, now, ServerOrigin.Hub);
    this.#offset = Math.max(this.#offset, listing.offset);
  }

  /** Removes a server as another VM did. */
  removePassed(server: GoneServer): void {
    this.#offset = Math.max(this.#offset, server.offset);
    const listing = this.#listed.get(server.id);
    if (listing === undefined || listing.offset >= server.offset) return;
    const last = isNewer(server, listing.entry) ? server : listing.entry;
    this.#settleGone(server.id, last, server.offset, ServerOrigin.Hub);
  }

  /** Records that the store has answered again after an outage. */
  recordOutageEnd(now: number): void {
    const until = now + LAPSE_GRACE_MS;
    this.#graceUntil = until;
    for (const [id, lapsed] of this.#lapsed) {
      this.#lapsed.set(id, { ...lapsed, until });
    }
  }

  /** Merges the list of all servers as it stood at `offset`. */
  replaceAll(
    listings: readonly ServerListing[],
    offset: Offset,
    now: number,
    origin: ServerOrigin.Store | ServerOrigin.HubList,
  ): void {
    const kept = new Set(listings.map(({ entry }) => entry.server.id));
    for (const [id, { entry, offset: listedAt }] of [...this.#listed]) {
      if (kept.has(id) || listedAt > offset) continue;
      switch (origin) {
        case ServerOrigin.Store:
          this.#removeListed(id, offset, now);
          break;
        case ServerOrigin.HubList:
          this.#settleGone(id, entry, offset, origin);
          break;
      }
    }
    for (const listing of listings) {
      this.#setListed(listing, offset, now, origin);
    }
    if (offset < this.#offset) return;
    this.#offset = offset;
    this.#listener?.recordReplaced();
  }

  /** Forgets all servers, when the store turns out to be another one. */
  removeAll(): void {
    for (const id of this.#listed.keys()) {
      this.#parts.configuration.removeServer(id);
    }
    this.#listed.clear();
    this.#gone.clear();
    this.#lapsed.clear();
    this.#digest = 0;
    this.#offset = -1;
  }

  /** Computes a digest that is equal where the servers in use are. */
  computeDigest(): number {
    return this.#digest >>> 0;
  }

  /** Applies one update; one that was applied before changes nothing. */
  apply(update: ServerUpdate, now: number): void {
    switch (update.kind) {
      case ServerUpdateKind.Listed:
        this.#setListed(update, update.offset, now, ServerOrigin.Store);
        break;
      case ServerUpdateKind.Removed:
        this.#removeListed(update.id, update.offset, now);
        break;
      case ServerUpdateKind.Unreadable:
        this.#parts.logger.warn("an entry names no usable server", {
          server: update.id,
          reason: update.reason,
          offset: update.offset,
        });
        this.#removeListed(update.id, update.offset, now);
        break;
    }
    this.#offset = Math.max(this.#offset, update.offset);
  }

  /** Whether servers are kept although their entry is missing. */
  get hasLapsed(): boolean {
    return this.#lapsed.size > 0;
  }

  /** Removes servers that have vanished alone, after a read was applied. */
  settleFew(): void {
    const known = this.#countByService(this.#listed.keys());
    const lapsed = this.#countByService(this.#lapsed.keys());
    for (const [id, { offset }] of [...this.#lapsed]) {
      const entry = this.#listed.get(id)?.entry;
      if (entry === undefined) continue;
      const { service } = entry.server;
      const ratio = (lapsed.get(service) ?? 0) / (known.get(service) ?? 1);
      if (ratio < LAPSE_RATIO_MIN) {
        this.#settleGone(id, entry, offset, ServerOrigin.Store);
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

  /** Removes servers whose entry has not come back after an outage. */
  removeLapsed(now: number): void {
    for (const [id, { until, offset }] of [...this.#lapsed]) {
      const entry = this.#listed.get(id)?.entry;
      if (now < until || entry === undefined) continue;
      this.#settleGone(id, entry, offset, ServerOrigin.Outage);
    }
  }

  /** Sets a server as somebody has it who knows all records up to `knownTo`. */
  #setListed(
    listing: ServerListing,
    knownTo: Offset,
    now: number,
    origin: ServerOrigin,
  ): void {
    if (!this.#isNews(listing, knownTo)) return;
    const { configuration, logger } = this.#parts;
    const { entry, offset } = listing;
    const { id } = entry.server;
    const earlier = this.#listed.get(id);
    this.#replaceInDigest(earlier?.entry, entry);
    this.#listed.set(id, listing);
    this.#gone.delete(id);
    this.#lapsed.delete(id);
    const known = configuration.state.servers.get(id);
    const isSameStart = earlier?.entry.startedAt === entry.startedAt;
    if (known !== undefined && isSameStart && isAlike(known, entry.server)) {
      return;
    }
    configuration.setServer({
      ...entry.server,
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
      offset,
    });
  }

  /** Whether an entry tells more than is known of its server. */
  #isNews({ entry, offset }: ServerListing, knownTo: Offset): boolean {
    const { id } = entry.server;
    const listed = this.#listed.get(id);
    if (listed !== undefined) return isNewer(entry, listed.entry);
    const gone = this.#gone.get(id);
    if (gone !== undefined) {
      return offset > gone.offset && isNewer(entry, gone);
    }
    // A server that is not listed did not exist at this VM's own offset.
    return offset > this.#offset || knownTo >= this.#offset;
  }

  /** Removes a server whose entry the store has no more at `offset`. */
  #removeListed(id: ServerId, offset: Offset, now: number): void {
    const listing = this.#listed.get(id);
    if (listing === undefined || listing.offset > offset) return;
    const { entry } = listing;
    const isActive = entry.server.phase === ServerPhase.Active;
    if (!isActive || now >= this.#graceUntil) {
      return this.#settleGone(id, entry, offset, ServerOrigin.Store);
    }
    if (this.#lapsed.has(id)) return;
    this.#lapsed.set(id, { offset, until: this.#graceUntil });
  }

  #settleGone(
    id: ServerId,
    last: ServerVersion,
    offset: Offset,
    origin: ServerOrigin,
  ): void {
    const entry = this.#listed.get(id)?.entry;
    const reason = this.#lapsed.has(id) ? "missing after an outage" : "removed";
    const { startedAt, sequence } = last;
    const gone = { id, offset, startedAt, sequence };
    this.#listed.delete(id);
    this.#replaceInDigest(entry, undefined);
    this.#lapsed.delete(id);
    this.#gone.set(id, gone);
    this.#removeOldest();
    this.#parts.configuration.removeServer(id);
    this.#listener?.recordRemoved(gone);
    this.#parts.logger.info("a server's entry is gone", {
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

  #removeOldest(): void {
    if (this.#gone.size <= GONE_ENTRIES_KEPT) return;
    const oldest = this.#gone.keys().next();
    if (!oldest.done) this.#gone.delete(oldest.value);
  }
}

/** Formats what two VMs must know alike of a server; no heartbeat changes it. */
function formatForDigest({ server, startedAt }: ServerEntry): string {
  const { id, phase, host, port } = server;
  return `${id} ${phase} ${host}:${port} ${startedAt}`;
}

/** Whether a server wrote an entry after another one of its own. */
function isNewer(entry: ServerVersion, earlier: ServerVersion): boolean {
  if (entry.startedAt !== earlier.startedAt) {
    return entry.startedAt > earlier.startedAt;
  }
  return entry.sequence > earlier.sequence;
}

/** Whether an entry says nothing new; the cold time shrinks by itself. */
function isAlike(known: Server, listed: ServerEntry["server"]): boolean {
  return known.service === listed.service && known.host === listed.host &&
    known.port === listed.port && known.phase === listed.phase &&
    known.slots === listed.slots &&
    known.failureDomain === listed.failureDomain;
}
