/** Tokens of one team that this VM has borrowed from peers. */

/** Tokens that were borrowed together. */
interface Borrowed {
  tokens: number;
  /** Monotonic time of expiry, in milliseconds. */
  readonly until: number;
}

/** Borrowed tokens; those that expire first are spent first. */
export class BorrowedTokens {
  #loans: Borrowed[] = [];

  /** Adds tokens that expire at `until`, in monotonic milliseconds. */
  add(tokens: number, until: number): void {
    this.#loans.push({ tokens, until });
    this.#loans.sort((left, right) => left.until - right.until);
  }

  /** Returns the number of tokens that have not expired at `now`. */
  getTokens(now: number): number {
    this.#loans = this.#loans.filter((loan) =>
      loan.until > now && loan.tokens > 0
    );
    return this.#loans.reduce((sum, loan) => sum + loan.tokens, 0);
  }

  /** Spends up to `wanted` tokens at `now`; returns how many. */
  take(wanted: number, now: number): number {
    let taken = 0;
    for (const loan of this.#loans) {
      if (loan.until <= now) continue;
      const part = Math.min(loan.tokens, wanted - taken);
      loan.tokens -= part;
      taken += part;
    }
    return taken;
  }
}
