/** Randomness as a service, so that tests can seed it. */

/** Returns uniformly distributed numbers in the interval [0, 1). */
export type Random = () => number;

const UINT32_RANGE = 4_294_967_296;

/** Creates the unseeded generator that daemons use. */
export function createSystemRandom(): Random {
  return Math.random;
}

/** Creates a generator (mulberry32); the same seed yields the same numbers. */
export function createSeededRandom(seed: number): Random {
  let state = seed >>> 0;
  return () => {
    state = (state + 0x6d2b79f5) >>> 0;
    let mixed = Math.imul(state ^ (state >>> 15), state | 1);
    mixed ^= mixed + Math.imul(mixed ^ (mixed >>> 7), mixed | 61);
    return ((mixed ^ (mixed >>> 14)) >>> 0) / UINT32_RANGE;
  };
}
