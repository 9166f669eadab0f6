/** The servers that registered themselves, as their entries say. */
import { ServerPhase } from "../../model/mod.ts";
import type { Offset, Server, ServerId, ServiceId } from "../../model/mod.ts";
import type { Configuration } from "../configuration/mod.ts";
import { computeHash } from "../hashing/mod.ts";
import type { Logger } from "../logging/mod.ts";
import { ServerOrigin, ServerUpdateKind } from "./source.ts";
import type { ServerEntry, ServerUpdate } from "./source.ts";

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

/** Told of each change that took effect, to pass it on. */
export interface RegistryListener {
  /** A server was set. */
  recordSet(entry: ServerEntry, offset: Offset): void;
  /** A server was removed. */
  recordRemoved(server: ServerId, offset: Offset): void;
  /** All servers were read anew. */
  recordReplaced(): void;
}

/** What the registry works with. */
export interface ServerRegistryParts {
  readonly configuration: Configuration;
  readonly logger: Logger;
}

/** Keeps the servers of the configuration in step with their entries. */
export class ServerRegistry {
  readonly #parts: ServerRegistryParts;
  readonly #entries = new Map<ServerId, ServerEntry>();
  readonly #gone = new Map<ServerId, ServerEntry>();
  /** Exclusive or of the entries' hashes, kept as they change. */
  #digest = 0;
  /** Servers whose entry lapsed in an outage, and when that becomes final. */
  readonly #lapsed = new Map<ServerId, number>();
  #offset: Offset = -1;
  /** Until when a lapsed entry is taken for an effect of an outage. */
  #graceUntil = -Infinity;
  #listener: RegistryListener | undefined;

  /** Creates a registry without servers. */
  constructor(parts: ServerRegistryParts) {
    this.#parts = parts;
  }

  /** Offset up to which updates were applied; -1 before the first. */
  get offset(): Offset {
    return this.#offset;
  }

  /** Lists what is known, for another VM to start from. */
  listEntries(): ServerEntry[] {
    return [...this.#entries.values()];
  }

  /** Sets who is told of changes. */
  setListener(listener: RegistryListener): void {
    this.#listener = listener;
  }

  /** Sets a server as another VM, which read up to `offset`, has it. */
  setPassed(entry: ServerEntry, offset: Offset, now: number): void {
    if (offset < this.#offset) return;
    this.#offset = offset;
    this.#setEntry(entry, offset, now, ServerOrigin.Hub);
  }

  /** Removes a server as another VM, which read up to `offset`, did. */
  removePassed(server: ServerId, offset: Offset): void {
    if (offset < this.#offset) return;
    this.#offset = offset;
    const entry = this.#entries.get(server);
    if (entry !== undefined) {
      this.#settleGone(server, entry, ServerOrigin.Hub);
    }
  }

  /** Records that the store has answered again after an outage. */
  recordOutageEnd(now: number): void {
    this.#graceUntil = now + LAPSE_GRACE_MS;
    for (const id of this.#lapsed.keys()) {
      this.#lapsed.set(id, this.#graceUntil);
    }
  }

  /**
   * Takes over all entries as they stood at `offset`.
   *
   * Does nothing when newer updates were applied already.
   */
  replaceAll(
    entries: readonly ServerEntry[],
    offset: Offset,
    now: number,
    origin: ServerOrigin,
  ): void {
    if (offset < this.#offset) return;
    this.#offset = offset;
    const listed = new Set(entries.map((entry) => entry.server.id));
    for (const id of [...this.#entries.keys()]) {
      if (!listed.has(id)) this.#removeEntry(id, now, origin);
    }
    for (const entry of entries) this.#setEntry(entry, offset, now, origin);
    this.#listener?.recordReplaced();
  }

  /**
   * Takes over what another VM has, although this VM has read further.
   *
   * Used when the two differ for longer than a read takes.
   */
  replaceByForce(
    entries: readonly ServerEntry[],
    offset: Offset,
    now: number,
  ): void {
    this.#offset = Math.min(this.#offset, offset);
    this.replaceAll(entries, offset, now, ServerOrigin.HubList);
  }

  /** Computes a digest that is equal where the servers in use are. */
  computeDigest(): number {
    return this.#digest >>> 0;
  }

  /** Applies one update; one that was applied before changes nothing. */
  apply(update: ServerUpdate, now: number): void {
    if (update.offset <= this.#offset) return;
    this.#offset = update.offset;
    switch (update.kind) {
      case ServerUpdateKind.Listed:
        return this.#setEntry(
          update.entry,
          update.offset,
          now,
          ServerOrigin.Store,
        );
      case ServerUpdateKind.Removed:
        return this.#removeEntry(update.id, now, ServerOrigin.Store);
      case ServerUpdateKind.Unreadable:
        this.#parts.logger.warn("an entry names no usable server", {
          server: update.id,
          reason: update.reason,
          offset: update.offset,
        });
        return this.#removeEntry(update.id, now, ServerOrigin.Store);
    }
  }

  /** Whether servers are kept although their entry is missing. */
  get hasLapsed(): boolean {
    return this.#lapsed.size > 0;
  }

  /** Removes servers that have vanished alone, after a read was applied. */
  settleFew(): void {
    const known = this.#countByService(this.#entries.keys());
    const lapsed = this.#countByService(this.#lapsed.keys());
    for (const id of [...this.#lapsed.keys()]) {
      const entry = this.#entries.get(id);
      if (entry === undefined) continue;
      const { service } = entry.server;
      const ratio = (lapsed.get(service) ?? 0) / (known.get(service) ?? 1);
      if (ratio < LAPSE_RATIO_MIN) {
        this.#settleGone(id, entry, ServerOrigin.Store);
      }
    }
  }

  #countByService(ids: Iterable<ServerId>): Map<ServiceId, number> {
    const counts = new Map<ServiceId, number>();
    for (const id of ids) {
      const service = this.#entries.get(id)?.server.service ?? "";
      counts.set(service, (counts.get(service) ?? 0) + 1);
    }
    return counts;
  }

  /** Removes servers whose entry has not come back after an outage. */
  removeLapsed(now: number): void {
    for (const [id, at] of this.#lapsed) {
      if (now < at) continue;
      const entry = this.#entries.get(id);
      if (entry !== undefined) {
        this.#settleGone(id, entry, ServerOrigin.Outage);
      }
    }
  }

  #setEntry(
    entry: ServerEntry,
    offset: Offset,
    now: number,
    origin: ServerOrigin,
  ): void {
    const { configuration, logger } = this.#parts;
    const { id } = entry.server;
    const earlier = this.#entries.get(id) ?? this.#gone.get(id);
    if (earlier !== undefined && !isNewer(entry, earlier)) return;
    this.#replaceInDigest(this.#entries.get(id), entry);
    this.#entries.set(id, entry);
    this.#gone.delete(id);
    this.#lapsed.delete(id);
    const known = configuration.state.servers.get(id);
    const isSameStart = earlier?.startedAt === entry.startedAt;
    if (known !== undefined && isSameStart && isAlike(known, entry.server)) {
      return;
    }
    configuration.setServer({
      ...entry.server,
      revision: offset,
      listedAt: now,
    });
    this.#listener?.recordSet(entry, this.#offset);
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

  #removeEntry(id: ServerId, now: number, origin: ServerOrigin): void {
    const entry = this.#entries.get(id);
    if (entry === undefined) return;
    const isActive = entry.server.phase === ServerPhase.Active;
    if (!isActive || now >= this.#graceUntil) {
      return this.#settleGone(id, entry, origin);
    }
    if (!this.#lapsed.has(id)) this.#lapsed.set(id, this.#graceUntil);
  }

  #settleGone(id: ServerId, entry: ServerEntry, origin: ServerOrigin): void {
    const reason = this.#lapsed.has(id) ? "missing after an outage" : "removed";
    this.#entries.delete(id);
    this.#replaceInDigest(entry, undefined);
    this.#lapsed.delete(id);
    this.#gone.set(id, entry);
    this.#removeOldest();
    this.#parts.configuration.removeServer(id);
    this.#listener?.recordRemoved(id, this.#offset);
    this.#parts.logger.info("a server's entry is gone", {
      server: id,
      reason,
      earlier: entry.server.phase,
      origin,
      offset: this.#offset,
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

/** Whether an entry was written after another one of the same server. */
function isNewer(entry: ServerEntry, earlier: ServerEntry): boolean {
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
