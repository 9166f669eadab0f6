/** Snapshots service: writes configuration snapshots to the log. */
import {
  RECORD_VERSION,
  SNAPSHOT_CHUNK_ITEMS,
  SNAPSHOT_INTERVAL_ENTRIES,
} from "../../constants.ts";
import {
  EntryKind,
  RecordKind,
  SnapshotItemKind,
  SnapshotScopeKind,
} from "../../model/mod.ts";
import type {
  LogEntry,
  Offset,
  SnapshotChunk,
  SnapshotItem,
  SnapshotScope,
} from "../../model/mod.ts";
import type { Clock } from "../clock/mod.ts";
import { listScopeItems } from "../configuration/mod.ts";
import type { Configuration } from "../configuration/mod.ts";
import { AppendKind } from "../log_client/mod.ts";
import type { LogClient } from "../log_client/mod.ts";
import type { Logger } from "../logging/mod.ts";
import type { Membership } from "../membership/mod.ts";
import type { Random } from "../random/mod.ts";

/** Dependencies of {@linkcode Snapshots}. */
export interface SnapshotsDependencies {
  readonly clock: Clock;
  readonly random: Random;
  readonly configuration: Configuration;
  readonly membership: Membership;
  readonly log: LogClient;
  readonly logger: Logger;
  /** Age of the newest snapshot at which a new one is due, in milliseconds. */
  readonly intervalMs: number;
}

/** The newest complete snapshot of one scope. */
interface NewestSnapshot {
  offset: Offset;
  /** Monotonic time in milliseconds at which it was read from the log. */
  readAt: number;
}

const CHECK_INTERVAL_MS = 5_000;
/** Maximum random delay of a due snapshot; another VM may write it first. */
const MAX_WRITE_DELAY_MS = 30_000;
/** Maximum number of applied record ids in a cell's snapshot. */
const MAX_SNAPSHOT_IDS = 4_096;

/**
 * Writes snapshots that are due, unless another VM has written them.
 *
 * A snapshot repeats the configuration before the log trims the entries that
 * it came from.
 */
export class Snapshots {
  readonly #deps: SnapshotsDependencies;
  readonly #createdAt: number;
  readonly #newest = new Map<SnapshotScopeKind, NewestSnapshot>();
  /** Indexes of the chunks read so far, by snapshot. */
  readonly #readChunks = new Map<string, Set<number>>();

  /** Creates the service; it tracks the snapshots of all VMs in the log. */
  constructor(deps: SnapshotsDependencies) {
    this.#deps = deps;
    this.#createdAt = deps.clock.now();
    deps.configuration.addListener((entry) => this.#recordEntry(entry));
  }

  /** Writes due snapshots until `signal` aborts. */
  async run(signal: AbortSignal): Promise<void> {
    const { clock, random } = this.#deps;
    while (!signal.aborted) {
      await clock.sleep(CHECK_INTERVAL_MS, signal);
      if (!this.#listDue().length) continue;
      await clock.sleep(random() * MAX_WRITE_DELAY_MS, signal);
      if (signal.aborted) return;
      for (const scope of this.#listDue()) await this.writeSnapshot(scope);
    }
  }

  /** Writes a scope's objects; resolves to false if the log refuses a chunk. */
  async writeSnapshot(scope: SnapshotScope): Promise<boolean> {
    const { configuration, log, logger, membership } = this.#deps;
    const { offset } = configuration;
    const snapshot = `${membership.self.vm}-${scope.kind}-${offset}`;
    const items = this.#listItems(scope);
    const total = Math.max(1, Math.ceil(items.length / SNAPSHOT_CHUNK_ITEMS));
    for (let index = 0; index < total; index += 1) {
      const start = index * SNAPSHOT_CHUNK_ITEMS;
      const chunk: SnapshotChunk = {
        snapshot,
        scope,
        offset,
        index,
        total,
        items: items.slice(start, start + SNAPSHOT_CHUNK_ITEMS),
      };
      const result = await log.append({
        version: RECORD_VERSION,
        id: `${snapshot}-${index}`,
        base: 0,
        change: { kind: RecordKind.SnapshotChunk, chunk },
      });
      if (result.kind === AppendKind.Refused) return false;
    }
    logger.info(
      `wrote a snapshot of the ${scope.kind} scope at offset ${offset}`,
    );
    return true;
  }

  #listDue(): SnapshotScope[] {
    const { cell } = this.#deps.membership.self;
    const scopes: readonly SnapshotScope[] = [
      { kind: SnapshotScopeKind.Fleet },
      { kind: SnapshotScopeKind.Cell, cell },
    ];
    return scopes.filter((scope) => this.#isDue(scope.kind));
  }

  #isDue(scope: SnapshotScopeKind): boolean {
    const { clock, configuration, intervalMs } = this.#deps;
    const newest = this.#newest.get(scope);
    const newEntries = configuration.offset - (newest?.offset ?? 0);
    if (newEntries >= SNAPSHOT_INTERVAL_ENTRIES) return true;
    const isOld =
      clock.now() - (newest?.readAt ?? this.#createdAt) > intervalMs;
    return isOld && newEntries > 0;
  }

  #listItems(scope: SnapshotScope): SnapshotItem[] {
    const { configuration } = this.#deps;
    const items = [...listScopeItems(configuration.state, scope.kind)];
    if (scope.kind === SnapshotScopeKind.Fleet) return items;
    for (const id of configuration.listAppliedIds(MAX_SNAPSHOT_IDS)) {
      items.push({ kind: SnapshotItemKind.AppliedId, id });
    }
    return items;
  }

  #recordEntry(entry: LogEntry | undefined): void {
    if (entry?.kind !== EntryKind.Record) return;
    const { change } = entry.record;
    if (change.kind !== RecordKind.SnapshotChunk) return;
    if (this.#isOfOtherCell(change.chunk.scope)) return;
    this.#recordChunk(change.chunk);
  }

  #isOfOtherCell(scope: SnapshotScope): boolean {
    if (scope.kind === SnapshotScopeKind.Fleet) return false;
    return scope.cell !== this.#deps.membership.self.cell;
  }

  #recordChunk(chunk: SnapshotChunk): void {
    const indexes = this.#readChunks.get(chunk.snapshot) ?? new Set();
    indexes.add(chunk.index);
    this.#readChunks.set(chunk.snapshot, indexes);
    if (indexes.size < chunk.total) return;
    this.#readChunks.clear();
    const newest = this.#newest.get(chunk.scope.kind);
    if (newest !== undefined && newest.offset >= chunk.offset) return;
    const readAt = this.#deps.clock.now();
    this.#newest.set(chunk.scope.kind, { offset: chunk.offset, readAt });
  }
}
