/** Configuration service: the log's entries, applied in order, never back. */
import { APPLIED_IDS_KEPT } from "../../constants.ts";
import { EntryKind, VerdictKind } from "../../model/mod.ts";
import type {
  CellId,
  LogEntry,
  Offset,
  RecordId,
  Verdict,
} from "../../model/mod.ts";
import { applyRecord } from "./reducer.ts";
import { ConfigurationState } from "./state.ts";

export { getRevision } from "./reducer.ts";
export { ConfigurationState } from "./state.ts";

/** Counts of entries by verdict. */
export interface VerdictCounts {
  accepted: number;
  conflict: number;
  duplicate: number;
  skipped: number;
  malformed: number;
}

/** Thrown when entries are applied out of order; nothing was changed. */
export class OffsetGapError extends Error {
  /** Creates an error for an entry at `found` where `expected` was due. */
  constructor(expected: Offset, found: Offset) {
    super(`entry ${found} was applied where ${expected} was due`);
    this.name = "OffsetGapError";
  }
}

/** Holds the configuration at the newest offset that was applied. */
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
  readonly #listeners = new Set<() => void>();
  #lastMalformed = "";

  /** Creates an empty configuration that keeps the teams of `cell` alone. */
  constructor(cell: CellId | undefined) {
    this.#cell = cell;
  }

  /** The state at {@linkcode offset}; read it anew after each wait. */
  get state(): ConfigurationState {
    return this.#state;
  }

  /** The newest offset that was applied; 0 before the first. */
  get offset(): Offset {
    return this.#state.offset;
  }

  /** The cell whose teams are kept; undefined keeps all. */
  get cell(): CellId | undefined {
    return this.#cell;
  }

  /** Why the last malformed entry could not be used; empty if there was none. */
  get lastMalformed(): string {
    return this.#lastMalformed;
  }

  /**
   * Applies an entry; one that was applied before changes nothing.
   *
   * Throws {@linkcode OffsetGapError} when entries before it are missing.
   */
  apply(entry: LogEntry): void {
    const expected = this.offset + 1;
    if (entry.offset < expected) return;
    if (entry.offset > expected) {
      throw new OffsetGapError(expected, entry.offset);
    }
    this.#applyNext(entry);
    this.#state.offset = entry.offset;
    for (const listener of this.#listeners) listener();
  }

  /**
   * Takes over a state loaded from a snapshot, with the ids applied in it.
   *
   * Returns false, and changes nothing, when the state is not newer.
   */
  load(state: ConfigurationState, appliedIds: readonly RecordId[]): boolean {
    if (state.offset <= this.offset) return false;
    this.#state = state;
    for (const id of appliedIds) {
      this.#setVerdict(id, { kind: VerdictKind.Duplicate });
    }
    for (const listener of this.#listeners) listener();
    return true;
  }

  /** Gets how a record was settled; undefined if it has not been read. */
  getVerdict(id: RecordId): Verdict | undefined {
    return this.#verdicts.get(id);
  }

  /** Lists the newest record ids that were applied, oldest first. */
  listAppliedIds(limit: number): RecordId[] {
    return [...this.#verdicts.keys()].slice(-limit);
  }

  /** Adds a function to be run after each change; returns its removal. */
  addListener(listener: () => void): () => void {
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

  #setVerdict(id: RecordId, verdict: Verdict): void {
    this.#verdicts.set(id, verdict);
    if (this.#verdicts.size <= APPLIED_IDS_KEPT) return;
    const oldest = this.#verdicts.keys().next();
    if (!oldest.done) this.#verdicts.delete(oldest.value);
  }
}
