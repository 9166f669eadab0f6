/** Presence service: the state that this VM reports to its cell's peers. */
import { VmPhase } from "../../model/mod.ts";
import type { Configuration } from "../configuration/mod.ts";
import type { Dispatch } from "../dispatch/mod.ts";
import type { FreshnessSource } from "../freshness/mod.ts";
import type { Logger } from "../logging/mod.ts";
import type { HeartbeatReport, Membership } from "../membership/mod.ts";
import type { QuotaShards } from "../quota_shards/mod.ts";

/** Dependencies of {@linkcode Presence}. */
export interface PresenceDependencies {
  readonly configuration: Configuration;
  readonly dispatch: Dispatch;
  readonly freshness: FreshnessSource;
  readonly membership: Membership;
  readonly shards: QuotaShards;
  readonly logger: Logger;
}

/** Ratio of waiting to running requests above which a VM is overloaded. */
const OVERLOAD_RATIO = 4;

/** Provides the content of heartbeats and tracks this VM's lifecycle phase. */
export class Presence {
  readonly #deps: PresenceDependencies;
  #phase = VmPhase.Starting;

  /** Creates the service and registers it as the provider of heartbeats. */
  constructor(deps: PresenceDependencies) {
    this.#deps = deps;
    deps.membership.setReporter(() => this.getReport());
  }

  /**
   * Lifecycle phase of this VM. It serves from when it first reaches the owners
   * of a majority of the quota shards: with fewer, it refuses requests of teams
   * that are within their rates.
   */
  get phase(): VmPhase {
    if (this.#phase === VmPhase.Starting && this.#isReady()) {
      this.#phase = VmPhase.Serving;
      this.#deps.logger.info("this VM reaches its cell's shares and serves", {
        owned: this.#deps.shards.listOwned().length,
      });
    }
    return this.#phase;
  }

  #isReady(): boolean {
    const { freshness, shards } = this.#deps;
    return freshness.isFresh() && shards.isMajorityReachable();
  }

  /** Notifies all peers immediately that this VM is leaving. */
  setLeaving(): void {
    this.#phase = VmPhase.Leaving;
    this.#deps.membership.sendHeartbeats();
  }

  /** Returns the content of the next heartbeat. */
  getReport(): HeartbeatReport {
    const { configuration, freshness, shards } = this.#deps;
    return {
      offset: configuration.offset,
      phase: this.phase,
      isFresh: freshness.isFresh(),
      isOverloaded: this.isOverloaded(),
      seats: shards.listOwned().map(({ index, epoch }) => ({ index, epoch })),
    };
  }

  /** Whether some queue has too many waiting requests for each running one. */
  isOverloaded(): boolean {
    return this.#deps.dispatch.getReport().some((queue) =>
      queue.waiting > OVERLOAD_RATIO * Math.max(1, queue.running)
    );
  }
}
