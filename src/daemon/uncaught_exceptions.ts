/** Policy for exceptions that no code of the daemon caught. */

/** Time window in which exceptions are counted, in milliseconds. */
const WINDOW_MS = 10_000;
/**
 * Number of exceptions in one window from which the process counts as broken.
 * One exception usually concerns a single connection.
 */
const EXCEPTIONS_LIMIT = 20;

/** What the process does after an uncaught exception. */
export enum ExceptionAction {
  /** The process goes on; an exit would cut the requests of all callers. */
  Continue = "continue",
  /** The planned stop runs, so that requests in progress end first. */
  Stop = "stop",
}

/** Decides what the process does after uncaught exceptions. */
export class UncaughtExceptions {
  readonly #times: number[] = [];

  /** Records an exception at `now`, monotonic time in milliseconds. */
  record(now: number): ExceptionAction {
    this.#times.push(now);
    while ((this.#times[0] ?? now) < now - WINDOW_MS) this.#times.shift();
    return this.#times.length < EXCEPTIONS_LIMIT
      ? ExceptionAction.Continue
      : ExceptionAction.Stop;
  }
}
