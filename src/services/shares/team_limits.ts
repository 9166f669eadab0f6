/** Distribution of a team's rate and burst over quota shards. */
import { SEATS_PER_CELL } from "../../constants.ts";
import type { Preset, SeatIndex, Team } from "../../model/mod.ts";
import { computeHash, listRanked } from "../hashing/mod.ts";
import type { SeatLimit } from "../seats/seat_share.ts";

/** Minimum burst per quota shard, in tokens; smaller teams use fewer shards. */
const BURST_PER_SEAT = 4;
const MS_PER_SECOND = 1_000;
/** Share of the burst's refill time for which tokens are lent, 0 to 1. */
const LIFETIME_RATIO = 0.25;
const LIFETIME_MIN_MS = 50;
const LIFETIME_MAX_MS = 100;

const ALL_SEATS: readonly SeatIndex[] = Array.from(
  { length: SEATS_PER_CELL },
  (_seat, index) => index,
);

const homeSeats = new WeakMap<Team, readonly SeatIndex[]>();

/**
 * Lists the quota shards that a team's limits are split over; the result is the
 * same on every VM.
 *
 * A small team uses few shards, so that each contains whole tokens. The shards
 * are chosen by a hash of the team's name, so that small teams spread evenly.
 */
export function listHomeSeats(team: Team): readonly SeatIndex[] {
  const known = homeSeats.get(team);
  if (known !== undefined) return known;
  const count = Math.floor(team.burst / BURST_PER_SEAT);
  const bounded = Math.min(SEATS_PER_CELL, Math.max(1, count));
  const seats = listRanked(
    ALL_SEATS,
    (index) => computeHash(`${team.id} seat ${index}`),
  ).slice(0, bounded);
  homeSeats.set(team, seats);
  return seats;
}

/** Returns the team's rate and burst in each of its quota shards. */
export function getSeatLimit(team: Team, preset: Preset): SeatLimit {
  const share = preset.rateFactor / listHomeSeats(team).length;
  return {
    ratePerMs: team.ratePerSecond * share / MS_PER_SECOND,
    burst: team.burst * share,
  };
}

/** Returns the time for which a team's tokens are lent, in milliseconds. */
export function getLoanLifetimeMs(team: Team): number {
  const fillMs = team.burst / team.ratePerSecond * MS_PER_SECOND;
  const lifetimeMs = fillMs * LIFETIME_RATIO;
  return Math.min(LIFETIME_MAX_MS, Math.max(LIFETIME_MIN_MS, lifetimeMs));
}
