/** Recovery of the configuration from snapshots in the log. */
import { LOG_READ_LIMIT_ENTRIES } from "../../constants.ts";
import {
  EntryKind,
  RecordKind,
  SnapshotItemKind,
  SnapshotScopeKind,
} from "../../model/mod.ts";
import type {
  CellId,
  LogEntry,
  Offset,
  RecordId,
  SnapshotChunk,
  SnapshotItem,
  SnapshotScope,
} from "../../model/mod.ts";
import { ConfigurationState } from "../configuration/mod.ts";
import type { Configuration } from "../configuration/mod.ts";
import { ReadKind } from "../log_client/mod.ts";
import type { LogClient } from "../log_client/mod.ts";

/** Dependencies of {@linkcode loadFromLog}. */
export interface RecoveryDependencies {
  readonly log: LogClient;
  readonly configuration: Configuration;
}

/** A snapshot of which all chunks were read. */
export interface CompleteSnapshot {
  readonly scope: SnapshotScope;
  readonly offset: Offset;
  readonly items: readonly SnapshotItem[];
}

/** Assembles snapshots from their chunks. */
export class SnapshotCollector {
  readonly #chunks = new Map<string, Map<number, SnapshotChunk>>();
  readonly #complete: CompleteSnapshot[] = [];

  /** Adds a chunk; a chunk that was added before has no effect. */
  add(chunk: SnapshotChunk): void {
    const chunks = this.#chunks.get(chunk.snapshot) ?? new Map();
    if (chunks.has(chunk.index)) return;
    chunks.set(chunk.index, chunk);
    this.#chunks.set(chunk.snapshot, chunks);
    if (chunks.size < chunk.total) return;
    const items = [...chunks.values()].flatMap((added) => added.items);
    this.#complete.push({ scope: chunk.scope, offset: chunk.offset, items });
  }

  /** Lists the complete snapshots. */
  list(): readonly CompleteSnapshot[] {
    return this.#complete;
  }
}

/**
 * Loads the newest usable snapshot of the log and the entries after it.
 *
 * `first` is the oldest offset that the log still contains. Resolves to false,
 * without any change, unless complete snapshots of the fleet and of a cell
 * cover the trimmed entries.
 */
export async function loadFromLog(
  deps: RecoveryDependencies,
  first: Offset,
  signal: AbortSignal,
): Promise<boolean> {
  const entries = await readToHead(deps.log, first, signal);
  if (entries === undefined) return false;
  const collector = new SnapshotCollector();
  for (const chunk of listChunks(entries)) collector.add(chunk);
  return applySnapshots(deps.configuration, collector, entries);
}

/** Loads the newest usable snapshots, then applies the entries after them. */
function applySnapshots(
  configuration: Configuration,
  collector: SnapshotCollector,
  entries: readonly LogEntry[],
): boolean {
  const oldestUsable = (entries[0]?.offset ?? 1) - 1;
  const usable = collector.list()
    .filter((snapshot) => snapshot.offset >= oldestUsable)
    .toSorted((left, right) => right.offset - left.offset);
  const fleet = usable.find((snapshot) =>
    snapshot.scope.kind === SnapshotScopeKind.Fleet
  );
  const cells = findNewestOfCells(usable, configuration.cell);
  if (fleet === undefined || cells.length === 0) return false;
  const state = new ConfigurationState();
  const items = [fleet, ...cells].flatMap((snapshot) => snapshot.items);
  for (const item of items) state.loadItem(item);
  state.loadedOffsets.fleet = fleet.offset;
  state.loadedOffsets.cell = Math.min(...cells.map((cell) => cell.offset));
  state.offset = Math.min(state.loadedOffsets.fleet, state.loadedOffsets.cell);
  configuration.load(state, listIds(items));
  for (const entry of entries) configuration.apply(entry);
  return true;
}

/** Finds the newest snapshot of `cell`, or of each cell if undefined. */
function findNewestOfCells(
  newestFirst: readonly CompleteSnapshot[],
  cell: CellId | undefined,
): CompleteSnapshot[] {
  const newest = new Map<CellId, CompleteSnapshot>();
  for (const snapshot of newestFirst) {
    const { scope } = snapshot;
    if (scope.kind !== SnapshotScopeKind.Cell) continue;
    if (cell !== undefined && scope.cell !== cell) continue;
    if (!newest.has(scope.cell)) newest.set(scope.cell, snapshot);
  }
  return [...newest.values()];
}

function listIds(items: readonly SnapshotItem[]): RecordId[] {
  const ids: RecordId[] = [];
  for (const item of items) {
    if (item.kind === SnapshotItemKind.AppliedId) ids.push(item.id);
  }
  return ids;
}

function* listChunks(entries: readonly LogEntry[]): Generator<SnapshotChunk> {
  for (const entry of entries) {
    if (entry.kind !== EntryKind.Record) continue;
    const { change } = entry.record;
    if (change.kind === RecordKind.SnapshotChunk) yield change.chunk;
  }
}

async function readToHead(
  log: LogClient,
  first: Offset,
  signal: AbortSignal,
): Promise<LogEntry[] | undefined> {
  const entries: LogEntry[] = [];
  let from = first;
  while (!signal.aborted) {
    const result = await log.read(
      { from, limit: LOG_READ_LIMIT_ENTRIES, waitMs: 0 },
      signal,
    );
    if (result.kind !== ReadKind.Entries) return undefined;
    entries.push(...result.entries);
    from += result.entries.length;
    if (from > result.head) return entries;
  }
  return undefined;
}
