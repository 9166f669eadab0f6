/** Passes configurations and servers on from a hub to its followers. */
import type { Offset } from "../../model/mod.ts";
import type { Clock } from "../clock/mod.ts";
import type { Configuration } from "../configuration/mod.ts";
import { FleetMessageKind, FleetRole, LinkKind } from "../fleet/mod.ts";
import type {
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

/**
 * Time without a confirmation from the hub after which a follower reads the
 * store itself; two reads of the hub in a row and a report fit in.
 */
const DIRECT_AFTER_MS = 1_400;

/** Time for which a hub's servers may differ: two of its reads and a report. */
const DIFFERENCE_LIMIT_MS = 1_500;

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
  #lostAt: number | undefined;
  #passedAt = -Infinity;
  /** When this VM and its hub had the same servers last. */
  #alikeAt: number;

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
      const { entries, offset } = message;
      if (message.isForced) {
        registry.replaceByForce(entries, offset, this.#now());
      } else {
        const origin = ServerOrigin.HubList;
        registry.replaceAll(entries, offset, this.#now(), origin);
      }
    });
    fleet.setHandler(FleetMessageKind.ServerSet, (message) => {
      registry.setPassed(message.entry, message.offset, this.#now());
    });
    fleet.setHandler(FleetMessageKind.ServerRemoved, (message) => {
      registry.removePassed(message.server, message.offset);
    });
    registry.setListener({
      recordSet: (entry, offset) =>
        fleet.sendToFollowers({
          kind: FleetMessageKind.ServerSet,
          entry,
          offset,
        }),
      recordRemoved: (server, offset) =>
        fleet.sendToFollowers({
          kind: FleetMessageKind.ServerRemoved,
          server,
          offset,
        }),
      recordReplaced: () => {
        const message = this.#createServers();
        if (message !== undefined) fleet.sendToFollowers(message);
      },
    });
    fleet.setHandler(FleetMessageKind.ServersWanted, (_message, link) => {
      const message = this.#createServers();
      if (message !== undefined) link.send({ ...message, isForced: true });
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

  /** Records whether a call to the store, made at `askedAt`, was answered. */
  recordReach(isReached: boolean, askedAt: number): void {
    this.#lostAt = isReached ? undefined : askedAt;
  }

  getLostAt(): number | undefined {
    return this.#lostAt;
  }

  getConfirmation(): { askedAt: number; version: Offset } | undefined {
    return this.#confirmation;
  }

  recordPassed(askedAt: number, version: Offset): void {
    const { configuration, freshness, clock } = this.#parts;
    if (configuration.offset < version || version === 0) return;
    this.#passedAt = Math.max(
      this.#passedAt,
      Math.min(askedAt, clock.now()),
    );
    freshness.recordLogRead(Math.min(askedAt, clock.now()));
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
      entries: registry.listEntries(),
      isForced: false,
    };
  }

  getKnown(): KnownState {
    const { configuration, registry } = this.#parts;
    return {
      version: configuration.offset,
      serversDigest: registry.computeDigest(),
    };
  }

  /** Asks for all servers when the hub's differ for longer than a read takes. */
  checkServersDigest(digest: number, link: Link): void {
    const now = this.#now();
    if (digest === this.getKnown().serversDigest) this.#alikeAt = now;
    if (now - this.#alikeAt < DIFFERENCE_LIMIT_MS) return;
    this.#alikeAt = now;
    this.#parts.logger.warn("the hub has other servers; asks for all", {
      hub: link.vm.name,
      offset: this.#parts.registry.offset,
    });
    link.send({ kind: FleetMessageKind.ServersWanted });
  }

  #now(): number {
    return this.#parts.clock.now();
  }
}
