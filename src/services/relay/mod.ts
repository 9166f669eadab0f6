/** Relay service: sends the log's entries to peers that can't read the log. */
import { RELAY_BATCH_ENTRIES } from "../../constants.ts";
import type { Offset, SnapshotItem } from "../../model/mod.ts";
import type { Clock } from "../clock/mod.ts";
import { ConfigurationState, listItems } from "../configuration/mod.ts";
import type { Configuration } from "../configuration/mod.ts";
import type { Logger } from "../logging/mod.ts";
import type { Membership, PeerState } from "../membership/mod.ts";
import { PeerMessageKind } from "../membership/peer_message.ts";
import type { Entries, SnapshotPart } from "../membership/peer_message.ts";
import type { Random } from "../random/mod.ts";

/** Dependencies of {@linkcode Relay}. */
export interface RelayDependencies {
  readonly clock: Clock;
  readonly random: Random;
  readonly configuration: Configuration;
  readonly membership: Membership;
  readonly logger: Logger;
}

/** Interval between checks for peers with newer entries. */
const CHECK_INTERVAL_MS = 250;
/** Number of checks without progress after which entries are requested. */
const MIN_STALLED_CHECKS = 2;
/** Maximum number of objects in one part of a snapshot. */
const SNAPSHOT_PART_ITEMS = 1_000;
/** Maximum number of applied record ids in a snapshot. */
const MAX_SNAPSHOT_IDS = 4_096;

/** Fetches missing entries from peers, and serves peers that miss some. */
export class Relay {
  readonly #deps: RelayDependencies;
  #stalledChecks = 0;
  #lastOffset = 0;
  #snapshotParts = new Map<number, SnapshotPart>();

  /** Creates the service and registers its message handlers. */
  constructor(deps: RelayDependencies) {
    this.#deps = deps;
    const { membership } = deps;
    membership.setHandler(
      PeerMessageKind.EntriesRequest,
      (message, peer) => this.#sendEntries(message.from, peer),
    );
    membership.setHandler(
      PeerMessageKind.Entries,
      (message) => this.#applyEntries(message),
    );
    membership.setHandler(
      PeerMessageKind.Snapshot,
      (message) => this.#recordSnapshotPart(message),
    );
  }

  /** Requests missing entries from peers until `signal` aborts. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      this.#checkPeers();
      await this.#deps.clock.sleep(CHECK_INTERVAL_MS, signal);
    }
  }

  /**
   * Requests entries from a random peer that has newer ones, unless this VM
   * makes progress without it.
   */
  #checkPeers(): void {
    const { configuration, membership, random } = this.#deps;
    const { offset } = configuration;
    const peersAhead = membership.listReachable()
      .filter((peer) => peer.offset > offset);
    const isStalled = peersAhead.length > 0 && offset === this.#lastOffset;
    this.#stalledChecks = isStalled ? this.#stalledChecks + 1 : 0;
    this.#lastOffset = offset;
    if (this.#stalledChecks < MIN_STALLED_CHECKS) return;
    const peer = peersAhead[Math.floor(random() * peersAhead.length)];
    if (peer === undefined) return;
    membership.send(peer, {
      kind: PeerMessageKind.EntriesRequest,
      from: offset + 1,
    });
  }

  #sendEntries(from: Offset, peer: PeerState): void {
    const { configuration, membership } = this.#deps;
    const entries = configuration.listRecent(from, RELAY_BATCH_ENTRIES);
    if (entries === undefined) {
      for (const part of this.#createSnapshot()) membership.send(peer, part);
      return;
    }
    if (entries.length === 0) return;
    membership.send(peer, { kind: PeerMessageKind.Entries, entries });
  }

  #applyEntries(message: Entries): void {
    const { configuration } = this.#deps;
    for (const entry of message.entries) {
      if (entry.offset > configuration.offset + 1) return;
      configuration.apply(entry);
    }
  }

  *#createSnapshot(): Generator<SnapshotPart> {
    const { configuration } = this.#deps;
    const items: SnapshotItem[] = [...listItems(configuration.state)];
    const total = Math.max(1, Math.ceil(items.length / SNAPSHOT_PART_ITEMS));
    for (let index = 0; index < total; index += 1) {
      const start = index * SNAPSHOT_PART_ITEMS;
      yield {
        kind: PeerMessageKind.Snapshot,
        offset: configuration.offset,
        index,
        total,
        items: items.slice(start, start + SNAPSHOT_PART_ITEMS),
        appliedIds: index === 0
          ? configuration.listAppliedIds(MAX_SNAPSHOT_IDS)
          : [],
      };
    }
  }

  /** Collects the parts of a snapshot; a part of a newer one discards them. */
  #recordSnapshotPart(part: SnapshotPart): void {
    const [first] = this.#snapshotParts.values();
    if (first !== undefined && first.offset !== part.offset) {
      if (first.offset > part.offset) return;
      this.#snapshotParts.clear();
    }
    this.#snapshotParts.set(part.index, part);
    if (this.#snapshotParts.size < part.total) return;
    this.#loadSnapshot([...this.#snapshotParts.values()]);
    this.#snapshotParts.clear();
  }

  #loadSnapshot(parts: readonly SnapshotPart[]): void {
    const { configuration, logger } = this.#deps;
    const offset = parts[0]?.offset ?? 0;
    const state = new ConfigurationState();
    for (const part of parts) {
      for (const item of part.items) state.loadItem(item);
    }
    state.offset = offset;
    const ids = parts.flatMap((part) => part.appliedIds);
    if (!configuration.load(state, ids)) return;
    logger.info(
      `loaded a configuration snapshot from a peer; offset is ${offset}`,
    );
  }
}
