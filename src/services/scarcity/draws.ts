/** Draws that are the same on every VM for the requests of a team and route. */
import type { Clock } from "../clock/mod.ts";
import { computeHash } from "../hashing/mod.ts";
import type { PolicyRequest } from "../overload/policy.ts";
import type { Random } from "../random/mod.ts";

/** What a draw decides; draws of different purposes are independent. */
export enum DrawPurpose {
  Wait = "wait",
  Minimum = "minimum",
}

/**
 * Time for which a draw stays the same, in milliseconds: a caller that repeats
 * at once, at any VM, gets the same answer.
 */
const PERIOD_MS = 1_000;
const UINT32_RANGE = 4_294_967_296;

/** Draws numbers from 0 to 1. */
export class Draws {
  readonly #clock: Clock;
  readonly #random: Random;

  constructor(clock: Clock, random: Random) {
    this.#clock = clock;
    this.#random = random;
  }

  /**
   * Returns the draw of a request. Requests without a team would all get the
   * same draw, so that theirs is random.
   */
  getDraw(request: PolicyRequest, purpose: DrawPurpose): number {
    const { team, route, service } = request;
    if (team === "") return this.#random();
    const period = this.#getPeriod(request);
    const text = `${purpose} ${service} ${route} ${team} ${period}`;
    return computeHash(text) / UINT32_RANGE;
  }

  /** Returns the time until the draws of a request change, in milliseconds. */
  getRemainingMs(request: PolicyRequest): number {
    if (request.team === "") return 0;
    const endAt = this.#getPeriod(request) + 1 - getOffset(request);
    return endAt * PERIOD_MS - this.#clock.wallNow();
  }

  #getPeriod(request: PolicyRequest): number {
    return Math.floor(this.#clock.wallNow() / PERIOD_MS + getOffset(request));
  }
}

/** Returns the offset of a team's periods, which begin at different times. */
function getOffset({ team }: PolicyRequest): number {
  return computeHash(team) / UINT32_RANGE;
}
