/** Time as a service, so that tests can run in virtual time. */

/** Reads time and waits for it to pass. */
export interface Clock {
  /** Monotonic time in milliseconds; its zero has no meaning. */
  now(): number;
  /** Wall-clock time in milliseconds since 1970; may jump. */
  wallNow(): number;
  /** Runs `action` after `ms` milliseconds, unless the result is called first. */
  startTimer(ms: number, action: () => void): () => void;
  /** Resolves after `ms` milliseconds, or as soon as `signal` aborts. */
  sleep(ms: number, signal?: AbortSignal): Promise<void>;
}

/** Result of {@linkcode runWithin} when the time ran out. */
export const EXPIRED: unique symbol = Symbol("expired");

/** Creates a clock over the process's own timers. */
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
    const timer = setTimeout(stop, Math.ceil(ms));
    signal?.addEventListener("abort", stop, { once: true });
    function stop(): void {
      clearTimeout(timer);
      signal?.removeEventListener("abort", stop);
      resolve();
    }
  });
}

/**
 * Runs `operation` for at most `ms` milliseconds.
 *
 * The operation's signal aborts when the time runs out; the result is then
 * {@linkcode EXPIRED}, whatever the operation goes on to do.
 */
export async function runWithin<T>(
  clock: Clock,
  ms: number,
  operation: (signal: AbortSignal) => Promise<T>,
): Promise<T | typeof EXPIRED> {
  const deadline = new AbortController();
  let cancel: () => void = () => {};
  const expiry = new Promise<typeof EXPIRED>((resolve) => {
    cancel = clock.startTimer(ms, () => {
      deadline.abort();
      resolve(EXPIRED);
    });
  });
  try {
    return await Promise.race([operation(deadline.signal), expiry]);
  } finally {
    cancel();
  }
}
