/** Seeds that failed in the past; `npm run soak` runs them again by default. */

/** A seed and the cause of its failure. */
export interface RegressionSeed {
  readonly seed: number;
  readonly cause: string;
}

/** Regression seeds, oldest first. */
export const REGRESSION_SEEDS: readonly RegressionSeed[] = [
  {
    seed: 111,
    cause: "a VM did not recover because its process had exited, probably on " +
      "SIGHUP as with seed 203; the logs of that run do not show it",
  },
  {
    seed: 203,
    cause: "SIGHUP killed the process while the daemon's modules were loading",
  },
];
