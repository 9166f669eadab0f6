/** A queue between one producer and one task that reads it straight down. */

/** Values that a task reads with `for await`, in the order they were sent. */
export class Channel<T> implements AsyncIterable<T> {
  readonly #values: T[] = [];
  #wake: (() => void) | undefined;
  #isClosed = false;

  /** Number of values that wait to be read. */
  get size(): number {
    return this.#values.length;
  }

  /** Sends a value; returns false when the channel is closed. */
  send(value: T): boolean {
    if (this.#isClosed) return false;
    this.#values.push(value);
    this.#wake?.();
    return true;
  }

  /** Ends the reader after the values sent so far. */
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
