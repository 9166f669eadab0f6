/** Relays configurations and servers from a hub to its followers. */
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

/** Streams that are read from the store. */
export enum FeedStream {
  Configurations = "configurations",
  Servers = "servers",
}

/**
 * Age of the hub's newest read of either stream from which a follower reads the
 * store itself. Two successive reads of the hub and a report fit into it.
 */
const DIRECT_AFTER_MS = 1_400;

/**
 * Time for which this VM's servers may differ from the hub's: a read by the hub
 * and a report. This VM must know within two seconds that a server leaves, even
 * if it has to read the store itself after that time.
 */
const DIFFERENCE_LIMIT_MS = 1_000;

/** Dependencies of {@linkcode FeedRelay}. */
export interface FeedRelayParts {
  readonly clock: Clock;
  readonly fleet: Fleet;
  readonly configuration: Configuration;
  readonly registry: ServerRegistry;
  readonly freshness: FreshnessSource;
  readonly logger: Logger;
}

/** Relays updates of the store within one failure domain. */
export class FeedRelay implements ConfirmationSource {
  readonly #parts: FeedRelayParts;
  #document: ConfigurationDocument | undefined;
  #confirmation: { askedAt: number; version: Offset } | undefined;
  /** Time at which the newest read of servers was requested. */
  #serversAskedAt: number | undefined;
  /** Time of the newest call for each stream, if it got no response. */
  readonly #lostAt = new Map<FeedStream, number>();
  /** The hub has read both streams at this time or later. */
  #passedAt = -Infinity;
  /** Newest time at which this VM and its hub had the same servers. */
  #alikeAt: number;
  #isRereadDue = false;

  /** Creates a relay and registers its message handlers. */
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

  /** Returns whether this VM must read the store itself. */
  isReader(): boolean {
    switch (this.#parts.fleet.role) {
      case FleetRole.Hub:
      case FleetRole.Searching:
        return true;
      case FleetRole.Follower:
        return this.#now() - this.#passedAt > DIRECT_AFTER_MS;
    }
  }

  /** Applies a configuration and sends it to followers, if it is newer. */
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

  /** Records that a read requested at `askedAt` returned nothing newer. */
  recordRead(askedAt: number): void {
    const { configuration, freshness } = this.#parts;
    freshness.recordLogRead(askedAt);
    this.#confirmation = { askedAt, version: configuration.offset };
  }

  /** Records that a read of servers requested at `askedAt` was applied. */
  recordServersRead(askedAt: number): void {
    this.#serversAskedAt = askedAt;
  }

  /** Records whether a call to the store at `askedAt` got a response. */
  recordReach(stream: FeedStream, isReached: boolean, askedAt: number): void {
    if (isReached) this.#lostAt.delete(stream);
    else this.#lostAt.set(stream, askedAt);
  }

  /** Records that only the hub reads a stream; discards earlier failures. */
  recordIdle(stream: FeedStream): void {
    this.#lostAt.delete(stream);
  }

  getFailedCallAt(): number | undefined {
    if (this.#lostAt.size === 0) return undefined;
    return Math.max(...this.#lostAt.values());
  }

  getConfirmation(): Confirmation | undefined {
    if (this.#confirmation === undefined) return undefined;
    return { ...this.#confirmation, serversAskedAt: this.#serversAskedAt };
  }

  recordRelayed({ askedAt, version, serversAskedAt }: Confirmation): void {
    const { configuration, freshness } = this.#parts;
    if (configuration.offset < version || version === 0) return;
    const now = this.#now();
    freshness.recordLogRead(Math.min(askedAt, now));
    const bothAt = Math.min(askedAt, serversAskedAt ?? -Infinity, now);
    this.#passedAt = Math.max(this.#passedAt, bothAt);
  }

  /** Sends a new follower the configuration and servers that it lacks. */
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

  /** Requests a read of the store if the hub's servers differ for too long. */
  checkServersDigest(digest: number, link: Link): void {
    const now = this.#now();
    if (digest === this.getKnown().serversDigest) this.#alikeAt = now;
    if (now - this.#alikeAt < DIFFERENCE_LIMIT_MS) return;
    this.#alikeAt = now;
    this.#isRereadDue = true;
    this.#parts.logger.warn(
      "this VM's servers differ from the hub's; reading the store again",
      { hub: link.vm.name, offset: this.#parts.registry.offset },
    );
  }

  /** Returns and clears whether the servers must be read again. */
  takeReread(): boolean {
    const isDue = this.#isRereadDue;
    this.#isRereadDue = false;
    return isDue;
  }

  #now(): number {
    return this.#parts.clock.now();
  }
}
