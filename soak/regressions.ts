/** Seeds that failed once, each with its cause; every run plays them again. */

/** A seed and why it failed. */
export interface RegressionSeed {
  readonly seed: number;
  readonly cause: string;
}

/** The seeds, oldest first. */
export const REGRESSION_SEEDS: readonly RegressionSeed[] = [];
