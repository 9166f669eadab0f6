/** Freshness in a fleet: from reads of the store by this VM or by its hub. */
import type { Clock } from "../clock/mod.ts";
import type { Configuration } from "../configuration/mod.ts";
import type { Logger } from "../logging/mod.ts";
import { FreshnessKind } from "./mod.ts";
import type { FreshnessReport, FreshnessSource } from "./mod.ts";

/** Dependencies of {@linkcode Confirmations}. */
export interface ConfirmationsDependencies {
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
  readonly #deps: ConfirmationsDependencies;
  #requestedAt = -Infinity;
  #requestedWallAt = -Infinity;
  #wasFresh = false;
  #completeFirstFresh: () => void = () => {};
  /** Resolves once a configuration is in force and confirmed. */
  readonly firstFresh = new Promise<void>((resolve) => {
    this.#completeFirstFresh = resolve;
  });

  /** Creates a tracker without any confirmation. */
  constructor(deps: ConfirmationsDependencies) {
    this.#deps = deps;
  }

  recordLogRead(requestedAt: number): void {
    if (requestedAt <= this.#requestedAt) return;
    const { clock } = this.#deps;
    this.#requestedAt = requestedAt;
    this.#requestedWallAt = clock.wallNow() - (clock.now() - requestedAt);
    if (this.isFresh()) this.#completeFirstFresh();
  }

  recordLogFailure(_requestedAt: number): void {}

  isFresh(): boolean {
    return this.getReport().kind === FreshnessKind.ConfirmedByLog;
  }

  getReport(): FreshnessReport {
    const { clock, configuration, boundMs } = this.#deps;
    const ageMs = Math.max(
      clock.now() - this.#requestedAt,
      clock.wallNow() - this.#requestedWallAt,
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
    const { logger, configuration, boundMs } = this.#deps;
    const fields = {
      version: configuration.offset,
      ageMs: Math.round(ageMs),
      boundMs,
    };
    if (isFresh) logger.info("the configuration is up to date", fields);
    else logger.warn("the configuration may be out of date", fields);
  }
}
