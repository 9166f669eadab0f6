/**
 * Warm-up service: decides whether this VM may send a request to a cold server.
 *
 * A cold server of a service with a warm-up limit takes only a few requests per
 * second from all VMs together. Each of a few owners may send a part of them.
 * All VMs compute the owners from the directory, so they exchange no messages.
 */
import { PAUSE_THRESHOLD_MS } from "../../constants.ts";
import type {
  Server,
  ServerId,
  ServiceId,
  VmName,
  WarmUpLimit,
} from "../../model/mod.ts";
import type { Clock } from "../clock/mod.ts";
import type { Configuration } from "../configuration/mod.ts";
import { getColdUntil } from "../feed/cold_servers.ts";
import type { FreshnessSource } from "../freshness/mod.ts";
import type { Logger } from "../logging/mod.ts";
import { Counter } from "../metrics/mod.ts";
import type { Metrics } from "../metrics/mod.ts";
import { findShare } from "./owners.ts";
import type { OwnerShare, Roster } from "./owners.ts";
import { PermitBucket } from "./permit_bucket.ts";
import { Restarts } from "./restarts.ts";

export type { Roster, RosterVm } from "./owners.ts";

/** Interval of the checks for a pause of the process, in milliseconds. */
const TICK_MS = 250;
/**
 * Time for which a permit may be used, in milliseconds. It suffices to open a
 * connection within a failure domain. Permits that were used later could bring
 * requests of two seconds together.
 */
const PERMIT_VALID_MS = 100;
/**
 * Age of the newest confirmation from which this VM owns nothing, in
 * milliseconds. A VM that is missing for a minute is removed from the directory
 * and others become owners; it must stop using its permits before.
 */
const CONTACT_LIMIT_MS = 30_000;
/**
 * Share of a permit that the owners start with, on average. They start with
 * different shares, so that their first requests don't arrive together.
 */
const INITIAL_SHARE = 0.5;

/** Whether a server may be sent a request with regard to its start. */
export enum Warmth {
  Warm = "warm",
  /** Slow after its start; it takes any number of requests. */
  Slow = "slow",
  /** Cold; this VM may send it one request now. */
  Permitted = "permitted",
  /** May have restarted; this VM may send it one request now. */
  Unclear = "unclear",
  /** Cold; this VM may send it none now. */
  Withheld = "withheld",
}

/** Kinds of {@linkcode Permit}; the values are labels of a metric. */
export enum PermitKind {
  Unneeded = "unneeded",
  Granted = "granted",
  Denied = "denied",
}

/** Permission to send one request to a server. */
export type Permit =
  | { readonly kind: PermitKind.Unneeded }
  | {
    readonly kind: PermitKind.Granted;
    /** Monotonic time at which it was acquired, in milliseconds. */
    readonly at: number;
  }
  | { readonly kind: PermitKind.Denied };

/** Limits the requests to cold servers. */
export interface WarmUpLimiter {
  /** Returns whether a server may be sent a request now. */
  getWarmth(server: Server): Warmth;
  /** Returns the requests per second that a cold server takes from all VMs. */
  getRateLimit(server: Server): number;
  /** Acquires the permission to send a request to a server. */
  acquire(server: Server): Permit;
  /** Whether a permit is valid at the moment at which the request is sent. */
  checkPermit(server: Server, permit: Permit): boolean;
  /** Records that a server refused a connection or could not be reached. */
  recordUnreachable(server: Server): void;
  /** Records that a server sent a response. */
  recordReached(server: Server): void;
}

/** Limiter for VMs whose servers report no cold times. */
export const NO_WARM_UP: WarmUpLimiter = {
  getWarmth: () => Warmth.Warm,
  getRateLimit: () => Infinity,
  acquire: () => ({ kind: PermitKind.Unneeded }),
  checkPermit: () => true,
  recordUnreachable: () => {},
  recordReached: () => {},
};

/** Dependencies of {@linkcode WarmUp}. */
export interface WarmUpDependencies {
  /** Name of this VM. */
  readonly vm: VmName;
  readonly clock: Clock;
  readonly configuration: Configuration;
  readonly freshness: Pick<FreshnessSource, "getReport">;
  readonly metrics: Metrics;
  readonly logger: Logger;
  /** Finds the VMs in the directory; undefined while they are not all known. */
  readonly findRoster: () => Roster | undefined;
}

/** A cold server with the permits of this VM. */
interface ColdServer {
  readonly bucket: PermitBucket;
  /** Version of the roster from which `share` was computed. */
  readonly version: number;
  readonly share: OwnerShare | undefined;
}

/** Limits the requests of one VM to cold servers. */
export class WarmUp implements WarmUpLimiter {
  readonly #deps: WarmUpDependencies;
  readonly #cold = new Map<ServerId, ColdServer>();
  readonly #restarts = new Restarts();
  #checkedAt: number;
  /** Time of the end of the newest pause of the process, in milliseconds. */
  #resumedAt = -Infinity;

  /** Creates the service without cold servers. */
  constructor(deps: WarmUpDependencies) {
    this.#deps = deps;
    this.#checkedAt = deps.clock.now();
  }

  /** Detects pauses and removes servers that are warm, until it is aborted. */
  async run(signal: AbortSignal): Promise<void> {
    const { clock } = this.#deps;
    while (!signal.aborted) {
      await clock.sleep(TICK_MS, signal);
      this.#checkPause();
      this.#restarts.removeEnded(clock.now());
      this.#removeWarm();
    }
  }

  getWarmth(server: Server): Warmth {
    // Called for each server several times per request; most are never cold.
    if (!server.coldMs && !this.#restarts.hasMarks) return Warmth.Warm;
    const now = this.#deps.clock.now();
    const limit = this.#findLimit(server.service);
    if (limit === undefined) {
      return now < getColdUntil(server) ? Warmth.Slow : Warmth.Warm;
    }
    if (!this.#isCold(server, now)) return Warmth.Warm;
    const { bucket, share } = this.#getColdServer(server, limit);
    const hasPermit = share !== undefined &&
      bucket.hasPermit(share.perSecond, now);
    if (!hasPermit) return Warmth.Withheld;
    return now < getColdUntil(server) ? Warmth.Permitted : Warmth.Unclear;
  }

  getRateLimit(server: Server): number {
    return this.#findLimit(server.service)?.perSecond ?? Infinity;
  }

  acquire(server: Server): Permit {
    const now = this.#deps.clock.now();
    const limit = this.#findLimit(server.service);
    if (limit === undefined || !this.#isCold(server, now)) {
      return { kind: PermitKind.Unneeded };
    }
    const { bucket, share } = this.#getColdServer(server, limit);
    const isGranted = share !== undefined &&
      bucket.tryAcquire(share.perSecond, now);
    const permit: Permit = isGranted
      ? { kind: PermitKind.Granted, at: now }
      : { kind: PermitKind.Denied };
    this.#deps.metrics.add(Counter.WarmUpPermits, permit.kind);
    return permit;
  }

  checkPermit(server: Server, permit: Permit): boolean {
    const now = this.#deps.clock.now();
    switch (permit.kind) {
      case PermitKind.Denied:
        return false;
      case PermitKind.Granted:
        if (now - permit.at <= PERMIT_VALID_MS) return true;
        return this.acquire(server).kind !== PermitKind.Denied;
      case PermitKind.Unneeded:
        return this.acquire(server).kind !== PermitKind.Denied;
    }
  }

  recordUnreachable(server: Server): void {
    const { clock, configuration, logger } = this.#deps;
    const limit = this.#findLimit(server.service);
    if (limit === undefined) return;
    const { service } = server;
    this.#restarts.recordUnreachable(server, limit.coldMs, clock.now());
    const servers = configuration.state.listServers(service).length;
    if (!this.#restarts.removeLinkFault(service, servers)) return;
    logger.warn(
      "most servers of a service were unreachable; not handling them as cold",
      { service, servers },
    );
  }

  recordReached(server: Server): void {
    const limit = this.#findLimit(server.service);
    if (limit === undefined) return;
    this.#restarts
      .recordReached(server, limit.coldMs, this.#deps.clock.now());
  }

  #findLimit(service: ServiceId): WarmUpLimit | undefined {
    return this.#deps.configuration.state.services.get(service)?.warmUp;
  }

  #isCold(server: Server, now: number): boolean {
    return now < getColdUntil(server) ||
      now < this.#restarts.getColdUntil(server);
  }

  /** Returns a cold server with the share of this VM, computed when due. */
  #getColdServer(server: Server, limit: WarmUpLimit): ColdServer {
    this.#checkPause();
    const roster = this.#findRoster();
    const version = roster?.version ?? -1;
    const known = this.#cold.get(server.id);
    if (known?.version === version) return known;
    const { vm } = this.#deps;
    const share = roster &&
      findShare(vm, server, limit.perSecond, roster.listVms());
    const bucket = known?.bucket ?? this.#createBucket(server, share);
    const created = { bucket, version, share };
    this.#cold.set(server.id, created);
    if (known === undefined) this.#recordCold(server, share);
    return created;
  }

  #findRoster(): Roster | undefined {
    const { freshness, findRoster } = this.#deps;
    const { ageMs } = freshness.getReport();
    return ageMs < CONTACT_LIMIT_MS ? findRoster() : undefined;
  }

  /** Creates the bucket of a server, from when this VM knew that it is cold. */
  #createBucket(server: Server, share: OwnerShare | undefined): PermitBucket {
    const now = this.#deps.clock.now();
    const knownAt = now < getColdUntil(server) ? server.listedAt ?? now : now;
    const tokens = share === undefined
      ? 0
      : INITIAL_SHARE * share.rank / share.owners;
    return new PermitBucket(tokens, Math.max(knownAt, this.#resumedAt));
  }

  #recordCold(server: Server, share: OwnerShare | undefined): void {
    const { clock, logger, metrics } = this.#deps;
    const now = clock.now();
    const entryMs = Math.max(0, getColdUntil(server) - now);
    metrics.add(Counter.ColdServers);
    // Owners alone log it: all VMs know of it, and a whole domain may be cold.
    const write = share === undefined ? logger.debug : logger.info;
    write("a server is cold; requests to it are limited", {
      server: server.id,
      service: server.service,
      reason: entryMs > 0 ? "its entry says so" : "it could not be reached",
      coldMs: Math.round(
        Math.max(entryMs, this.#restarts.getColdUntil(server) - now),
      ),
      rank: share?.rank ?? "not an owner",
      perSecond: share?.perSecond ?? 0,
    });
  }

  /** Removes all permits after a pause, during which others may have changed. */
  #checkPause(): void {
    const now = this.#deps.clock.now();
    const pausedMs = now - this.#checkedAt;
    this.#checkedAt = now;
    if (pausedMs <= PAUSE_THRESHOLD_MS) return;
    this.#resumedAt = now;
    for (const { bucket } of this.#cold.values()) bucket.removeAll(now);
    this.#deps.logger.info("paused; removed the permits for cold servers", {
      pausedMs: Math.round(pausedMs),
      servers: this.#cold.size,
    });
  }

  #removeWarm(): void {
    const { clock, configuration } = this.#deps;
    for (const id of this.#cold.keys()) {
      const server = configuration.state.servers.get(id);
      const isCold = server !== undefined && this.#isCold(server, clock.now());
      if (!isCold) this.#cold.delete(id);
    }
  }
}
