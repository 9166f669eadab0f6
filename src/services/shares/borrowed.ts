/** Tokens of one team that this VM has borrowed from peers. */

/** Tokens that were borrowed together. */
interface BorrowedBatch {
  tokens: number;
  /** Monotonic time of expiry, in milliseconds. */
  readonly expiresAt: number;
}

/** Borrowed tokens; those that expire first are spent first. */
export class BorrowedTokens {
  #batches: BorrowedBatch[] = [];

  /** Adds tokens that expire at `expiresAt`, in monotonic milliseconds. */
  add(tokens: number, expiresAt: number): void {
    this.#batches.push({ tokens, expiresAt });
    this.#batches.sort((left, right) => left.expiresAt - right.expiresAt);
  }

  /** Returns the number of tokens that have not expired at `now`. */
  getTokens(now: number): number {
    this.#batches = this.#batches.filter((batch) =>
      batch.expiresAt > now && batch.tokens > 0
    );
    return this.#batches.reduce((sum, batch) => sum + batch.tokens, 0);
  }

  /** Spends up to `wanted` tokens at `now`; returns how many. */
  acquire(wanted: number, now: number): number {
    let acquired = 0;
    for (const batch of this.#batches) {
      if (batch.expiresAt <= now) continue;
      const amount = Math.min(batch.tokens, wanted - acquired);
      batch.tokens -= amount;
      acquired += amount;
    }
    return acquired;
  }
}
