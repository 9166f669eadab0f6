/** Quota shards service: claims, transfers and releases this VM's shards. */
import { SHARD_CHECK_MS } from "../../constants.ts";
import type { ShardIndex } from "../../model/mod.ts";
import type { Clock } from "../clock/mod.ts";
import type { Configuration } from "../configuration/mod.ts";
import type { LogClient } from "../log_client/mod.ts";
import type { Logger } from "../logging/mod.ts";
import type { Membership } from "../membership/mod.ts";
import type { OwnedShard } from "../membership/peer_message.ts";
import type { Random } from "../random/mod.ts";
import { ShardClaims } from "./claims.ts";
import { OwnedShards } from "./owned_shards.ts";
import type { ShardBuckets } from "./shard_buckets.ts";
import { ShardTransfers } from "./transfers.ts";

/** Dependencies of {@linkcode QuotaShards}. */
export interface QuotaShardsDependencies {
  readonly clock: Clock;
  readonly random: Random;
  readonly configuration: Configuration;
  readonly membership: Membership;
  readonly log: LogClient;
  readonly logger: Logger;
}

/** State of this VM's quota shards, for dumps. */
export interface QuotaShardsReport {
  readonly held: readonly OwnedShard[];
  /** Shards that this VM has claimed but may not use yet. */
  readonly takeovers: readonly ShardIndex[];
  /** Number of transfers to peers in progress. */
  readonly transfers: number;
  /** Number of claimed shards without an owner known to this VM. */
  readonly orphaned: number;
}

/**
 * Manages the quota shards that this VM owns.
 *
 * A cell has a fixed number of quota shards. Each one is a share of the rate
 * and burst of the cell's teams, plus one vote. A shard has at most one owner:
 * claims are ordered by the log, transfers go directly from owner to owner, and
 * a claim of a shard that may still be in use waits until the previous owner's
 * freshness confirmations have expired.
 */
export class QuotaShards {
  readonly #deps: QuotaShardsDependencies;
  readonly #owned: OwnedShards;
  readonly #claims: ShardClaims;
  readonly #transfers: ShardTransfers;

  /** Creates the service without any shard. */
  constructor(deps: QuotaShardsDependencies) {
    this.#deps = deps;
    this.#owned = new OwnedShards(deps);
    this.#claims = new ShardClaims(deps, this.#owned);
    this.#transfers = new ShardTransfers(deps, this.#owned);
  }

  /** Lists the shards that this VM owns. */
  listOwned(): ShardBuckets[] {
    return this.#owned.list();
  }

  /** Finds a shard that this VM owns. */
  findOwned(index: ShardIndex): ShardBuckets | undefined {
    return this.#owned.find(index);
  }

  /** Whether this VM and its reachable peers own a majority of the shards. */
  isMajorityReachable(): boolean {
    return this.#claims.isMajorityReachable();
  }

  /** Returns the state of this VM's shards. */
  getReport(): QuotaShardsReport {
    return {
      held: this.listOwned().map(({ index, epoch }) => ({ index, epoch })),
      takeovers: this.#claims.listTakeovers(),
      transfers: this.#transfers.size,
      orphaned: this.#claims.countOrphaned(),
    };
  }

  /** Claims, transfers and takes over shards until `signal` aborts. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      this.#transfers.sendDueOffers();
      if (!this.#owned.isLeaving) {
        this.#claims.checkTakeovers();
        this.#transfers.transferSurplus();
        await this.#claims.claimVacant();
      }
      await this.#deps.clock.sleep(SHARD_CHECK_MS, signal);
    }
  }

  /**
   * Transfers all shards to peers before a planned stop, for at most `limitMs`.
   *
   * This VM keeps using the shards that no peer accepts.
   */
  async transferAll(limitMs: number): Promise<void> {
    this.#owned.isLeaving = true;
    this.#claims.cancelTakeovers();
    await this.#transfers.transferAll(limitMs);
  }

  /** Stops using the remaining shards and releases them in the log. */
  async releaseRemaining(): Promise<void> {
    for (const { index, epoch } of this.listOwned()) {
      this.#owned.remove(index);
      if (!await this.#claims.appendRelease(index, epoch)) return;
    }
  }
}
