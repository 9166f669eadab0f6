/** Planned stop of a VM whose callers use the fleet's address responses. */
import { DRAIN_MARGIN_MS } from "../../constants.ts";
import type { AddressSelector } from "../addresses/mod.ts";
import type { CallerServer } from "../caller_front/exchange.ts";
import type { Clock } from "../clock/mod.ts";
import type { Fleet } from "../fleet/mod.ts";
import type { Logger } from "../logging/mod.ts";
import type { Shutdown } from "./shutdown.ts";
import type { Readiness } from "../readiness/mod.ts";

/** Dependencies of {@linkcode FleetStop}. */
export interface FleetStopDependencies {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly addresses: AddressSelector;
  readonly readiness: Readiness;
  readonly fleet: Fleet;
  readonly server: CallerServer;
  readonly shutdown: Shutdown;
  /** Time in milliseconds from the stop signal until the process is killed. */
  readonly graceMs: number;
}

/** Prepares a daemon for a planned stop. */
export class FleetStop {
  readonly #deps: FleetStopDependencies;

  /** Creates the service; it is inactive until {@linkcode run}. */
  constructor(deps: FleetStopDependencies) {
    this.#deps = deps;
  }

  /**
   * Removes this VM from address responses and keeps serving until callers have
   * had time to resolve addresses again. This takes at most half of the grace
   * period, so that running requests have the other half to finish.
   */
  async run(): Promise<void> {
    const { clock, logger, addresses, readiness, fleet, server } = this.#deps;
    const leaveMs = Math.min(
      addresses.ttlMs + DRAIN_MARGIN_MS,
      this.#deps.graceMs / 2,
    );
    this.#deps.shutdown.start();
    logger.info("removing this VM from address responses", { leaveMs });
    readiness.setLeaving();
    server.closeAfterResponses();
    await Promise.all([fleet.withdraw(), clock.sleep(leaveMs)]);
    logger.info("no longer accepting new connections");
  }
}
