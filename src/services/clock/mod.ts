/** Time as a service, so that tests can run in virtual time. */

/** Reads time and waits for it to pass. */
export interface Clock {
  /** Monotonic time in milliseconds; its zero has no meaning. */
  now(): number;
  /** Wall-clock time in milliseconds since 1970; may jump. */
  wallNow(): number;
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
  const finished = new AbortController();
  const expiry: Promise<typeof EXPIRED> = clock.sleep(ms, finished.signal).then(
    () => {
      if (!finished.signal.aborted) deadline.abort();
      return EXPIRED;
    },
  );
  try {
    return await Promise.race([operation(deadline.signal), expiry]);
  } finally {
    finished.abort();
  }
}
