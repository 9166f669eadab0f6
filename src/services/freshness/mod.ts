/** Freshness service: whether the configuration is recent enough to use. */
import { FRESHNESS_BOUND_MS, PAUSE_THRESHOLD_MS } from "../../constants.ts";
import type { SeatIndex } from "../../model/mod.ts";
import type { Clock } from "../clock/mod.ts";
import type { Configuration } from "../configuration/mod.ts";
import type { Membership } from "../membership/mod.ts";
import { isMajority, listVotes } from "../seats/seat_view.ts";
import type { Seats } from "../seats/mod.ts";

/** Why the configuration is or is not fresh. */
export enum FreshnessKind {
  /** No configuration was loaded yet. */
  Missing = "missing",
  /** A read of the log confirmed that no newer one exists. */
  ConfirmedByLog = "confirmed_by_log",
  /** The owners of a majority of the quota shards know of no newer one. */
  ConfirmedBySeats = "confirmed_by_seats",
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
  /** Returns whether routes that require a team may be served now. */
  isFresh(): boolean;
  /** Returns the current freshness of the configuration. */
  getReport(): FreshnessReport;
  /** Records that a read requested at `askedAt` reached the log's end. */
  recordLogRead(askedAt: number): void;
  /** Records that a read of the log failed. */
  recordLogFailure(): void;
}

/** Dependencies of {@linkcode Freshness}. */
export interface FreshnessParts {
  readonly clock: Clock;
  readonly configuration: Configuration;
  readonly membership: Membership;
  readonly seats: Seats;
}

/**
 * Tracks confirmations that no newer configuration is known.
 *
 * The age of a confirmation counts from when it was requested, because the
 * response may not include what was appended after that.
 */
export class Freshness implements FreshnessSource {
  readonly #parts: FreshnessParts;
  #logAskedAt = -Infinity;
  #seatsAskedAt = -Infinity;
  /** End of the newest read of the log, successful or not. */
  #logTriedAt = -Infinity;
  /** Time at which the newest pause of this process was detected. */
  #resumedAt = -Infinity;
  #ranAt: number;
  /** Wall-clock time less monotonic time at the newest check. */
  #skewMs: number;

  /** Creates a tracker without any confirmation. */
  constructor(parts: FreshnessParts) {
    this.#parts = parts;
    this.#ranAt = parts.clock.now();
    this.#skewMs = this.#getSkewMs();
    parts.membership.addListener(() => this.#countVotes());
    parts.configuration.addListener(() => this.#countVotes());
  }

  recordLogRead(askedAt: number): void {
    this.#logAskedAt = Math.max(this.#logAskedAt, askedAt);
    this.#logTriedAt = this.#parts.clock.now();
  }

  recordLogFailure(): void {
    this.#logTriedAt = this.#parts.clock.now();
  }

  isFresh(): boolean {
    switch (this.getReport().kind) {
      case FreshnessKind.ConfirmedByLog:
      case FreshnessKind.ConfirmedBySeats:
        return true;
      case FreshnessKind.Missing:
      case FreshnessKind.Stale:
        return false;
    }
  }

  getReport(): FreshnessReport {
    this.#checkPause();
    const askedAt = Math.max(this.#logAskedAt, this.#seatsAskedAt);
    const ageMs = this.#parts.clock.now() - askedAt;
    if (this.#parts.configuration.offset === 0 && ageMs === Infinity) {
      return { kind: FreshnessKind.Missing, ageMs };
    }
    if (ageMs > FRESHNESS_BOUND_MS) return { kind: FreshnessKind.Stale, ageMs };
    const kind = askedAt === this.#logAskedAt
      ? FreshnessKind.ConfirmedByLog
      : FreshnessKind.ConfirmedBySeats;
    return { kind, ageMs };
  }

  /**
   * Finds the newest time after which the owners of a majority of the quota
   * shards reported that they know no newer configuration than this VM.
   */
  #countVotes(): void {
    const { clock, seats } = this.#parts;
    const times = new Map<SeatIndex, number>();
    const now = clock.now();
    this.#checkPause();
    const ownAt = this.#logTriedAt >= this.#resumedAt ? now : -Infinity;
    for (const { index } of seats.listHeld()) times.set(index, ownAt);
    for (const { index, peer } of listVotes(this.#parts)) {
      const known = times.get(index) ?? -Infinity;
      times.set(index, Math.max(known, peer.echoedAt));
    }
    let count = 0;
    for (const time of [...times.values()].sort((a, b) => b - a)) {
      count += 1;
      if (!isMajority(count)) continue;
      this.#seatsAskedAt = Math.max(this.#seatsAskedAt, time);
      return;
    }
  }

  /**
   * Discards all confirmations when the wall clock has advanced more than the
   * monotonic clock, which may stop while the VM is suspended.
   *
   * After any pause, this VM's quota shards count again only once a read of the
   * log has ended: otherwise the owner of a majority would confirm itself.
   */
  #checkPause(): void {
    const now = this.#parts.clock.now();
    if (now - this.#ranAt > PAUSE_THRESHOLD_MS) this.#resumedAt = now;
    this.#ranAt = now;
    const skewMs = this.#getSkewMs();
    const isPaused = skewMs - this.#skewMs > PAUSE_THRESHOLD_MS;
    this.#skewMs = skewMs;
    if (!isPaused) return;
    this.#logAskedAt = -Infinity;
    this.#seatsAskedAt = -Infinity;
  }

  #getSkewMs(): number {
    return this.#parts.clock.wallNow() - this.#parts.clock.now();
  }
}
