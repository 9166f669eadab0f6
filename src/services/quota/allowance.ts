/**
 * Tokens of a team, so that a window of a given length holds at most its rate
 * times the window and its burst.
 *
 * The pattern: a team that asks steadily for a little more than its rate, and
 * one that asks for all in one burst. Two buckets with the same sum for a window
 * are drawn from together: one saves up the whole burst at the plain rate; the
 * other saves half of it and spreads the other half over the window. A request
 * is admitted while either has a token, and is taken from both. The one that
 * admits the last request of a window bounds all requests of the window.
 */

/** Limits of a team. */
export interface BucketLimits {
  readonly ratePerSecond: number;
  readonly burst: number;
  /** Window in which both are counted, in milliseconds. */
  readonly windowMs: number;
}

/** Part of the burst that the second bucket spreads over the window. */
const SPREAD_RATIO = 0.5;
const MS_PER_SECOND = 1_000;

/** Gets the rate that a team may keep up for long. */
export function getSustainedRate(limits: BucketLimits): number {
  const spread = limits.burst * SPREAD_RATIO;
  return limits.ratePerSecond + spread * MS_PER_SECOND / limits.windowMs;
}

/** The two buckets of a team. */
export class Allowance {
  #burstLevel: number;
  #spreadLevel: number;

  /** Creates buckets that were empty `filledMs` ago. */
  constructor(limits: BucketLimits, filledMs: number) {
    this.#burstLevel = 0;
    this.#spreadLevel = 0;
    this.addTime(limits, filledMs / MS_PER_SECOND);
  }

  /** Tokens that are left; negative when more was taken than there was. */
  get level(): number {
    return Math.max(this.#burstLevel, this.#spreadLevel);
  }

  /** Adds what `seconds` bring. */
  addTime(limits: BucketLimits, seconds: number): void {
    this.#add(
      limits,
      seconds * limits.ratePerSecond,
      seconds * getSustainedRate(limits),
    );
  }

  /** Takes tokens, also such as are not there. */
  take(count: number): void {
    this.#burstLevel -= count;
    this.#spreadLevel -= count;
  }

  /** Gives back the token of a request that was not run. */
  giveBack(limits: BucketLimits): void {
    this.#add(limits, 1, 1);
  }

  #add(limits: BucketLimits, burst: number, spread: number): void {
    const { burst: size } = limits;
    this.#burstLevel = Math.min(size, this.#burstLevel + burst);
    this.#spreadLevel = Math.min(
      size * (1 - SPREAD_RATIO),
      this.#spreadLevel + spread,
    );
  }
}
