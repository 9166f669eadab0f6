/** Feed service: reads configurations and servers from the store. */
import { getEra, getOffsetInEra } from "../../model/mod.ts";
import type { Offset } from "../../model/mod.ts";
import type { Clock } from "../clock/mod.ts";
import type { EvacuatedDomains } from "../evacuation/mod.ts";
import type { Logger } from "../logging/mod.ts";
import { Counter } from "../metrics/mod.ts";
import type { Metrics } from "../metrics/mod.ts";
import type { Random } from "../random/mod.ts";
import { FeedStream } from "./relay.ts";
import type { FeedRelay } from "./relay.ts";
import { RestoredReadKind } from "./restored_store.ts";
import type { RestoredStore } from "./restored_store.ts";
import type { ServerRegistry } from "./server_registry.ts";
import {
  DocumentUpdateKind,
  EvacuationUpdateKind,
  FeedReadKind,
  ServerOrigin,
  ServerUpdateKind,
} from "./source.ts";
import type {
  EraChange,
  EraSource,
  FeedRead,
  FeedSource,
  OperatorUpdate,
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
const EXPIRED_INTERVAL_MS = 200;
/** Delay before the first retry of a failed read; doubles with each retry. */
const RETRY_MIN_MS = 150;
/** Maximum delay before a retry of a failed read. */
const RETRY_MAX_MS = 1_000;
/**
 * The same for a hub. It reads again before most of its followers, which then
 * need not read the store themselves.
 */
const HUB_RETRY_MAX_MS = 400;
/** Random share of a retry delay; keeps VMs from retrying simultaneously. */
const RETRY_JITTER_RATIO = 0.5;
/**
 * Maximum random delay before a hub reads the newest records of a new era. Its
 * followers read the store themselves if it takes 1.4 s.
 */
const HUB_ERA_SPREAD_MS = 200;
/**
 * Minimum delay of other VMs. A hub has read (400 ms until it retries, 200 ms of
 * spread) and reported (250 ms) by then, so that its followers need not read.
 */
const ERA_DELAY_MS = 850;
/**
 * Random extra delay of other VMs: 300 VMs that all have no hub make 200 reads
 * of each stream a second.
 */
const ERA_SPREAD_MS = 1_500;
/** Interval between checks whether this VM must read the store itself. */
const READER_CHECK_MS = 200;

/** Dependencies of {@linkcode Feed}. */
export interface FeedDependencies {
  readonly clock: Clock;
  readonly random: Random;
  readonly relay: FeedRelay;
  readonly restoredStore: RestoredStore;
  readonly registry: ServerRegistry;
  readonly evacuations: EvacuatedDomains;
  readonly documents: FeedSource<OperatorUpdate>;
  readonly servers: FeedSource<ServerUpdate>;
  readonly eras: EraSource;
  readonly metrics: Metrics;
  readonly logger: Logger;
}

type ReadDocuments = Extract<
  FeedRead<OperatorUpdate>,
  { kind: FeedReadKind.Updates }
>;
type ReadServers = Extract<
  FeedRead<ServerUpdate>,
  { kind: FeedReadKind.Updates }
>;

/** Reads both streams and applies them. */
export class Feed {
  readonly #deps: FeedDependencies;
  #isStoreReachable = true;
  /**
   * Offset of the newest configuration, if it is unreadable. Until a readable
   * one at a later offset was applied, no read confirms the one in force.
   */
  #unreadableAt: Offset | undefined;
  /** Position of the next read of configurations. */
  #documentsUpTo: Offset = 0;

  /** Creates a feed that has not read anything yet. */
  constructor(deps: FeedDependencies) {
    this.#deps = deps;
    deps.eras.addListener((change) => this.#recordEra(change));
  }

  /** Reads configurations until `signal` aborts. */
  async runDocuments(signal: AbortSignal): Promise<void> {
    const { documents, clock, relay, evacuations } = this.#deps;
    let position: Offset | undefined;
    let failures = 0;
    let isHubAwaited = false;
    while (!signal.aborted) {
      evacuations.removeExpired(clock.now());
      if (!relay.isReader()) {
        position = undefined;
        failures = 0;
        isHubAwaited = false;
        relay.recordIdle(FeedStream.Configurations);
        await clock.sleep(READER_CHECK_MS, signal);
        continue;
      }
      const requestedAt = clock.now();
      const read = position === undefined
        ? await this.#readNewest(documents, failures, isHubAwaited)
        : await documents.readFrom(position, DOCUMENT_WAIT_MS);
      this.#recordReachability(read, FeedStream.Configurations, requestedAt);
      switch (read.kind) {
        case FeedReadKind.Updates: {
          failures = 0;
          isHubAwaited = false;
          if (!(await this.#isUsable(read, signal))) break;
          if (position === undefined) this.#replaceEvacuations(read);
          this.#applyDocuments(read);
          position = read.next;
          this.#documentsUpTo = position;
          if (read.isComplete && this.#unreadableAt === undefined) {
            relay.recordRead(requestedAt);
          }
          break;
        }
        case FeedReadKind.OutOfRange:
          position = undefined;
          break;
        case FeedReadKind.EraChanged:
          position = undefined;
          isHubAwaited = true;
          await clock.sleep(this.#computeEraDelayMs(), signal);
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
    const { servers, clock, registry, relay } = this.#deps;
    let position: Offset | undefined;
    let failures = 0;
    let isHubAwaited = false;
    while (!signal.aborted) {
      registry.removeExpired(clock.now());
      const isReread = relay.collectRereadRequest();
      if (isReread) position = undefined;
      if (!isReread && !relay.isReader()) {
        position = undefined;
        failures = 0;
        isHubAwaited = false;
        relay.recordIdle(FeedStream.Servers);
        await clock.sleep(READER_CHECK_MS, signal);
        continue;
      }
      const requestedAt = clock.now();
      const offsetBefore = registry.offset;
      const read = position === undefined
        ? await this.#readNewest(servers, failures, isHubAwaited)
        : await servers.readFrom(
          position,
          registry.hasExpired ? 0 : SERVER_WAIT_MS,
        );
      this.#recordReachability(read, FeedStream.Servers, requestedAt);
      switch (read.kind) {
        case FeedReadKind.Updates: {
          const isUsable = await this.#isUsable(read, signal);
          const now = clock.now();
          if (failures > 0) registry.recordOutageEnd(now);
          failures = 0;
          isHubAwaited = false;
          if (!isUsable) break;
          if (position !== undefined) this.#applyServers(read, now);
          else this.#replaceServers(read, offsetBefore, now);
          position = read.next;
          if (read.isComplete) relay.recordServersRead(requestedAt);
          await this.#waitSince(
            requestedAt,
            registry.hasExpired ? EXPIRED_INTERVAL_MS : SERVER_INTERVAL_MS,
            signal,
          );
          break;
        }
        case FeedReadKind.OutOfRange:
          position = undefined;
          break;
        case FeedReadKind.EraChanged:
          position = undefined;
          isHubAwaited = true;
          await clock.sleep(this.#computeEraDelayMs(), signal);
          break;
        case FeedReadKind.Unavailable:
          await clock.sleep(this.#computeDelayMs(failures), signal);
          failures += 1;
          break;
      }
    }
  }

  /**
   * Reads the newest records. After an outage or a restore, all VMs are about to
   * read all records. Those other than hubs therefore first make a short read;
   * the result is `EraChanged` if they should wait for their hub instead.
   */
  async #readNewest<Update>(
    source: FeedSource<Update>,
    failures: number,
    isHubAwaited: boolean,
  ): Promise<FeedRead<Update>> {
    const { relay, registry, servers } = this.#deps;
    if (isHubAwaited || relay.isHub() || registry.offset < 0) {
      return await source.readNewest();
    }
    const check = await servers.readFrom(registry.offset + 1, 0);
    switch (check.kind) {
      case FeedReadKind.EraChanged:
      case FeedReadKind.Unavailable:
        return check;
      case FeedReadKind.Updates:
      case FeedReadKind.OutOfRange:
        return failures > 0
          ? { kind: FeedReadKind.EraChanged }
          : await source.readNewest();
    }
  }

  /** Waits until a read may be applied; returns false if it is too old then. */
  async #isUsable(
    { next }: ReadDocuments | ReadServers,
    signal: AbortSignal,
  ): Promise<boolean> {
    const kind = await this.#deps.restoredStore.waitUntilUsable(next, signal);
    switch (kind) {
      case RestoredReadKind.Usable:
        return true;
      case RestoredReadKind.Outdated:
        return false;
    }
  }

  /** Applies a read of the newest records, which contain all evacuations. */
  #replaceEvacuations({ updates, next }: ReadDocuments): void {
    const { evacuations, clock } = this.#deps;
    const domains = updates.filter((update) =>
      update.kind === EvacuationUpdateKind.Evacuated
    ).map(({ domain, offset }) => ({ domain, offset }));
    evacuations.replaceAll(domains, next - 1, clock.now());
  }

  #applyDocuments({ updates, next }: ReadDocuments): void {
    const { evacuations } = this.#deps;
    for (const update of updates) {
      switch (update.kind) {
        case EvacuationUpdateKind.Evacuated:
        case EvacuationUpdateKind.Restored:
          evacuations.apply(update);
          break;
        case DocumentUpdateKind.Readable:
          if (update.offset > (this.#unreadableAt ?? -1)) {
            this.#unreadableAt = undefined;
          }
          this.#deps.relay.applyDocument(update.document);
          break;
        case DocumentUpdateKind.Unreadable:
          this.#recordUnreadable(update.offset, update.reason);
          break;
      }
    }
    evacuations.advance(next - 1);
  }

  #recordUnreadable(offset: Offset, reason: string): void {
    if (offset <= (this.#unreadableAt ?? -1)) return;
    this.#unreadableAt = offset;
    const { logger } = this.#deps;
    logger.error(
      "the newest configuration is unreadable; the one in force is not " +
        "confirmed until a readable one is published",
      { reason, offset },
    );
  }

  #applyServers({ updates }: ReadServers, now: number): void {
    const { registry } = this.#deps;
    for (const update of updates) registry.apply(update, now);
    registry.removeFewExpired();
  }

  /** Applies a read of the newest entries; `offsetBefore` precedes the read. */
  #replaceServers(
    { updates, next }: ReadServers,
    offsetBefore: Offset,
    now: number,
  ): void {
    const { registry, logger } = this.#deps;
    const offset = next - 1;
    // Without eras, only this tells that the store is another one.
    if (offset < offsetBefore && getEra(offsetBefore) === 0) {
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
    registry.removeFewExpired();
  }

  #recordReachability(
    read: FeedRead<unknown>,
    stream: FeedStream,
    requestedAt: number,
  ): void {
    this.#deps.metrics.add(Counter.StoreReads, stream);
    const isReachable = read.kind !== FeedReadKind.Unavailable;
    this.#deps.relay.recordReachability(stream, isReachable, requestedAt);
    if (isReachable === this.#isStoreReachable) return;
    this.#isStoreReachable = isReachable;
    const { logger } = this.#deps;
    if (isReachable) logger.info("store reads succeed again", { stream });
    else logger.warn("store reads fail", { stream, reason: read.reason });
  }

  /** Waits until `ms` milliseconds have passed since `startedAt`. */
  async #waitSince(
    startedAt: number,
    ms: number,
    signal: AbortSignal,
  ): Promise<void> {
    const { clock } = this.#deps;
    const remainingMs = startedAt + ms - clock.now();
    if (remainingMs > 0) await clock.sleep(remainingMs, signal);
  }

  #recordEra({ earlier, era }: EraChange): void {
    const { registry, relay, metrics, logger } = this.#deps;
    metrics.add(Counter.StoreEras);
    logger.warn("the store has a new era; reading its newest records again", {
      earlier,
      era,
      serversUpTo: getOffsetInEra(registry.offset),
      configurationsUpTo: getOffsetInEra(this.#documentsUpTo),
      version: relay.getKnown().version,
    });
  }

  #computeEraDelayMs(): number {
    const { relay, random } = this.#deps;
    if (relay.isHub()) return random() * HUB_ERA_SPREAD_MS;
    return ERA_DELAY_MS + random() * ERA_SPREAD_MS;
  }

  #computeDelayMs(failures: number): number {
    const { relay, random } = this.#deps;
    const maxMs = relay.isHub() ? HUB_RETRY_MAX_MS : RETRY_MAX_MS;
    const longestMs = Math.min(maxMs, RETRY_MIN_MS * 2 ** failures);
    return longestMs * (1 - RETRY_JITTER_RATIO * random());
  }
}
