/** Which seats carry a team's rate and burst, and how much each. */
import { SEATS_PER_CELL } from "../../constants.ts";
import type { Preset, SeatIndex, Team } from "../../model/mod.ts";
import { computeHash, listRanked } from "../hashing/mod.ts";
import type { SeatLimit } from "../seats/seat_share.ts";

/** Least burst that is worth a seat of its own, in tokens. */
const BURST_PER_SEAT = 4;
const MS_PER_SECOND = 1_000;
/** Share of the burst's fill time for which tokens are lent. */
const LIFETIME_RATIO = 0.25;
const LIFETIME_MIN_MS = 50;
const LIFETIME_MAX_MS = 100;

const ALL_SEATS: readonly SeatIndex[] = Array.from(
  { length: SEATS_PER_CELL },
  (_seat, index) => index,
);

const homeSeats = new WeakMap<Team, readonly SeatIndex[]>();

/**
 * Lists the seats that carry a team's limits, the same on every VM.
 *
 * A small team has few of them, so that each holds whole tokens; which ones
 * follows from the team's name, so that many small teams spread evenly.
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

/** Gets the rate and burst that each of the team's seats carries. */
export function getSeatLimit(team: Team, preset: Preset): SeatLimit {
  const share = preset.rateFactor / listHomeSeats(team).length;
  return {
    ratePerMs: team.ratePerSecond * share / MS_PER_SECOND,
    burst: team.burst * share,
  };
}

/** Gets the time for which a team's tokens are lent, in milliseconds. */
export function getLoanLifetimeMs(team: Team): number {
  const fillMs = team.burst / team.ratePerSecond * MS_PER_SECOND;
  const lifetimeMs = fillMs * LIFETIME_RATIO;
  return Math.min(LIFETIME_MAX_MS, Math.max(LIFETIME_MIN_MS, lifetimeMs));
}
