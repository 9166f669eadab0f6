/** Recent admissions and slot time of one service, by level and by team. */
import type { TeamId } from "../../model/mod.ts";
import { ALL_LEVELS, URGENCY_LEVELS } from "./capacity_view.ts";

/** Time constant of the decay of slot time, in milliseconds. */
const USE_DECAY_MS = 5_000;
/** Time constant of the decay of admission rates, in milliseconds. */
const RATE_DECAY_MS = 4_000;
/** Number of admissions that are assumed before the first request. */
const PRIOR_REQUESTS = 2;
/** Bounds of a team's use relative to the mean of all teams. */
const TEAM_FACTOR_MIN = 0.6;
const TEAM_FACTOR_MAX = 3;
/** Use below which a team is dropped, relative to one request. */
const NEGLIGIBLE_USE = 0.01;

/** A sum whose older terms count less. */
class DecayingSum {
  readonly #decayMs: number;
  #value = 0;
  #at = 0;

  constructor(decayMs: number) {
    this.#decayMs = decayMs;
  }

  add(value: number, now: number): void {
    this.#value = this.getValue(now) + value;
    this.#at = now;
  }

  getValue(now: number): number {
    return this.#value * Math.exp(-(now - this.#at) / this.#decayMs);
  }
}

/** Requests and admissions of a level. */
interface LevelCounts {
  readonly requests: DecayingSum;
  readonly admitted: DecayingSum;
  readonly startedMs: DecayingSum;
}

/** Records who was admitted lately. */
export class ClassShares {
  readonly #levels: readonly LevelCounts[] = ALL_LEVELS.map(() => ({
    requests: new DecayingSum(RATE_DECAY_MS),
    admitted: new DecayingSum(RATE_DECAY_MS),
    startedMs: new DecayingSum(USE_DECAY_MS),
  }));
  readonly #teams = new Map<TeamId, DecayingSum>();

  /** Records a decision on a request of a level. */
  recordDecision(level: number, isAdmitted: boolean, now: number): void {
    const counts = this.#levels[level];
    counts?.requests.add(1, now);
    if (isAdmitted) counts?.admitted.add(1, now);
  }

  /** Records that a request starts and uses a slot for about `workMs`. */
  recordStart(level: number, team: TeamId, workMs: number, now: number): void {
    this.#levels[level]?.startedMs.add(workMs, now);
    const use = this.#teams.get(team) ?? new DecayingSum(USE_DECAY_MS);
    this.#teams.set(team, use);
    use.add(workMs, now);
  }

  /** Returns the share of recent requests that were admitted, 0 to 1. */
  getAdmittedRatio(now: number): number {
    return getRatio(this.#levels, now);
  }

  /** Returns the same for one level. */
  getLevelRatio(level: number, now: number): number {
    return getRatio(this.#levels.slice(level, level + 1), now);
  }

  /** Returns the share of recent slot time of the levels before `level`. */
  getMoreUrgentRatio(level: number, now: number): number {
    const uses = this.#levels.map(({ startedMs }) => startedMs.getValue(now));
    const total = sum(uses);
    return total > 0 ? sum(uses.slice(0, level)) / total : 0;
  }

  /** Counts the levels that had requests lately. */
  countLevels(now: number): number {
    return this.countLessUrgent(-1, now);
  }

  /** Counts the levels after `level` that had requests lately. */
  countLessUrgent(level: number, now: number): number {
    return this.#levels.slice(level + 1, URGENCY_LEVELS)
      .filter(({ requests }) => requests.getValue(now) > 1).length;
  }

  /**
   * Returns a team's recent slot time relative to the mean of all teams; about
   * 1 while there is little to compare, since `workMs`, the work of a request,
   * is added to both.
   */
  getTeamFactor(team: TeamId, workMs: number, now: number): number {
    let totalMs = 0;
    for (const [id, use] of this.#teams) {
      const value = use.getValue(now);
      if (value < workMs * NEGLIGIBLE_USE) this.#teams.delete(id);
      totalMs += value;
    }
    if (workMs <= 0 || this.#teams.size < 2) return 1;
    const useMs = this.#teams.get(team)?.getValue(now) ?? 0;
    const meanMs = totalMs / this.#teams.size;
    const factor = (useMs + 2 * workMs) / (meanMs + 2 * workMs);
    return Math.min(TEAM_FACTOR_MAX, Math.max(TEAM_FACTOR_MIN, factor));
  }
}

function getRatio(levels: readonly LevelCounts[], now: number): number {
  const requests = sum(levels.map((level) => level.requests.getValue(now)));
  const admitted = sum(levels.map((level) => level.admitted.getValue(now)));
  return (admitted + PRIOR_REQUESTS) / (requests + PRIOR_REQUESTS);
}

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}
