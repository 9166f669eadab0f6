/**
 * Freshness service: whether the configuration is recent enough to use.
 *
 * {@linkcode Freshness} implements it for a cell, confirmations.ts for a fleet.
 */
import { FRESHNESS_BOUND_MS, PAUSE_THRESHOLD_MS } from "../../constants.ts";
import type { ShardIndex } from "../../model/mod.ts";
import type { Clock } from "../clock/mod.ts";
import type { Configuration } from "../configuration/mod.ts";
import type { Membership } from "../membership/mod.ts";
import { isMajority, listVotes } from "../quota_shards/shard_view.ts";
import type { QuotaShards } from "../quota_shards/mod.ts";

/** Why the configuration is or is not fresh. */
export enum FreshnessKind {
  /** No configuration was loaded yet. */
  Missing = "missing",
  /** A read of the log confirmed that no newer one exists. */
  ConfirmedByLog = "confirmed_by_log",
  /** The owners of a majority of the quota shards know of no newer one. */
  ConfirmedByShards = "confirmed_by_seats",
  /** No confirmation is recent enough. */
  Stale = "stale",
}

/** Freshness of the configuration at one moment. */
export interface FreshnessReport {
  readonly kind: FreshnessKind;
  /** Milliseconds since the newest confirmation was requested. */
  readonly ageMs: number;
}

/** Determines whether the configuration is recent enough to use. */
export interface FreshnessSource {
  /** Whether routes that require a team may be served now. */
  isFresh(): boolean;
  /** Returns the current freshness of the configuration. */
  getReport(): FreshnessReport;
  /** Records that a read requested at `requestedAt` reached the log's end. */
  recordLogRead(requestedAt: number): void;
  /** Records that a read of the log, requested at that time, has failed. */
  recordLogFailure(requestedAt: number): void;
}

/** Dependencies of {@linkcode Freshness}. */
export interface FreshnessDependencies {
  readonly clock: Clock;
  readonly configuration: Configuration;
  readonly membership: Membership;
  readonly shards: QuotaShards;
}

/**
 * Tracks confirmations that no newer configuration is known.
 *
 * The age of a confirmation counts from when it was requested, because the
 * response may not include what was appended after that.
 */
export class Freshness implements FreshnessSource {
  readonly #deps: FreshnessDependencies;
  #logRequestedAt = -Infinity;
  #shardsRequestedAt = -Infinity;
  /** Time of the newest request for a read that ended, successful or not. */
  #endedReadRequestedAt = -Infinity;
  /** Time at which the newest pause of this process was detected. */
  #resumedAt = -Infinity;
  #checkedAt: number;
  /** Wall-clock time less monotonic time at the newest check. */
  #skewMs: number;

  /** Creates a tracker without any confirmation. */
  constructor(deps: FreshnessDependencies) {
    this.#deps = deps;
    this.#checkedAt = deps.clock.now();
    this.#skewMs = this.#getSkewMs();
    deps.membership.addListener(() => this.#updateShardsConfirmation());
    deps.configuration.addListener(() => this.#updateShardsConfirmation());
  }

  recordLogRead(requestedAt: number): void {
    this.#logRequestedAt = Math.max(this.#logRequestedAt, requestedAt);
    this.recordLogFailure(requestedAt);
  }

  recordLogFailure(requestedAt: number): void {
    this.#endedReadRequestedAt = Math.max(
      this.#endedReadRequestedAt,
      requestedAt,
    );
  }

  isFresh(): boolean {
    switch (this.getReport().kind) {
      case FreshnessKind.ConfirmedByLog:
      case FreshnessKind.ConfirmedByShards:
        return true;
      case FreshnessKind.Missing:
      case FreshnessKind.Stale:
        return false;
    }
  }

  getReport(): FreshnessReport {
    this.#checkPause();
    const requestedAt = Math.max(this.#logRequestedAt, this.#shardsRequestedAt);
    const ageMs = this.#deps.clock.now() - requestedAt;
    if (this.#deps.configuration.offset === 0 && ageMs === Infinity) {
      return { kind: FreshnessKind.Missing, ageMs };
    }
    if (ageMs > FRESHNESS_BOUND_MS) return { kind: FreshnessKind.Stale, ageMs };
    const kind = requestedAt === this.#logRequestedAt
      ? FreshnessKind.ConfirmedByLog
      : FreshnessKind.ConfirmedByShards;
    return { kind, ageMs };
  }

  /**
   * Updates the newest time after which the owners of a majority of the quota
   * shards reported that they know of no newer configuration than this VM's.
   */
  #updateShardsConfirmation(): void {
    const { clock, shards } = this.#deps;
    const times = new Map<ShardIndex, number>();
    const now = clock.now();
    this.#checkPause();
    const hasReadSincePause = this.#endedReadRequestedAt >= this.#resumedAt;
    const localAt = hasReadSincePause ? now : -Infinity;
    for (const { index } of shards.listOwned()) times.set(index, localAt);
    for (const { index, peer } of listVotes(this.#deps)) {
      const known = times.get(index) ?? -Infinity;
      times.set(index, Math.max(known, peer.echoedAt));
    }
    let count = 0;
    for (const time of [...times.values()].sort((a, b) => b - a)) {
      count += 1;
      if (!isMajority(count)) continue;
      this.#shardsRequestedAt = Math.max(this.#shardsRequestedAt, time);
      return;
    }
  }

  /**
   * Discards all confirmations when the wall clock has advanced more than the
   * monotonic clock, which may stop while the VM is suspended.
   *
   * After any pause, this VM's quota shards count again only once a read of the
   * log that was requested since then has ended: otherwise the owner of a
   * majority would confirm itself.
   */
  #checkPause(): void {
    const now = this.#deps.clock.now();
    if (now - this.#checkedAt > PAUSE_THRESHOLD_MS) this.#resumedAt = now;
    this.#checkedAt = now;
    const skewMs = this.#getSkewMs();
    const isPaused = skewMs - this.#skewMs > PAUSE_THRESHOLD_MS;
    this.#skewMs = skewMs;
    if (!isPaused) return;
    this.#logRequestedAt = -Infinity;
    this.#shardsRequestedAt = -Infinity;
  }

  #getSkewMs(): number {
    return this.#deps.clock.wallNow() - this.#deps.clock.now();
  }
}
