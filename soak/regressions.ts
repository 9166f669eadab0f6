/** Seeds that failed once, each with its cause; every run plays them again. */

/** A seed and why it failed. */
export interface RegressionSeed {
  readonly seed: number;
  readonly cause: string;
}

/** The seeds, oldest first. */
export const REGRESSION_SEEDS: readonly RegressionSeed[] = [
  {
    seed: 111,
    cause: "a VM did not serve again; its process had ended, most likely by " +
      "SIGHUP as with seed 203, which no log of that run shows",
  },
  {
    seed: 203,
    cause: "SIGHUP while the daemon's modules were loaded ended the process",
  },
];
