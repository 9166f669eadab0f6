/** Feed service: reads configurations and servers from the store. */
import type { Offset } from "../../model/mod.ts";
import type { Clock } from "../clock/mod.ts";
import type { Logger } from "../logging/mod.ts";
import { Counter } from "../metrics/mod.ts";
import type { Metrics } from "../metrics/mod.ts";
import type { Random } from "../random/mod.ts";
import { FeedStream } from "./relay.ts";
import type { FeedRelay } from "./relay.ts";
import type { ServerRegistry } from "./server_registry.ts";
import {
  DocumentUpdateKind,
  FeedReadKind,
  ServerOrigin,
  ServerUpdateKind,
} from "./source.ts";
import type {
  DocumentUpdate,
  FeedRead,
  FeedSource,
  ServerUpdate,
} from "./source.ts";

/**
 * Maximum time that a read waits for a new configuration. It limits the age of
 * the confirmation that the read provides.
 */
const DOCUMENT_WAIT_MS = 500;
/**
 * Maximum time that a read waits for a change of a server. It limits the delay
 * until the loss of a response is detected.
 */
const SERVER_WAIT_MS = 300;
/** Minimum interval between reads of servers; limits calls to the store. */
const SERVER_INTERVAL_MS = 600;
/** Minimum interval between reads while expired servers are retained. */
const LAPSED_INTERVAL_MS = 200;
/** Delay before the first retry of a failed read; doubles with each retry. */
const RETRY_MIN_MS = 150;
/** Maximum delay before a retry of a failed read. */
const RETRY_MAX_MS = 1_000;
/** Random share of a retry delay; keeps VMs from retrying simultaneously. */
const RETRY_JITTER = 0.5;
/** Interval between checks whether this VM must read the store itself. */
const FOLLOW_PAUSE_MS = 200;

/** Dependencies of {@linkcode Feed}. */
export interface FeedParts {
  readonly clock: Clock;
  readonly random: Random;
  readonly relay: FeedRelay;
  readonly registry: ServerRegistry;
  readonly documents: FeedSource<DocumentUpdate>;
  readonly servers: FeedSource<ServerUpdate>;
  readonly metrics: Metrics;
  readonly logger: Logger;
}

type ReadServers = Extract<
  FeedRead<ServerUpdate>,
  { kind: FeedReadKind.Updates }
>;

/** Reads both streams and applies them. */
export class Feed {
  readonly #parts: FeedParts;
  #isStoreReached = true;

  /** Creates a feed that has not read anything yet. */
  constructor(parts: FeedParts) {
    this.#parts = parts;
  }

  /** Reads configurations until `signal` aborts. */
  async runDocuments(signal: AbortSignal): Promise<void> {
    const { documents, clock, relay } = this.#parts;
    let position: Offset | undefined;
    let failures = 0;
    while (!signal.aborted) {
      if (!relay.isReader()) {
        position = undefined;
        failures = 0;
        relay.recordIdle(FeedStream.Configurations);
        await clock.sleep(FOLLOW_PAUSE_MS, signal);
        continue;
      }
      const askedAt = clock.now();
      const read = position === undefined
        ? await documents.readNewest()
        : await documents.readFrom(position, DOCUMENT_WAIT_MS);
      this.#recordReach(read, FeedStream.Configurations, askedAt);
      switch (read.kind) {
        case FeedReadKind.Updates: {
          failures = 0;
          const isApplied = this.#applyDocuments(read.updates);
          position = read.next;
          if (read.isComplete && isApplied) relay.recordRead(askedAt);
          break;
        }
        case FeedReadKind.Forgotten:
          position = undefined;
          break;
        case FeedReadKind.Unavailable:
          await clock.sleep(this.#computeDelayMs(failures), signal);
          failures += 1;
          break;
      }
    }
  }

  /** Reads server entries until `signal` aborts. */
  async runServers(signal: AbortSignal): Promise<void> {
    const { servers, clock, registry, relay } = this.#parts;
    let position: Offset | undefined;
    let failures = 0;
    while (!signal.aborted) {
      registry.removeLapsed(clock.now());
      const isReread = relay.takeReread();
      if (isReread) position = undefined;
      if (!isReread && !relay.isReader()) {
        position = undefined;
        failures = 0;
        relay.recordIdle(FeedStream.Servers);
        await clock.sleep(FOLLOW_PAUSE_MS, signal);
        continue;
      }
      const askedAt = clock.now();
      const offsetBefore = registry.offset;
      const read = position === undefined
        ? await servers.readNewest()
        : await servers.readFrom(
          position,
          registry.hasLapsed ? 0 : SERVER_WAIT_MS,
        );
      this.#recordReach(read, FeedStream.Servers, askedAt);
      const now = clock.now();
      switch (read.kind) {
        case FeedReadKind.Updates:
          if (failures > 0) registry.recordOutageEnd(now);
          failures = 0;
          if (position !== undefined) this.#applyServers(read, now);
          else this.#replaceServers(read, offsetBefore, now);
          position = read.next;
          if (read.isComplete) relay.recordServersRead(askedAt);
          await this.#waitSince(
            askedAt,
            registry.hasLapsed ? LAPSED_INTERVAL_MS : SERVER_INTERVAL_MS,
            signal,
          );
          break;
        case FeedReadKind.Forgotten:
          position = undefined;
          break;
        case FeedReadKind.Unavailable:
          await clock.sleep(this.#computeDelayMs(failures), signal);
          failures += 1;
          break;
      }
    }
  }

  /** Applies configurations; returns false if the newest is unreadable. */
  #applyDocuments(updates: readonly DocumentUpdate[]): boolean {
    const { relay, logger } = this.#parts;
    let isReadable = true;
    for (const update of updates) {
      switch (update.kind) {
        case DocumentUpdateKind.Readable:
          isReadable = true;
          relay.applyDocument(update.document);
          break;
        case DocumentUpdateKind.Unreadable:
          isReadable = false;
          logger.error("ignored an unreadable configuration", {
            reason: update.reason,
          });
          break;
      }
    }
    return isReadable;
  }

  #applyServers({ updates }: ReadServers, now: number): void {
    const { registry } = this.#parts;
    for (const update of updates) registry.apply(update, now);
    registry.settleFew();
  }

  /** Applies a read of the newest entries; `offsetBefore` precedes the read. */
  #replaceServers(
    { updates, next }: ReadServers,
    offsetBefore: Offset,
    now: number,
  ): void {
    const { registry, logger } = this.#parts;
    const offset = next - 1;
    if (offset < offsetBefore) {
      logger.warn(
        "the store ends below the known offset; discarding the known servers",
        { offset, known: offsetBefore },
      );
      registry.removeAll();
    }
    const listings = updates.filter((update) =>
      update.kind === ServerUpdateKind.Listed
    );
    registry.replaceAll(listings, offset, now, ServerOrigin.Store);
    registry.settleFew();
  }

  #recordReach(
    read: FeedRead<unknown>,
    stream: FeedStream,
    askedAt: number,
  ): void {
    this.#parts.metrics.add(Counter.StoreReads, stream);
    const isReached = read.kind !== FeedReadKind.Unavailable;
    this.#parts.relay.recordReach(stream, isReached, askedAt);
    if (isReached === this.#isStoreReached) return;
    this.#isStoreReached = isReached;
    const { logger } = this.#parts;
    if (isReached) logger.info("store reads succeed again", { stream });
    else logger.warn("store reads fail", { stream, reason: read.reason });
  }

  /** Waits until `ms` milliseconds have passed since `startedAt`. */
  async #waitSince(
    startedAt: number,
    ms: number,
    signal: AbortSignal,
  ): Promise<void> {
    const { clock } = this.#parts;
    const leftMs = startedAt + ms - clock.now();
    if (leftMs > 0) await clock.sleep(leftMs, signal);
  }

  #computeDelayMs(failures: number): number {
    const longestMs = Math.min(RETRY_MAX_MS, RETRY_MIN_MS * 2 ** failures);
    return longestMs * (1 - RETRY_JITTER * this.#parts.random());
  }
}
