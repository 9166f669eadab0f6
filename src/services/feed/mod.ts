/** Feed service: brings configurations and servers from the store. */
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
 * Longest time that a read waits for a new configuration. It bounds the age of
 * the confirmation that the read brings.
 */
const DOCUMENT_WAIT_MS = 500;
/**
 * Longest time that a read waits for a change of a server. It bounds how late
 * the loss of an answer is found.
 */
const SERVER_WAIT_MS = 300;
/** Time from one read of servers to the next, to bound calls to the store. */
const SERVER_INTERVAL_MS = 600;
/** The same while servers are kept whose entry is missing, in ms. */
const LAPSED_INTERVAL_MS = 200;
/** Delay before a failed read is tried again; doubles up to the longest. */
const RETRY_MIN_MS = 150;
/** Longest delay before a failed read is tried again. */
const RETRY_MAX_MS = 1_000;
/** Part of a delay that is left to chance, so that VMs do not act at once. */
const RETRY_JITTER = 0.5;
/** Time between two looks whether this VM must read the store itself. */
const FOLLOW_PAUSE_MS = 200;

/** What the service works with. */
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

  /** Creates a service that has read nothing. */
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

  /** Applies configurations; false when the newest could not be read. */
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
          logger.error("a configuration cannot be read", {
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

  /** Takes over the newest entries; `offsetBefore` was known before the read. */
  #replaceServers(
    { updates, next }: ReadServers,
    offsetBefore: Offset,
    now: number,
  ): void {
    const { registry, logger } = this.#parts;
    const offset = next - 1;
    if (offset < offsetBefore) {
      logger.warn("the store has less than was known of it; forgets that", {
        offset,
        known: offsetBefore,
      });
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
    if (isReached) logger.info("the store answers again", { stream });
    else logger.warn("the store is lost", { stream, reason: read.reason });
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
