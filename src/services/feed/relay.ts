/** Passes configurations and servers on from a hub to its followers. */
import type { Offset } from "../../model/mod.ts";
import type { Clock } from "../clock/mod.ts";
import type { Configuration } from "../configuration/mod.ts";
import { FleetMessageKind, FleetRole, LinkKind } from "../fleet/mod.ts";
import type {
  Confirmation,
  ConfirmationSource,
  Fleet,
  KnownState,
  Link,
  ServersRelay,
} from "../fleet/mod.ts";
import type { FreshnessSource } from "../freshness/mod.ts";
import type { ConfigurationDocument } from "../../model/mod.ts";
import type { Logger } from "../logging/mod.ts";
import type { ServerRegistry } from "./server_registry.ts";
import { ServerOrigin } from "./source.ts";

/** What is read from the store. */
export enum FeedStream {
  Configurations = "configurations",
  Servers = "servers",
}

/**
 * Age of what the hub has read, of either stream, from which a follower reads
 * the store itself; two reads of the hub in a row and a report fit in.
 */
const DIRECT_AFTER_MS = 1_400;

/**
 * Time for which a hub's servers may differ: one of its reads and a report. A
 * server that leaves must be known within two seconds, even by this detour.
 */
const DIFFERENCE_LIMIT_MS = 1_000;

/** What the service works with. */
export interface FeedRelayParts {
  readonly clock: Clock;
  readonly fleet: Fleet;
  readonly configuration: Configuration;
  readonly registry: ServerRegistry;
  readonly freshness: FreshnessSource;
  readonly logger: Logger;
}

/** Relays what the store says within one failure domain. */
export class FeedRelay implements ConfirmationSource {
  readonly #parts: FeedRelayParts;
  #document: ConfigurationDocument | undefined;
  #confirmation: { askedAt: number; version: Offset } | undefined;
  /** When the newest read of servers was asked for. */
  #serversAskedAt: number | undefined;
  readonly #lostAt = new Map<FeedStream, number>();
  /** Both streams were read by the hub at this time or later. */
  #passedAt = -Infinity;
  /** When this VM and its hub had the same servers last. */
  #alikeAt: number;
  #isRereadDue = false;

  /** Creates a relay and takes over its kinds of messages. */
  constructor(parts: FeedRelayParts) {
    this.#parts = parts;
    this.#alikeAt = parts.clock.now();
    const { fleet, registry } = parts;
    fleet.setConfirmationSource(this);
    fleet.addFollowerListener((link) => this.#sendAll(link));
    fleet.setHandler(FleetMessageKind.Document, ({ document }) => {
      this.applyDocument(document);
    });
    fleet.setHandler(FleetMessageKind.Servers, (message, link) => {
      if (link.kind !== LinkKind.Uplink) return;
      const { listings, offset } = message;
      const origin = ServerOrigin.HubList;
      registry.replaceAll(listings, offset, this.#now(), origin);
    });
    fleet.setHandler(FleetMessageKind.ServerSet, ({ listing }) => {
      registry.setPassed(listing, this.#now());
    });
    fleet.setHandler(FleetMessageKind.ServerRemoved, ({ server }) => {
      registry.removePassed(server);
    });
    registry.setListener({
      recordSet: (listing) =>
        fleet.sendToFollowers({ kind: FleetMessageKind.ServerSet, listing }),
      recordRemoved: (server) =>
        fleet.sendToFollowers({ kind: FleetMessageKind.ServerRemoved, server }),
      recordReplaced: () => {
        const message = this.#createServers();
        if (message !== undefined) fleet.sendToFollowers(message);
      },
    });
  }

  /** Whether this VM must read the store itself now. */
  isReader(): boolean {
    switch (this.#parts.fleet.role) {
      case FleetRole.Hub:
      case FleetRole.Searching:
        return true;
      case FleetRole.Follower:
        return this.#now() - this.#passedAt > DIRECT_AFTER_MS;
    }
  }

  /** Takes over a configuration, and passes it on, if it is newer. */
  applyDocument(document: ConfigurationDocument): void {
    const { configuration, fleet, logger } = this.#parts;
    const earlier = configuration.offset;
    if (!configuration.loadDocument(document)) return;
    this.#document = document;
    logger.info("a configuration is in force", {
      version: document.version,
      earlier,
      routes: document.routes.length,
      teams: document.teams.length,
    });
    fleet.sendToFollowers({ kind: FleetMessageKind.Document, document });
  }

  /** Records that a read asked for at `askedAt` found nothing newer. */
  recordRead(askedAt: number): void {
    const { configuration, freshness } = this.#parts;
    freshness.recordLogRead(askedAt);
    this.#confirmation = { askedAt, version: configuration.offset };
  }

  /** Records that a read of servers, asked for at `askedAt`, was applied. */
  recordServersRead(askedAt: number): void {
    this.#serversAskedAt = askedAt;
  }

  /** Records whether a call to the store, made at `askedAt`, was answered. */
  recordReach(stream: FeedStream, isReached: boolean, askedAt: number): void {
    if (isReached) this.#lostAt.delete(stream);
    else this.#lostAt.set(stream, askedAt);
  }

  /** Records that a stream is left to the hub; older calls tell nothing then. */
  recordIdle(stream: FeedStream): void {
    this.#lostAt.delete(stream);
  }

  getLostAt(): number | undefined {
    if (this.#lostAt.size === 0) return undefined;
    return Math.max(...this.#lostAt.values());
  }

  getConfirmation(): Confirmation | undefined {
    if (this.#confirmation === undefined) return undefined;
    return { ...this.#confirmation, serversAskedAt: this.#serversAskedAt };
  }

  recordPassed({ askedAt, version, serversAskedAt }: Confirmation): void {
    const { configuration, freshness } = this.#parts;
    if (configuration.offset < version || version === 0) return;
    const now = this.#now();
    freshness.recordLogRead(Math.min(askedAt, now));
    const bothAt = Math.min(askedAt, serversAskedAt ?? -Infinity, now);
    this.#passedAt = Math.max(this.#passedAt, bothAt);
  }

  /** Tells a new follower all that it does not know yet. */
  #sendAll(link: Link): void {
    const { version, serversDigest } = link.known;
    const document = this.#document;
    if (document !== undefined && document.version !== version) {
      link.send({ kind: FleetMessageKind.Document, document });
    }
    if (serversDigest === this.getKnown().serversDigest) return;
    const message = this.#createServers();
    if (message !== undefined) link.send(message);
  }

  #createServers(): ServersRelay | undefined {
    const { registry } = this.#parts;
    if (registry.offset < 0) return undefined;
    return {
      kind: FleetMessageKind.Servers,
      offset: registry.offset,
      listings: registry.list(),
    };
  }

  getKnown(): KnownState {
    const { configuration, registry } = this.#parts;
    return {
      version: configuration.offset,
      serversDigest: registry.computeDigest(),
    };
  }

  /** Has the store read again when the hub's servers differ for too long. */
  checkServersDigest(digest: number, link: Link): void {
    const now = this.#now();
    if (digest === this.getKnown().serversDigest) this.#alikeAt = now;
    if (now - this.#alikeAt < DIFFERENCE_LIMIT_MS) return;
    this.#alikeAt = now;
    this.#isRereadDue = true;
    this.#parts.logger.warn("the hub has other servers; reads them again", {
      hub: link.vm.name,
      offset: this.#parts.registry.offset,
    });
  }

  /** Takes the order to read the servers again, if there is one. */
  takeReread(): boolean {
    const isDue = this.#isRereadDue;
    this.#isRereadDue = false;
    return isDue;
  }

  #now(): number {
    return this.#parts.clock.now();
  }
}
