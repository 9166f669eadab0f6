/** The quota shards that this VM owns, and the log's state of all shards. */
import { SHARDS_PER_CELL } from "../../constants.ts";
import type { QuotaShard, ShardEpoch, ShardIndex } from "../../model/mod.ts";
import type { Clock } from "../clock/mod.ts";
import { formatShardKey } from "../configuration/mod.ts";
import type { Configuration } from "../configuration/mod.ts";
import type { Membership } from "../membership/mod.ts";
import { ShardBuckets } from "./shard_buckets.ts";

/** Dependencies of {@linkcode OwnedShards}. */
export interface OwnedShardsDependencies {
  readonly clock: Clock;
  readonly configuration: Configuration;
  readonly membership: Membership;
}

/** The quota shards that this VM owns, by index. */
export class OwnedShards {
  /** Whether this VM is leaving the cell and must not acquire more shards. */
  isLeaving = false;
  readonly #deps: OwnedShardsDependencies;
  readonly #shards = new Map<ShardIndex, ShardBuckets>();

  /** Creates a collection without any shard. */
  constructor(deps: OwnedShardsDependencies) {
    this.#deps = deps;
  }

  /** Number of shards that this VM owns. */
  get size(): number {
    return this.#shards.size;
  }

  /** Lists the shards that this VM owns. */
  list(): ShardBuckets[] {
    return [...this.#shards.values()];
  }

  /** Finds a shard that this VM owns. */
  find(index: ShardIndex): ShardBuckets | undefined {
    return this.#shards.get(index);
  }

  /** Adds a shard; returns false if its epoch is no longer the newest. */
  add(shard: ShardBuckets): boolean {
    if (this.findLogShard(shard.index)?.epoch !== shard.epoch) return false;
    this.#shards.set(shard.index, shard);
    return true;
  }

  /** Adds a shard that this VM has claimed; its buckets start empty. */
  addClaimed(index: ShardIndex, epoch: ShardEpoch): void {
    const { clock, configuration } = this.#deps;
    const refillStart = {
      emptyAt: clock.now(),
      trustedOffset: configuration.offset,
    };
    this.add(new ShardBuckets(index, epoch, refillStart));
  }

  /** Stops using a shard. */
  remove(index: ShardIndex): void {
    this.#shards.delete(index);
  }

  /** Stops using the shards for which the log has a newer epoch. */
  removeSuperseded(): void {
    for (const shard of this.list()) {
      const epoch = this.findLogShard(shard.index)?.epoch ?? 0;
      if (epoch > shard.epoch) this.remove(shard.index);
    }
  }

  /** Finds the log's state of a shard of this cell. */
  findLogShard(index: ShardIndex): QuotaShard | undefined {
    const { configuration, membership } = this.#deps;
    const key = formatShardKey(membership.self.cell, index);
    return configuration.state.shards.get(key);
  }

  /** Yields all shards of this cell; undefined for those never claimed. */
  *listLogShards(): Generator<[ShardIndex, QuotaShard | undefined]> {
    for (let index = 0; index < SHARDS_PER_CELL; index += 1) {
      yield [index, this.findLogShard(index)];
    }
  }
}
