/** Freshness by the store's own word, read here or by another VM. */
import type { Clock } from "../clock/mod.ts";
import type { Configuration } from "../configuration/mod.ts";
import type { Logger } from "../logging/mod.ts";
import { FreshnessKind } from "./mod.ts";
import type { FreshnessReport, FreshnessSource } from "./mod.ts";

/** What the service decides by. */
export interface ConfirmationsParts {
  readonly clock: Clock;
  readonly configuration: Configuration;
  readonly logger: Logger;
  /** Age of a confirmation beyond which it counts no more, in ms. */
  readonly boundMs: number;
}

/**
 * Tracks confirmations that no newer configuration existed.
 *
 * The age of a confirmation counts from when it was asked for. It is measured
 * by the monotonic and by the wall clock, and the greater counts: a monotonic
 * clock may stand still while the VM is suspended, and a wall clock may be set
 * back.
 */
export class Confirmations implements FreshnessSource {
  readonly #parts: ConfirmationsParts;
  #askedAt = -Infinity;
  #askedWallAt = -Infinity;
  #wasFresh = false;

  /** Creates a tracker without any confirmation. */
  constructor(parts: ConfirmationsParts) {
    this.#parts = parts;
  }

  recordLogRead(askedAt: number): void {
    if (askedAt <= this.#askedAt) return;
    const { clock } = this.#parts;
    this.#askedAt = askedAt;
    this.#askedWallAt = clock.wallNow() - (clock.now() - askedAt);
  }

  recordLogFailure(): void {}

  isFresh(): boolean {
    return this.getReport().kind === FreshnessKind.ConfirmedByLog;
  }

  getReport(): FreshnessReport {
    const { clock, configuration, boundMs } = this.#parts;
    const ageMs = Math.max(
      clock.now() - this.#askedAt,
      clock.wallNow() - this.#askedWallAt,
    );
    if (configuration.offset === 0) {
      return { kind: FreshnessKind.Missing, ageMs };
    }
    const isFresh = ageMs <= boundMs;
    this.#recordChange(isFresh, ageMs);
    return {
      kind: isFresh ? FreshnessKind.ConfirmedByLog : FreshnessKind.Stale,
      ageMs,
    };
  }

  #recordChange(isFresh: boolean, ageMs: number): void {
    if (isFresh === this.#wasFresh) return;
    this.#wasFresh = isFresh;
    const { logger, configuration, boundMs } = this.#parts;
    const fields = {
      version: configuration.offset,
      ageMs: Math.round(ageMs),
      boundMs,
    };
    if (isFresh) logger.info("the configuration is confirmed", fields);
    else logger.warn("the configuration is not confirmed any more", fields);
  }
}
