/** Freshness service: whether the configuration may still be acted on. */
import { FRESHNESS_BOUND_MS, PAUSE_THRESHOLD_MS } from "../../constants.ts";
import type { SeatIndex } from "../../model/mod.ts";
import type { Clock } from "../clock/mod.ts";
import type { Configuration } from "../configuration/mod.ts";
import type { Membership } from "../membership/mod.ts";
import { isMajority, listVotes } from "../seats/seat_view.ts";
import type { Seats } from "../seats/mod.ts";

/** Why the configuration may or may not be acted on. */
export enum FreshnessKind {
  /** Nothing was loaded yet. */
  Missing = "missing",
  /** The log confirmed that nothing newer existed. */
  ConfirmedByLog = "confirmed_by_log",
  /** Holders of more than half of the seats knew of nothing newer. */
  ConfirmedBySeats = "confirmed_by_seats",
  /** Nobody confirmed it within the bound. */
  Stale = "stale",
}

/** State of the configuration at one moment. */
export interface FreshnessReport {
  readonly kind: FreshnessKind;
  /** Time since the newest confirmation was asked for. */
  readonly ageMs: number;
}

/** Tells whether the configuration may be acted on. */
export interface FreshnessSource {
  /** Whether routes that are bound to a team may be served now. */
  isFresh(): boolean;
  /** Gets the state of the configuration now. */
  getReport(): FreshnessReport;
  /** Records that a read asked for at `askedAt` reached the log's head. */
  recordLogRead(askedAt: number): void;
  /** Records that a read of the log has failed. */
  recordLogFailure(): void;
}

/** What the service decides by. */
export interface FreshnessParts {
  readonly clock: Clock;
  readonly configuration: Configuration;
  readonly membership: Membership;
  readonly seats: Seats;
}

/**
 * Tracks confirmations that no newer configuration was known.
 *
 * The age of a confirmation counts from when it was asked for, since the
 * answer says nothing of what came after it was given.
 */
export class Freshness implements FreshnessSource {
  readonly #parts: FreshnessParts;
  #logAskedAt = -Infinity;
  #seatsAskedAt = -Infinity;
  /** When a read of the log ended last, and when a pause was noticed last. */
  #logTriedAt = -Infinity;
  #resumedAt = -Infinity;
  #ranAt: number;
  #skewMs: number;

  /** Creates a tracker without any confirmation. */
  constructor(parts: FreshnessParts) {
    this.#parts = parts;
    this.#ranAt = parts.clock.now();
    this.#skewMs = this.#getSkewMs();
    parts.membership.addListener(() => this.#countVotes());
    parts.configuration.addListener(() => this.#countVotes());
  }

  /** Records that a read asked for at `askedAt` reached the log's head. */
  recordLogRead(askedAt: number): void {
    this.#logAskedAt = Math.max(this.#logAskedAt, askedAt);
    this.#logTriedAt = this.#parts.clock.now();
  }

  recordLogFailure(): void {
    this.#logTriedAt = this.#parts.clock.now();
  }

  /** Whether routes that are bound to a team may be served now. */
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

  /** Gets the state of the configuration now. */
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
   * Finds the newest time after which more than half of the seats' holders
   * said that they know of nothing newer than what is in force here.
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
   * Forgets all confirmations when the wall clock has run ahead: a monotonic
   * clock may stand still while the whole VM is suspended.
   *
   * After any pause this VM's own seats count again only once the log was tried:
   * the holder of more than half of them would else confirm itself.
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
