/** Planned stop: leaves the cell without aborting a request. */
import { DRAIN_MARGIN_MS } from "../../constants.ts";
import type { AddressSelector } from "../addresses/mod.ts";
import type { CallerServer } from "../caller_front/exchange.ts";
import type { Clock } from "../clock/mod.ts";
import type { Logger } from "../logging/mod.ts";
import type { Shutdown } from "./shutdown.ts";
import type { Presence } from "../presence/mod.ts";
import type { QuotaShards } from "../quota_shards/mod.ts";

/** Dependencies of {@linkcode PlannedStop}. */
export interface PlannedStopDependencies {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly addresses: AddressSelector;
  readonly presence: Presence;
  readonly shards: QuotaShards;
  readonly server: CallerServer;
  readonly shutdown: Shutdown;
}

/** Prepares a daemon for a planned stop. */
export class PlannedStop {
  readonly #deps: PlannedStopDependencies;

  /** Creates the service; it is inactive until {@linkcode run}. */
  constructor(deps: PlannedStopDependencies) {
    this.#deps = deps;
  }

  /**
   * Removes this VM from address responses, transfers its quota shards, and
   * keeps serving until no caller can have a cached response with its address.
   *
   * The caller front then closes the listener and finishes running requests.
   */
  async run(): Promise<void> {
    const { clock, logger, addresses, presence, shards, server } = this.#deps;
    this.#deps.shutdown.start();
    logger.info("removing this VM from address responses");
    presence.setLeaving();
    server.closeAfterResponses();
    const leaveMs = addresses.ttlMs + DRAIN_MARGIN_MS;
    await Promise.all([shards.transferAll(leaveMs), clock.sleep(leaveMs)]);
    logger.info("no longer accepting new connections");
  }
}
