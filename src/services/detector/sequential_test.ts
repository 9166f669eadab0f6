/** Sequential test (CUSUM) of one backend server against its siblings. */

/** Shares of bad outcomes that the test tells apart, 0 to 1. */
export interface Hypotheses {
  /** Share at a server that is like its siblings. */
  readonly healthy: number;
  /** Share at a server that has to go. */
  readonly faulty: number;
}

/** Where evidence comes from; the own VM or a peer. */
export type EvidenceOrigin = string;

/** Good and bad outcomes that came together. */
export interface Tally {
  readonly good: number;
  readonly bad: number;
}

/**
 * Sums log-likelihood ratios, never below zero, so that a fault is found after
 * as few outcomes as its size allows, and good outcomes soon forgive bad ones.
 *
 * E. S. Page, Continuous inspection schemes, Biometrika 41 (1954).
 */
export class SequentialTest {
  #score = 0;
  readonly #parts = new Map<EvidenceOrigin, number>();

  /** The sum so far; 0 speaks for a healthy server. */
  get score(): number {
    return this.#score;
  }

  /** Adds outcomes that one VM saw. */
  add(origin: EvidenceOrigin, tally: Tally, hypotheses: Hypotheses): void {
    const { healthy, faulty } = hypotheses;
    const badStep = Math.log(faulty / healthy);
    const goodStep = Math.log((1 - faulty) / (1 - healthy));
    const change = tally.bad * badStep + tally.good * goodStep;
    this.#score = Math.max(0, this.#score + change);
    if (this.#score === 0) {
      this.#parts.clear();
      return;
    }
    const part = this.#parts.get(origin) ?? 0;
    this.#parts.set(origin, Math.max(0, part + change));
  }

  /** Gets the part of the sum that one VM's outcomes make up. */
  getPart(origin: EvidenceOrigin): number {
    return Math.min(this.#score, this.#parts.get(origin) ?? 0);
  }

  /** Gets the greatest part that any one VM's outcomes make up. */
  getGreatestPart(): number {
    return Math.min(this.#score, Math.max(0, ...this.#parts.values()));
  }

  /** Starts anew. */
  removeAll(): void {
    this.#score = 0;
    this.#parts.clear();
  }
}
