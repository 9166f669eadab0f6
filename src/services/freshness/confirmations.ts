/** Freshness from reads of the store by this VM or by another one. */
import type { Clock } from "../clock/mod.ts";
import type { Configuration } from "../configuration/mod.ts";
import type { Logger } from "../logging/mod.ts";
import { FreshnessKind } from "./mod.ts";
import type { FreshnessReport, FreshnessSource } from "./mod.ts";

/** Dependencies of {@linkcode Confirmations}. */
export interface ConfirmationsParts {
  readonly clock: Clock;
  readonly configuration: Configuration;
  readonly logger: Logger;
  /** Maximum age of a valid confirmation, in milliseconds. */
  readonly boundMs: number;
}

/**
 * Tracks confirmations that no newer configuration exists.
 *
 * The age of a confirmation counts from when the confirming read was requested.
 * It is measured by both the monotonic and the wall clock, and the greater age
 * is used: a monotonic clock may stop while the VM is suspended, and a wall
 * clock may be set back.
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
    if (isFresh) logger.info("the configuration is up to date", fields);
    else logger.warn("the configuration may be out of date", fields);
  }
}
