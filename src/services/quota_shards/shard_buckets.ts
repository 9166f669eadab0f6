/** Token buckets of one quota shard: its shares of the teams' quotas. */
import type {
  Offset,
  ShardEpoch,
  ShardIndex,
  TeamId,
} from "../../model/mod.ts";
import type { ShardBucket } from "../membership/peer_message.ts";

/** Rate and burst of one team in one quota shard. */
export interface ShardLimit {
  /** Refill rate in tokens per millisecond. */
  readonly ratePerMs: number;
  /** Maximum number of tokens in the bucket. */
  readonly burst: number;
}

/** Tokens lent to a peer. */
interface LentTokens {
  readonly tokens: number;
  /** Monotonic time in milliseconds after which the tokens can't be spent. */
  readonly expiresAt: number;
}

/** Token bucket of one team. */
interface Bucket {
  tokens: number;
  /** Monotonic time in milliseconds up to which the bucket was refilled. */
  updatedAt: number;
  /** Tokens lent to peers; they count against the burst until they expire. */
  lent: LentTokens[];
}

/** Start of a shard's refill, for teams without a bucket. */
export interface RefillStart {
  /** Monotonic time in milliseconds at which the shard was empty. */
  readonly emptyAt: number;
  /**
   * Teams whose limits changed after this offset refill only from the time at
   * which that change was applied.
   */
  readonly trustedOffset: Offset;
}

/** Identifies a team and the version of its limits. */
export interface ShardTeam {
  readonly id: TeamId;
  /** Offset of the record that last set the team's limits. */
  readonly revision: Offset;
  /**
   * Monotonic time in milliseconds at which that record was applied; -Infinity
   * if that is no longer known.
   */
  readonly appliedAt: number;
}

/**
 * The token buckets of an owned quota shard. Full buckets are not stored, so
 * that idle teams use no memory.
 */
export class ShardBuckets {
  readonly index: ShardIndex;
  readonly epoch: ShardEpoch;
  readonly #refillStart: RefillStart;
  readonly #buckets = new Map<TeamId, Bucket>();

  /** Creates a shard without buckets whose refill began at `refillStart`. */
  constructor(index: ShardIndex, epoch: ShardEpoch, refillStart: RefillStart) {
    this.index = index;
    this.epoch = epoch;
    this.#refillStart = refillStart;
  }

  /** Start of the refill for teams without a bucket. */
  get refillStart(): RefillStart {
    return this.#refillStart;
  }

  /** Number of stored buckets. */
  get bucketCount(): number {
    return this.#buckets.size;
  }

  /** Returns the tokens that a team may spend from this shard at `now`. */
  getTokens(team: ShardTeam, limit: ShardLimit, now: number): number {
    const bucket = this.#buckets.get(team.id);
    if (bucket === undefined) return this.#getRefilledTokens(team, limit, now);
    updateBucket(bucket, limit, now);
    return bucket.tokens;
  }

  /** Removes tokens; the caller has checked that the bucket contains them. */
  acquireTokens(team: ShardTeam, limit: ShardLimit, amount: TokenAmount): void {
    const bucket = this.#getBucket(team, limit, amount.now);
    bucket.tokens -= amount.tokens;
  }

  /** Removes tokens that a peer may spend until `until`. */
  lendTokens(
    team: ShardTeam,
    limit: ShardLimit,
    amount: TokenAmount & { readonly until: number },
  ): void {
    const bucket = this.#getBucket(team, limit, amount.now);
    bucket.tokens -= amount.tokens;
    bucket.lent.push({ tokens: amount.tokens, expiresAt: amount.until });
  }

  /** Returns unused tokens that were acquired from this shard. */
  refundTokens(team: ShardTeam, limit: ShardLimit, amount: TokenAmount): void {
    const bucket = this.#getBucket(team, limit, amount.now);
    bucket.tokens = Math.min(
      computeCapacity(bucket, limit),
      bucket.tokens + amount.tokens,
    );
  }

  /** Sets a team's tokens that came with a transfer of the shard. */
  setTokens(bucket: ShardBucket, now: number): void {
    this.#buckets.set(bucket.team, {
      tokens: bucket.tokens,
      updatedAt: now,
      lent: [],
    });
  }

  /** Lists the tokens of the stored buckets, without refilling them first. */
  listBuckets(): ShardBucket[] {
    return [...this.#buckets].map(([team, { tokens }]) => ({ team, tokens }));
  }

  /** Removes the buckets for which `isFull` returns true. */
  removeFull(isFull: (team: TeamId) => boolean): void {
    for (const team of [...this.#buckets.keys()]) {
      if (isFull(team)) this.#buckets.delete(team);
    }
  }

  /** Whether a team without a bucket would be at its full burst at `now`. */
  isRefilled(team: ShardTeam, limit: ShardLimit, now: number): boolean {
    return this.#getRefilledTokens(team, limit, now) >= limit.burst;
  }

  #getBucket(team: ShardTeam, limit: ShardLimit, now: number): Bucket {
    const existing = this.#buckets.get(team.id);
    if (existing !== undefined) {
      updateBucket(existing, limit, now);
      return existing;
    }
    const created = {
      tokens: this.#getRefilledTokens(team, limit, now),
      updatedAt: now,
      lent: [],
    };
    this.#buckets.set(team.id, created);
    return created;
  }

  #getRefilledTokens(team: ShardTeam, limit: ShardLimit, now: number): number {
    const { emptyAt, trustedOffset } = this.#refillStart;
    const isTrusted = team.revision <= trustedOffset;
    const since = isTrusted ? emptyAt : Math.max(emptyAt, team.appliedAt);
    if (since === -Infinity) return limit.burst;
    return Math.min(limit.burst, (now - since) * limit.ratePerMs);
  }
}

/** A number of tokens that is acquired or returned at a given time. */
export interface TokenAmount {
  readonly tokens: number;
  /** Monotonic time in milliseconds. */
  readonly now: number;
}

function updateBucket(bucket: Bucket, limit: ShardLimit, now: number): void {
  if (bucket.lent.length > 0) {
    bucket.lent = bucket.lent.filter((lent) => lent.expiresAt > now);
  }
  const refilled = bucket.tokens +
    Math.max(0, now - bucket.updatedAt) * limit.ratePerMs;
  bucket.tokens = Math.min(computeCapacity(bucket, limit), refilled);
  bucket.updatedAt = now;
}

/** Computes the capacity of a bucket: the burst minus the lent tokens. */
function computeCapacity(bucket: Bucket, limit: ShardLimit): number {
  const lentTokens = bucket.lent.reduce((sum, lent) => sum + lent.tokens, 0);
  return Math.max(0, limit.burst - lentTokens);
}
