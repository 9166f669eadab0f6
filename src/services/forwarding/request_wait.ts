/** The signals that end the waits of one request. */
import type { Clock } from "../clock/mod.ts";
import type { Shutdown } from "../planned_stop/shutdown.ts";

/** Lifetime of one request, from its head to its response. */
export interface RequestWait {
  /** Aborts when the caller disconnects or the deadline passes. */
  readonly signal: AbortSignal;
  /**
   * Aborts with {@linkcode signal}, and when this VM stops; ends the waits of a
   * request that was not sent to a server.
   */
  readonly waitSignal: AbortSignal;
  /** Stops the timer and removes the listeners. */
  close(): void;
}

/** Dependencies of {@linkcode startRequestWait}. */
export interface RequestWaitDependencies {
  readonly clock: Clock;
  readonly shutdown: Shutdown;
}

/**
 * Starts the lifetime of a request with a deadline at the monotonic time
 * `deadlineAt`. The signal `caller` aborts when its caller disconnects, and may
 * have aborted already.
 */
export function startRequestWait(
  { clock, shutdown }: RequestWaitDependencies,
  deadlineAt: number,
  caller: AbortSignal,
): RequestWait {
  const request = new AbortController();
  const waiting = new AbortController();
  const abortWaiting = (): void => waiting.abort();
  const abortRequest = (): void => {
    request.abort();
    waiting.abort();
  };
  const removeEndListener = shutdown.addEndListener(abortWaiting);
  const cancelTimer = clock.startTimer(deadlineAt - clock.now(), abortRequest);
  // A signal that has aborted does not call its listeners.
  if (caller.aborted) abortRequest();
  caller.addEventListener("abort", abortRequest, { once: true });
  return {
    signal: request.signal,
    waitSignal: waiting.signal,
    close: () => {
      removeEndListener();
      cancelTimer();
      caller.removeEventListener("abort", abortRequest);
    },
  };
}
