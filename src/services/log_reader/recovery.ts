/** Recovery of the configuration from snapshots that the log still holds. */
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
} from "../../model/mod.ts";
import { ConfigurationState } from "../configuration/mod.ts";
import type { Configuration } from "../configuration/mod.ts";
import { ReadKind } from "../log_client/mod.ts";
import type { LogClient } from "../log_client/mod.ts";

/** What recovery works with. */
export interface RecoveryParts {
  readonly log: LogClient;
  readonly configuration: Configuration;
}

/** Collects the parts of snapshots until some are whole. */
export class SnapshotCollector {
  readonly #chunks = new Map<string, Map<number, SnapshotChunk>>();
  readonly #whole: SnapshotChunk[][] = [];

  /** Adds a part; a part that was added before changes nothing. */
  add(chunk: SnapshotChunk): void {
    const parts = this.#chunks.get(chunk.snapshot) ?? new Map();
    if (parts.has(chunk.index)) return;
    parts.set(chunk.index, chunk);
    this.#chunks.set(chunk.snapshot, parts);
    if (parts.size === chunk.total) this.#whole.push([...parts.values()]);
  }

  /** Lists the whole snapshots, each as its parts. */
  list(): readonly (readonly SnapshotChunk[])[] {
    return this.#whole;
  }
}

/**
 * Loads the newest usable snapshot of the log and the entries after it.
 *
 * `first` is the oldest offset that the log holds. Returns false, and changes
 * nothing, when no whole snapshot reaches back that far.
 */
export async function loadFromLog(
  parts: RecoveryParts,
  first: Offset,
  signal: AbortSignal,
): Promise<boolean> {
  const entries = await readToHead(parts.log, first, signal);
  if (entries === undefined) return false;
  const collector = new SnapshotCollector();
  for (const chunk of listChunks(entries)) collector.add(chunk);
  return applySnapshots(parts.configuration, collector, entries);
}

/** Puts the newest usable snapshots in force, then the entries after them. */
function applySnapshots(
  configuration: Configuration,
  collector: SnapshotCollector,
  entries: readonly LogEntry[],
): boolean {
  const oldestUsable = (entries[0]?.offset ?? 1) - 1;
  const usable = collector.list()
    .filter((chunks) => (chunks[0]?.offset ?? 0) >= oldestUsable)
    .toSorted((left, right) => getOffset(right) - getOffset(left));
  for (const offset of new Set(usable.map(getOffset))) {
    const items = findItems(usable, offset, configuration.cell);
    if (items === undefined) continue;
    const state = new ConfigurationState();
    for (const item of items) state.loadItem(item);
    state.offset = offset;
    configuration.load(state, listIds(items));
    for (const entry of entries) configuration.apply(entry);
    return true;
  }
  return false;
}

function getOffset(chunks: readonly SnapshotChunk[]): Offset {
  return chunks[0]?.offset ?? 0;
}

/** Finds the items of the fleet's and the cell's snapshots at one offset. */
function findItems(
  snapshots: readonly (readonly SnapshotChunk[])[],
  offset: Offset,
  cell: CellId | undefined,
): SnapshotItem[] | undefined {
  const same = snapshots.filter((chunks) => getOffset(chunks) === offset);
  const fleet = same.find((chunks) =>
    chunks[0]?.scope.kind === SnapshotScopeKind.Fleet
  );
  const cells = same.filter((chunks) => isOfCell(chunks, cell));
  if (fleet === undefined || cells.length === 0) return undefined;
  return [fleet, ...cells].flat().flatMap((chunk) => chunk.items);
}

function isOfCell(
  chunks: readonly SnapshotChunk[],
  cell: CellId | undefined,
): boolean {
  const scope = chunks[0]?.scope;
  if (scope?.kind !== SnapshotScopeKind.Cell) return false;
  return cell === undefined || scope.cell === cell;
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
