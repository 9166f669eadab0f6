/** Tombstones of removed servers, by which older entries are rejected. */
import { getEra } from "../../model/mod.ts";
import type { Offset, ServerId } from "../../model/mod.ts";
import type { ServerListing, ServerVersion } from "./source.ts";

/** Maximum number of tombstones; the oldest one is evicted. */
const MAX_TOMBSTONES = 10_000;
/** Number of tombstones sent with a list: those of the last minutes. */
const RECENT_TOMBSTONES = 200;

/** Tombstone of a server: its newest version and the offset of its removal. */
export interface ServerTombstone extends ServerVersion {
  readonly id: ServerId;
  readonly offset: Offset;
}

/** The newest removal of each server that is not listed. */
export class Tombstones {
  readonly #tombstones = new Map<ServerId, ServerTombstone>();

  /** Finds the removal of a server. */
  find(id: ServerId): ServerTombstone | undefined {
    return this.#tombstones.get(id);
  }

  /** Lists the newest removals, which another VM may not know. */
  listRecent(): ServerTombstone[] {
    return [...this.#tombstones.values()].slice(-RECENT_TOMBSTONES);
  }

  /** Sets the removal of a server, which is then the newest one. */
  set(tombstone: ServerTombstone): void {
    this.#tombstones.delete(tombstone.id);
    this.#tombstones.set(tombstone.id, tombstone);
    if (this.#tombstones.size <= MAX_TOMBSTONES) return;
    const oldest = this.#tombstones.keys().next();
    if (!oldest.done) this.#tombstones.delete(oldest.value);
  }

  /** Removes the tombstone of a server that is listed again. */
  remove(id: ServerId): void {
    this.#tombstones.delete(id);
  }

  /** Removes all tombstones. */
  removeAll(): void {
    this.#tombstones.clear();
  }
}

/** Whether a version is newer than another one of the same server. */
export function isNewer(
  entry: ServerVersion,
  earlier: ServerVersion,
): boolean {
  if (entry.startedAt !== earlier.startedAt) {
    return entry.startedAt > earlier.startedAt;
  }
  return entry.sequence > earlier.sequence;
}

/**
 * Whether a removal is newer than an entry. Their positions tell that only
 * within an era: a restored store lists again what was removed before.
 */
export function isRemovedAfter(
  tombstone: ServerTombstone,
  { entry, offset }: ServerListing,
): boolean {
  if (getEra(tombstone.offset) < getEra(offset)) {
    return !isNewer(entry, tombstone);
  }
  return offset < tombstone.offset;
}
