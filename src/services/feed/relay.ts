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
import type { EvacuatedDomains } from "../evacuation/mod.ts";
import type { FreshnessSource } from "../freshness/mod.ts";
import type { ConfigurationDocument } from "../../model/mod.ts";
import type { Logger } from "../logging/mod.ts";
import type { Random } from "../random/mod.ts";
import { listCold } from "./cold_servers.ts";
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
const DIRECT_READ_AFTER_MS = 1_400;
/**
 * Range of the random extra delay after the start of this VM. Most VMs that
 * start together find a hub meanwhile and never read the store themselves.
 */
const START_SPREAD_MS = 1_000;

/**
 * Time for which this VM's servers may differ from the hub's: a read by the hub
 * and a report. This VM must know within two seconds that a server leaves, even
 * if it has to read the store itself after that time.
 */
const DIFFERENCE_LIMIT_MS = 1_000;

/**
 * Minimum time for which a hub must have had an older configuration than this
 * VM until it is sent the newer one; usually it reads that itself meanwhile.
 */
const OLDER_VERSION_LIMIT_MS = 500;
/** Random extra time; most followers learn that another one was first. */
const OLDER_VERSION_SPREAD_MS = 2_000;

/** Dependencies of {@linkcode FeedRelay}. */
export interface FeedRelayDependencies {
  readonly clock: Clock;
  readonly fleet: Fleet;
  readonly configuration: Configuration;
  readonly registry: ServerRegistry;
  readonly evacuations: EvacuatedDomains;
  readonly freshness: FreshnessSource;
  readonly random: Random;
  readonly logger: Logger;
}

/** A configuration to be sent to a hub, unless that gets it meanwhile. */
interface DocumentResend {
  readonly version: Offset;
  /** Monotonic time from which it is sent; infinite once it was. */
  readonly dueAt: number;
}

/** Relays updates of the store within one failure domain. */
export class FeedRelay implements ConfirmationSource {
  readonly #deps: FeedRelayDependencies;
  #document: ConfigurationDocument | undefined;
  /** Request time of the newest complete read of configurations. */
  #confirmedAt: number | undefined;
  /** Time at which the newest read of servers was requested. */
  #serversRequestedAt: number | undefined;
  /** Time of the newest call for each stream, if it got no response. */
  readonly #failedAt = new Map<FeedStream, number>();
  /**
   * A hub has read both streams at this time or later. Before the first report
   * of a hub, it is set to delay this VM's own reads.
   */
  #relayedAt: number;
  /** Newest time at which this VM and its hub had the same servers. */
  #matchedAt: number;
  #isRereadDue = false;
  /** Configurations that hubs with an older one are sent, once each. */
  readonly #resends = new WeakMap<Link, DocumentResend>();

  /** Creates a relay and registers its message handlers. */
  constructor(deps: FeedRelayDependencies) {
    this.#deps = deps;
    this.#matchedAt = deps.clock.now();
    this.#relayedAt = deps.clock.now() + START_SPREAD_MS * deps.random();
    const { fleet, registry } = deps;
    fleet.setConfirmationSource(this);
    fleet.addReceiverListener((link) => this.#sendAll(link));
    fleet.setHandler(FleetMessageKind.Document, ({ document }) => {
      this.applyDocument(document);
    });
    fleet.setHandler(FleetMessageKind.Servers, (message, link) => {
      if (!isStateSource(link)) return;
      const { listings, offset, tombstones } = message;
      const contradicted = registry.replaceAll(
        listings,
        offset,
        this.#now(),
        ServerOrigin.HubList,
        tombstones,
      );
      for (const server of contradicted) {
        link.send({ kind: FleetMessageKind.ServerRemoved, server });
      }
    });
    fleet.setHandler(FleetMessageKind.ServerSet, ({ listing }) => {
      registry.setRelayed(listing, this.#now());
    });
    fleet.setHandler(FleetMessageKind.ServerRemoved, ({ server }, link) => {
      if (link.kind === LinkKind.Uplink) {
        registry.removeRelayed(server, this.#now());
      } else {
        registry.removeContradicted(server);
      }
    });
    registry.setListener({
      recordSet: (listing) =>
        fleet.sendToFollowers({ kind: FleetMessageKind.ServerSet, listing }),
      recordRemoved: (server) =>
        fleet.sendToFollowers({ kind: FleetMessageKind.ServerRemoved, server }),
      recordReplaced: () => {
        const message = this.#createServersMessage();
        if (message !== undefined) fleet.sendToFollowers(message);
      },
    });
  }

  /** Whether this VM must read the store itself. */
  isReader(): boolean {
    switch (this.#deps.fleet.role) {
      case FleetRole.Hub:
        return true;
      case FleetRole.Searching:
      case FleetRole.Follower:
        return this.#now() - this.#relayedAt > DIRECT_READ_AFTER_MS;
    }
  }

  /** Whether this VM reads the store for others. */
  isHub(): boolean {
    return this.#deps.fleet.role === FleetRole.Hub;
  }

  /** Applies a configuration and sends it to followers, if it is newer. */
  applyDocument(document: ConfigurationDocument): void {
    const { configuration, fleet, logger } = this.#deps;
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

  /** Records that a read at `requestedAt` was complete and has been applied. */
  recordRead(requestedAt: number): void {
    this.#deps.freshness.recordLogRead(requestedAt);
    this.#confirmedAt = requestedAt;
  }

  /** Records that a read of servers requested at `requestedAt` was applied. */
  recordServersRead(requestedAt: number): void {
    this.#serversRequestedAt = requestedAt;
  }

  /** Records whether a call to the store at `requestedAt` got a response. */
  recordReachability(
    stream: FeedStream,
    isReachable: boolean,
    requestedAt: number,
  ): void {
    if (isReachable) this.#failedAt.delete(stream);
    else this.#failedAt.set(stream, requestedAt);
  }

  /** Records that only the hub reads a stream; discards earlier failures. */
  recordIdle(stream: FeedStream): void {
    this.#failedAt.delete(stream);
  }

  getFailedCallAt(): number | undefined {
    if (this.#failedAt.size === 0) return undefined;
    return Math.max(...this.#failedAt.values());
  }

  getConfirmation(): Confirmation | undefined {
    if (this.#confirmedAt === undefined) return undefined;
    return {
      requestedAt: this.#confirmedAt,
      version: this.#deps.configuration.offset,
      evacuationsAt: this.#deps.evacuations.changedAt,
      serversRequestedAt: this.#serversRequestedAt,
    };
  }

  recordRelayed(
    { requestedAt, version, evacuationsAt, serversRequestedAt }: Confirmation,
  ): void {
    const { configuration, evacuations, freshness } = this.#deps;
    if (configuration.offset < version || version === 0) return;
    if (evacuations.upTo < evacuationsAt) return;
    const now = this.#now();
    freshness.recordLogRead(Math.min(requestedAt, now));
    const bothAt = Math.min(requestedAt, serversRequestedAt ?? -Infinity, now);
    this.#relayedAt = Math.max(this.#relayedAt, bothAt);
  }

  /** Sends a VM the configuration and servers that it lacks. */
  #sendAll(link: Link): void {
    const { version, serversDigest } = link.known;
    const document = this.#document;
    if (document !== undefined && document.version !== version) {
      link.send({ kind: FleetMessageKind.Document, document });
    }
    if (serversDigest === this.getKnown().serversDigest) {
      return this.#sendCold(link);
    }
    const message = this.#createServersMessage();
    if (message !== undefined) link.send(message);
  }

  /**
   * Sends a follower the cold servers. The digest does not contain whether a
   * server is cold, and the follower may have missed that one is cold again.
   */
  #sendCold(link: Link): void {
    const { configuration, registry } = this.#deps;
    const { servers } = configuration.state;
    for (const listing of listCold(registry.list(), servers, this.#now())) {
      link.send({ kind: FleetMessageKind.ServerSet, listing });
    }
  }

  #createServersMessage(): ServersRelay | undefined {
    const { registry } = this.#deps;
    if (registry.offset < 0) return undefined;
    return {
      kind: FleetMessageKind.Servers,
      offset: registry.offset,
      listings: registry.list(),
      tombstones: registry.listRecentTombstones(),
    };
  }

  getKnown(): KnownState {
    const { configuration, registry } = this.#deps;
    return {
      version: configuration.offset,
      serversDigest: registry.computeDigest(),
    };
  }

  /**
   * Sends a hub this VM's configuration if it has had an older one for too
   * long: a store that was restored from a copy may contain only that one.
   */
  checkVersion(version: Offset, link: Link): void {
    const document = this.#document;
    if (document === undefined || version >= document.version) return;
    const now = this.#now();
    const known = this.#resends.get(link);
    const resend = known?.version === document.version
      ? known
      : { version: document.version, dueAt: this.#computeDueAt(now) };
    this.#resends.set(link, resend);
    if (now < resend.dueAt) return;
    this.#resends.set(link, { ...resend, dueAt: Infinity });
    this.#deps.logger.warn("sending a hub a newer configuration than it has", {
      hub: link.vm.name,
      version: document.version,
      earlier: version,
    });
    link.send({ kind: FleetMessageKind.Document, document });
  }

  #computeDueAt(now: number): number {
    return now + OLDER_VERSION_LIMIT_MS +
      OLDER_VERSION_SPREAD_MS * this.#deps.random();
  }

  /** Requests a read of the store if the hub's servers differ for too long. */
  checkServersDigest(digest: number, link: Link): void {
    const now = this.#now();
    const { registry } = this.#deps;
    // Servers that are retained for a grace period differ from the hub's.
    const isSame = digest === this.getKnown().serversDigest;
    if (isSame || registry.hasExpired) this.#matchedAt = now;
    if (now - this.#matchedAt < DIFFERENCE_LIMIT_MS) return;
    this.#matchedAt = now;
    this.#isRereadDue = true;
    this.#deps.logger.warn(
      "this VM's servers differ from the hub's; reading the store again",
      { hub: link.vm.name, offset: registry.offset },
    );
  }

  /** Returns and clears whether the servers must be read again. */
  collectRereadRequest(): boolean {
    const isDue = this.#isRereadDue;
    this.#isRereadDue = false;
    return isDue;
  }

  #now(): number {
    return this.#deps.clock.now();
  }
}

/** Whether lists of all servers are accepted on a link. */
function isStateSource({ kind }: Link): boolean {
  switch (kind) {
    case LinkKind.Uplink:
    case LinkKind.StateSource:
      return true;
    case LinkKind.Follower:
    case LinkKind.ToHub:
    case LinkKind.FromHub:
    case LinkKind.Visitor:
    case LinkKind.StateReceiver:
      return false;
  }
}
