/** Freshness service: whether the configuration may still be acted on. */
import { FRESHNESS_BOUND_MS } from "../../constants.ts";
import type { Clock } from "../clock/mod.ts";

/** Why the configuration may or may not be acted on. */
export enum FreshnessKind {
  /** Nothing was loaded yet. */
  Missing = "missing",
  /** The log confirmed that nothing newer existed. */
  ConfirmedByLog = "confirmed_by_log",
  /** Nobody confirmed it within the bound. */
  Stale = "stale",
}

/** State of the configuration at one moment. */
export interface FreshnessReport {
  readonly kind: FreshnessKind;
  /** Time since the newest confirmation was asked for. */
  readonly ageMs: number;
}

/** Tracks confirmations; an age counts from when a confirmation was asked for. */
export class Freshness {
  readonly #clock: Clock;
  #logAskedAt = -Infinity;

  /** Creates a tracker without any confirmation. */
  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Records that a read asked for at `askedAt` reached the log's head. */
  recordLogRead(askedAt: number): void {
    this.#logAskedAt = Math.max(this.#logAskedAt, askedAt);
  }

  /** Gets the state of the configuration now. */
  getReport(): FreshnessReport {
    const ageMs = this.#clock.now() - this.#logAskedAt;
    if (ageMs === Infinity) return { kind: FreshnessKind.Missing, ageMs };
    if (ageMs <= FRESHNESS_BOUND_MS) {
      return { kind: FreshnessKind.ConfirmedByLog, ageMs };
    }
    return { kind: FreshnessKind.Stale, ageMs };
  }
}
