/** Distribution of a team's rate and burst over quota shards. */
import { SHARDS_PER_CELL } from "../../constants.ts";
import type { Preset, ShardIndex, Team } from "../../model/mod.ts";
import { computeHash, listRanked } from "../hashing/mod.ts";
import type { ShardLimit } from "../quota_shards/shard_buckets.ts";

/** Minimum burst per quota shard, in tokens; smaller teams use fewer shards. */
const MIN_BURST_PER_SHARD = 4;
const MS_PER_SECOND = 1_000;
/** Share of the burst's refill time for which tokens are lent, 0 to 1. */
const LIFETIME_RATIO = 0.25;
const LIFETIME_MIN_MS = 50;
const LIFETIME_MAX_MS = 100;

const ALL_SHARDS: readonly ShardIndex[] = Array.from(
  { length: SHARDS_PER_CELL },
  (_shard, index) => index,
);

const shardsByTeam = new WeakMap<Team, readonly ShardIndex[]>();

/**
 * Lists the quota shards that a team's limits are split over; the result is the
 * same on every VM.
 *
 * A small team uses few shards, so that each contains whole tokens. The shards
 * are chosen by a hash of the team's name, so that small teams spread evenly.
 */
export function listTeamShards(team: Team): readonly ShardIndex[] {
  const existing = shardsByTeam.get(team);
  if (existing !== undefined) return existing;
  const count = Math.floor(team.burst / MIN_BURST_PER_SHARD);
  const bounded = Math.min(SHARDS_PER_CELL, Math.max(1, count));
  const shards = listRanked(
    ALL_SHARDS,
    (index) => computeHash(`${team.id} seat ${index}`),
  ).slice(0, bounded);
  shardsByTeam.set(team, shards);
  return shards;
}

/** Returns the team's rate and burst in each of its quota shards. */
export function getShardLimit(team: Team, preset: Preset): ShardLimit {
  const share = preset.rateFactor / listTeamShards(team).length;
  return {
    ratePerMs: team.ratePerSecond * share / MS_PER_SECOND,
    burst: team.burst * share,
  };
}

/** Returns the time for which a team's tokens are lent, in milliseconds. */
export function getBorrowLifetimeMs(team: Team): number {
  const refillMs = team.burst / team.ratePerSecond * MS_PER_SECOND;
  const lifetimeMs = refillMs * LIFETIME_RATIO;
  return Math.min(LIFETIME_MAX_MS, Math.max(LIFETIME_MIN_MS, lifetimeMs));
}
