/** Configuration service: applies the log's entries in order. */
import {
  APPLIED_TIMES_RETENTION_MS,
  MAX_APPLIED_IDS,
  RELAY_RETENTION_ENTRIES,
} from "../../constants.ts";
import { EntryKind, SnapshotScopeKind, VerdictKind } from "../../model/mod.ts";
import type {
  CellId,
  ConfigurationDocument,
  LogEntry,
  Offset,
  RecordId,
  Server,
  ServerId,
  Verdict,
} from "../../model/mod.ts";
import type { Clock } from "../clock/mod.ts";
import { createDocumentState } from "./document.ts";
import { applyRecord, getScope } from "./reducer.ts";
import { ConfigurationState } from "./state.ts";

export { listItems, listScopeItems } from "./items.ts";
export { getRevision } from "./reducer.ts";
export { ConfigurationState, formatShardKey } from "./state.ts";

type RecordEntry = Extract<LogEntry, { kind: EntryKind.Record }>;

/** Number of log entries by verdict. */
export interface VerdictCounts {
  accepted: number;
  conflict: number;
  duplicate: number;
  skipped: number;
  malformed: number;
}

/** Thrown when an entry is applied out of order; the state is unchanged. */
export class OffsetGapError extends Error {
  /** Creates an error for an entry at `found` instead of `expected`. */
  constructor(expected: Offset, found: Offset) {
    super(`expected the log entry at offset ${expected}, but got ${found}`);
    this.name = "OffsetGapError";
  }
}

/** Called with each applied entry, or undefined when the state was replaced. */
export type ConfigurationListener = (entry: LogEntry | undefined) => void;

/** The configuration at the newest applied offset. */
export class Configuration {
  readonly counts: VerdictCounts = {
    accepted: 0,
    conflict: 0,
    duplicate: 0,
    skipped: 0,
    malformed: 0,
  };
  #state = new ConfigurationState();
  readonly #cell: CellId | undefined;
  readonly #verdicts = new Map<RecordId, Verdict>();
  readonly #listeners = new Set<ConfigurationListener>();
  /** The newest consecutive entries, for peers that request them. */
  readonly #recent: LogEntry[] = [];
  /** Time at which each recent entry was applied, by offset. */
  readonly #appliedAt = new Map<Offset, number>();
  readonly #clock: Clock;
  #lastMalformed = "";

  /** Creates an empty configuration; `cell` limits it to that cell's teams. */
  constructor(cell: CellId | undefined, clock: Clock) {
    this.#cell = cell;
    this.#clock = clock;
  }

  /**
   * The state at {@linkcode offset}. Loading replaces the object, so read this
   * property again after each `await`.
   */
  get state(): ConfigurationState {
    return this.#state;
  }

  /** The newest applied offset; 0 before the first entry. */
  get offset(): Offset {
    return this.#state.offset;
  }

  /** The cell whose teams are stored; undefined for all cells. */
  get cell(): CellId | undefined {
    return this.#cell;
  }

  /** Offset and fault of the last malformed entry; empty if there was none. */
  get lastMalformed(): string {
    return this.#lastMalformed;
  }

  /**
   * Applies an entry; an entry that was applied before has no effect.
   *
   * Throws {@linkcode OffsetGapError} if entries before it are missing.
   */
  apply(entry: LogEntry): void {
    const expected = this.offset + 1;
    if (entry.offset < expected) return;
    if (entry.offset > expected) {
      throw new OffsetGapError(expected, entry.offset);
    }
    this.#applyNext(entry);
    this.#state.offset = entry.offset;
    this.#recordRecent(entry);
    this.#recordAppliedAt(entry.offset);
    for (const listener of this.#listeners) listener(entry);
  }

  /**
   * Replaces the state by one from a snapshot, in which the records
   * `appliedIds` have already been applied.
   *
   * Returns false, without any change, if that state is not newer.
   */
  load(state: ConfigurationState, appliedIds: readonly RecordId[]): boolean {
    if (state.offset <= this.offset) return false;
    this.#state = state;
    for (const id of appliedIds) {
      this.#setVerdict(id, { kind: VerdictKind.Duplicate });
    }
    this.#recent.length = 0;
    for (const listener of this.#listeners) listener(undefined);
    return true;
  }

  /**
   * Replaces the state by that of a document, except for the listed servers.
   *
   * Returns false, without any change, if the document is not newer.
   */
  loadDocument(document: ConfigurationDocument): boolean {
    if (document.version <= this.offset) return false;
    this.#state = createDocumentState(document, this.#state.servers.values());
    for (const listener of this.#listeners) listener(undefined);
    return true;
  }

  /** Sets a server that the server registry lists. */
  setServer(server: Server): void {
    this.#state.setServer(server);
  }

  /** Removes a server that the server registry no longer lists. */
  removeServer(server: ServerId): void {
    this.#state.removeServer(server);
  }

  /**
   * Lists up to `limit` applied entries from the offset `from` on.
   *
   * Returns undefined if they are no longer in memory.
   */
  listRecent(from: Offset, limit: number): LogEntry[] | undefined {
    const first = this.#recent[0]?.offset ?? this.offset + 1;
    if (from < first) return undefined;
    return this.#recent.slice(from - first, from - first + limit);
  }

  /**
   * Returns the monotonic time in milliseconds at which an entry was applied.
   *
   * Returns -Infinity if the time is no longer in memory, and for entries
   * included in a loaded snapshot.
   */
  getAppliedAt(offset: Offset): number {
    return this.#appliedAt.get(offset) ?? -Infinity;
  }

  /** Returns the verdict on a record; undefined if it was not read yet. */
  getVerdict(id: RecordId): Verdict | undefined {
    return this.#verdicts.get(id);
  }

  /** Lists the ids of the newest applied records, oldest first. */
  listAppliedIds(limit: number): RecordId[] {
    return [...this.#verdicts.keys()].slice(-limit);
  }

  /** Adds a function to call after each change; returns one that removes it. */
  addListener(listener: ConfigurationListener): () => void {
    this.#listeners.add(listener);
    return () => void this.#listeners.delete(listener);
  }

  #applyNext(entry: LogEntry): void {
    switch (entry.kind) {
      case EntryKind.Malformed:
        this.counts.malformed += 1;
        this.#lastMalformed = `${entry.offset}: ${entry.reason}`;
        return;
      case EntryKind.Record: {
        if (this.#isInSnapshot(entry)) return;
        if (this.#verdicts.has(entry.record.id)) {
          this.counts.duplicate += 1;
          return;
        }
        const verdict = applyRecord(
          { state: this.#state, cell: this.#cell },
          entry.record,
          entry.offset,
        );
        this.counts[verdict.kind] += 1;
        this.#setVerdict(entry.record.id, verdict);
        return;
      }
    }
  }

  /** Whether a loaded snapshot already includes the effect of the entry. */
  #isInSnapshot(entry: RecordEntry): boolean {
    const { fleet, cell } = this.#state.loadedOffsets;
    switch (getScope(entry.record.change)) {
      case SnapshotScopeKind.Fleet:
        return entry.offset <= fleet;
      case SnapshotScopeKind.Cell:
        return entry.offset <= cell;
    }
  }

  #recordRecent(entry: LogEntry): void {
    this.#recent.push(entry);
    if (this.#recent.length > 2 * RELAY_RETENTION_ENTRIES) {
      this.#recent.splice(0, RELAY_RETENTION_ENTRIES);
    }
  }

  #recordAppliedAt(offset: Offset): void {
    const now = this.#clock.now();
    this.#appliedAt.set(offset, now);
    for (const [oldest, at] of this.#appliedAt) {
      if (now - at < APPLIED_TIMES_RETENTION_MS) return;
      this.#appliedAt.delete(oldest);
    }
  }

  #setVerdict(id: RecordId, verdict: Verdict): void {
    this.#verdicts.set(id, verdict);
    if (this.#verdicts.size <= MAX_APPLIED_IDS) return;
    const oldest = this.#verdicts.keys().next();
    if (!oldest.done) this.#verdicts.delete(oldest.value);
  }
}
