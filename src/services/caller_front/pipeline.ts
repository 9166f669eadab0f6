/** Turns of the requests of one caller connection. */

/** Which other requests of its connection a request may run beside. */
export enum Concurrency {
  /** Runs beside other idempotent requests. */
  Shared = "shared",
  /** Runs when all requests before it are answered, and alone. */
  Exclusive = "exclusive",
}

/** Starts requests in order, at most `limit` at the same time. */
export class Pipeline {
  readonly #limit: number;
  readonly #running = new Set<Promise<void>>();
  #newest = Concurrency.Shared;

  /** Creates the pipeline of a connection without requests. */
  constructor(limit: number) {
    this.#limit = limit;
  }

  /** Number of requests that are running. */
  get running(): number {
    return this.#running.size;
  }

  /** Resolves when a request may start; the caller waits for one at a time. */
  async waitForTurn(concurrency: Concurrency): Promise<void> {
    switch (concurrency) {
      case Concurrency.Exclusive:
        return await this.waitForAll();
      case Concurrency.Shared:
        return await this.#waitForRoom();
    }
  }

  /** Starts a request whose turn has come; `job` must not reject. */
  start(concurrency: Concurrency, job: () => Promise<void>): void {
    this.#newest = concurrency;
    const run = job().finally(() => this.#running.delete(run));
    this.#running.add(run);
  }

  /** Resolves when no request is running. */
  async waitForAll(): Promise<void> {
    await Promise.all(this.#running);
  }

  async #waitForRoom(): Promise<void> {
    // An exclusive request starts when no other is running.
    if (this.#newest === Concurrency.Exclusive) await this.waitForAll();
    while (this.#running.size >= this.#limit) {
      await Promise.race(this.#running);
    }
  }
}
