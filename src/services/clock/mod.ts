/** Time as a service, so that tests can run in virtual time. */

/** Returns the current time and runs timers. */
export interface Clock {
  /** Monotonic time in milliseconds since an arbitrary point. */
  now(): number;
  /** Wall-clock time in milliseconds since 1970; may jump. */
  wallNow(): number;
  /** Runs `action` after `ms` milliseconds; returns a function to cancel it. */
  startTimer(ms: number, action: () => void): () => void;
  /** Resolves after `ms` milliseconds, or as soon as `signal` aborts. */
  sleep(ms: number, signal?: AbortSignal): Promise<void>;
}

/** Result of {@linkcode runWithTimeout} on a timeout. */
export const TIMED_OUT: unique symbol = Symbol("timed out");

/** Creates a clock on the timers of the process. */
export function createSystemClock(): Clock {
  return {
    now: () => performance.now(),
    wallNow: () => Date.now(),
    startTimer: (ms, action) => {
      const timer = setTimeout(action, Math.ceil(ms));
      return () => clearTimeout(timer);
    },
    sleep: sleepOnTimer,
  };
}

function sleepOnTimer(ms: number, signal?: AbortSignal): Promise<void> {
  if (signal?.aborted) return Promise.resolve();
  return new Promise((resolve) => {
    const timer = setTimeout(complete, Math.ceil(ms));
    signal?.addEventListener("abort", complete, { once: true });
    function complete(): void {
      clearTimeout(timer);
      signal?.removeEventListener("abort", complete);
      resolve();
    }
  });
}

/**
 * Runs `operation` with a timeout of `ms` milliseconds.
 *
 * On a timeout, the operation's signal aborts and the result is
 * {@linkcode TIMED_OUT}, without waiting for the operation to end.
 */
export async function runWithTimeout<T>(
  clock: Clock,
  ms: number,
  operation: (signal: AbortSignal) => Promise<T>,
): Promise<T | typeof TIMED_OUT> {
  const controller = new AbortController();
  let cancel: () => void = () => {};
  const timeout = new Promise<typeof TIMED_OUT>((resolve) => {
    cancel = clock.startTimer(ms, () => {
      controller.abort();
      resolve(TIMED_OUT);
    });
  });
  try {
    return await Promise.race([operation(controller.signal), timeout]);
  } finally {
    cancel();
  }
}
