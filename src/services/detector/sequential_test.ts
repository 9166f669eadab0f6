/** Sequential test (CUSUM) that compares a backend server with the others. */

/** Shares of bad outcomes between which the test decides, 0 to 1. */
export interface Hypotheses {
  /** Share of a server that is like the others of its service. */
  readonly healthy: number;
  /** Share of a server that should be ejected. */
  readonly faulty: number;
}

/** Source of evidence: a peer's name, or the empty string for this VM. */
export type EvidenceOrigin = string;

/** Numbers of good and bad outcomes that are added at once. */
export interface Tally {
  readonly good: number;
  readonly bad: number;
}

/**
 * Sums log-likelihood ratios, never below zero. The more severe a fault, the
 * fewer outcomes it takes to detect it; good outcomes lower the sum again.
 *
 * E. S. Page, Continuous inspection schemes, Biometrika 41 (1954).
 */
export class SequentialTest {
  #score = 0;
  readonly #contributions = new Map<EvidenceOrigin, number>();

  /** The current sum; 0 indicates a healthy server. */
  get score(): number {
    return this.#score;
  }

  /** Adds outcomes that one VM observed. */
  add(origin: EvidenceOrigin, tally: Tally, hypotheses: Hypotheses): void {
    const { healthy, faulty } = hypotheses;
    const badStep = Math.log(faulty / healthy);
    const goodStep = Math.log((1 - faulty) / (1 - healthy));
    const change = tally.bad * badStep + tally.good * goodStep;
    this.#score = Math.max(0, this.#score + change);
    if (this.#score === 0) {
      this.#contributions.clear();
      return;
    }
    const contribution = this.#contributions.get(origin) ?? 0;
    this.#contributions.set(origin, Math.max(0, contribution + change));
  }

  /** Returns the contribution of one VM's outcomes to the sum. */
  getContribution(origin: EvidenceOrigin): number {
    return Math.min(this.#score, this.#contributions.get(origin) ?? 0);
  }

  /** Returns the greatest contribution of a single VM's outcomes to the sum. */
  getGreatestContribution(): number {
    return Math.min(this.#score, Math.max(0, ...this.#contributions.values()));
  }

  /** Resets the sum to zero. */
  removeAll(): void {
    this.#score = 0;
    this.#contributions.clear();
  }
}
