/** Channel between producers and one consuming task. */

/** A queue that one task reads with `for await`, in the order of sending. */
export class Channel<T> implements AsyncIterable<T> {
  readonly #values: T[] = [];
  #wake: (() => void) | undefined;
  #isClosed = false;

  /** Number of unread values. */
  get size(): number {
    return this.#values.length;
  }

  /** Adds a value for the reader; returns false if the channel is closed. */
  send(value: T): boolean {
    if (this.#isClosed) return false;
    this.#values.push(value);
    this.#wake?.();
    return true;
  }

  /** Closes the channel; the reader still receives the values sent so far. */
  close(): void {
    this.#isClosed = true;
    this.#wake?.();
  }

  /** Yields values until the channel is closed and empty. */
  async *[Symbol.asyncIterator](): AsyncGenerator<T, void, undefined> {
    while (true) {
      while (this.#values.length > 0) yield this.#values.shift() as T;
      if (this.#isClosed) return;
      await new Promise<void>((resolve) => this.#wake = resolve);
      this.#wake = undefined;
    }
  }
}
