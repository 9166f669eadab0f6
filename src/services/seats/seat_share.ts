/** Token buckets of one quota shard: its shares of the teams' quotas. */
import type { Offset, SeatEpoch, SeatIndex, TeamId } from "../../model/mod.ts";
import type { SeatBucket } from "../membership/peer_message.ts";

/** Rate and burst of one team in one quota shard. */
export interface SeatLimit {
  /** Refill rate in tokens per millisecond. */
  readonly ratePerMs: number;
  /** Maximum number of tokens in the bucket. */
  readonly burst: number;
}

/** Tokens lent to a peer. */
interface Loan {
  readonly tokens: number;
  /** Monotonic time in milliseconds after which the tokens can't be spent. */
  readonly until: number;
}

/** Token bucket of one team. */
interface Bucket {
  tokens: number;
  /** Monotonic time in milliseconds up to which the bucket was refilled. */
  updatedAt: number;
  /** Tokens lent to peers; they count against the burst until they expire. */
  loans: Loan[];
}

/** Start of a shard's refill, for teams without a bucket. */
export interface FillStart {
  /** Monotonic time in milliseconds at which the shard was empty. */
  readonly emptyAt: number;
  /**
   * Teams whose limits changed after this offset refill only from the time at
   * which that change was applied.
   */
  readonly trustedOffset: Offset;
}

/** Identifies a team and the version of its limits. */
export interface SeatTeam {
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
export class SeatShare {
  readonly index: SeatIndex;
  readonly epoch: SeatEpoch;
  readonly #fill: FillStart;
  readonly #buckets = new Map<TeamId, Bucket>();

  /** Creates a shard without buckets whose refill began at `fill`. */
  constructor(index: SeatIndex, epoch: SeatEpoch, fill: FillStart) {
    this.index = index;
    this.epoch = epoch;
    this.#fill = fill;
  }

  /** Start of the refill for teams without a bucket. */
  get fill(): FillStart {
    return this.#fill;
  }

  /** Number of stored buckets. */
  get bucketCount(): number {
    return this.#buckets.size;
  }

  /** Gets the tokens that a team may spend from this shard at `now`. */
  getTokens(team: SeatTeam, limit: SeatLimit, now: number): number {
    const bucket = this.#buckets.get(team.id);
    if (bucket === undefined) return this.#getUnspent(team, limit, now);
    updateBucket(bucket, limit, now);
    return bucket.tokens;
  }

  /** Removes tokens; the caller has checked that the bucket contains them. */
  takeTokens(team: SeatTeam, limit: SeatLimit, taken: Taken): void {
    const bucket = this.#getBucket(team, limit, taken.now);
    bucket.tokens -= taken.tokens;
  }

  /** Removes tokens that a peer may spend until `until`. */
  takeLoan(
    team: SeatTeam,
    limit: SeatLimit,
    taken: Taken & { readonly until: number },
  ): void {
    const bucket = this.#getBucket(team, limit, taken.now);
    bucket.tokens -= taken.tokens;
    bucket.loans.push({ tokens: taken.tokens, until: taken.until });
  }

  /** Returns unused tokens that were acquired from this shard. */
  addTokens(team: SeatTeam, limit: SeatLimit, taken: Taken): void {
    const bucket = this.#getBucket(team, limit, taken.now);
    bucket.tokens = Math.min(
      getRoom(bucket, limit),
      bucket.tokens + taken.tokens,
    );
  }

  /** Sets a team's tokens that came with a transfer of the shard. */
  setTokens(bucket: SeatBucket, now: number): void {
    this.#buckets.set(bucket.team, {
      tokens: bucket.tokens,
      updatedAt: now,
      loans: [],
    });
  }

  /** Lists the tokens of the stored buckets, without refilling them first. */
  listBuckets(): SeatBucket[] {
    return [...this.#buckets].map(([team, { tokens }]) => ({ team, tokens }));
  }

  /** Removes the buckets for which `isFull` returns true. */
  removeFull(isFull: (team: TeamId) => boolean): void {
    for (const team of [...this.#buckets.keys()]) {
      if (isFull(team)) this.#buckets.delete(team);
    }
  }

  /** Whether a team without a bucket would be at its full burst at `now`. */
  isFilled(team: SeatTeam, limit: SeatLimit, now: number): boolean {
    return this.#getUnspent(team, limit, now) >= limit.burst;
  }

  #getBucket(team: SeatTeam, limit: SeatLimit, now: number): Bucket {
    const existing = this.#buckets.get(team.id);
    if (existing !== undefined) {
      updateBucket(existing, limit, now);
      return existing;
    }
    const created = {
      tokens: this.#getUnspent(team, limit, now),
      updatedAt: now,
      loans: [],
    };
    this.#buckets.set(team.id, created);
    return created;
  }

  #getUnspent(team: SeatTeam, limit: SeatLimit, now: number): number {
    const { emptyAt, trustedOffset } = this.#fill;
    const isTrusted = team.revision <= trustedOffset;
    const since = isTrusted ? emptyAt : Math.max(emptyAt, team.appliedAt);
    if (since === -Infinity) return limit.burst;
    return Math.min(limit.burst, (now - since) * limit.ratePerMs);
  }
}

/** A number of tokens that is acquired or returned at a given time. */
export interface Taken {
  readonly tokens: number;
  /** Monotonic time in milliseconds. */
  readonly now: number;
}

function updateBucket(bucket: Bucket, limit: SeatLimit, now: number): void {
  if (bucket.loans.length > 0) {
    bucket.loans = bucket.loans.filter((loan) => loan.until > now);
  }
  const filled = bucket.tokens +
    Math.max(0, now - bucket.updatedAt) * limit.ratePerMs;
  bucket.tokens = Math.min(getRoom(bucket, limit), filled);
  bucket.updatedAt = now;
}

/** Gets the most tokens that fit in the bucket: the burst minus lent tokens. */
function getRoom(bucket: Bucket, limit: SeatLimit): number {
  const lent = bucket.loans.reduce((sum, loan) => sum + loan.tokens, 0);
  return Math.max(0, limit.burst - lent);
}
