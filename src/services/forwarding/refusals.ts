/** Refusals of requests that got no response which can be forwarded. */
import { OutcomeKind, RefusalKind, RunState, Step } from "../../model/mod.ts";
import type { Refusal } from "../../model/mod.ts";
import { createRefusal, createStoppingRefusal } from "../admission/mod.ts";
import type { AttemptResult } from "./attempt_runner.ts";

/**
 * Returns the refusal of a request that is no longer allowed, after the refusal
 * `earlier`. Its status promises that the request was not run, so a request
 * that may have run keeps the earlier refusal.
 */
export function createWithdrawnRefusal(
  withdrawn: Refusal,
  earlier: Refusal,
): Refusal {
  switch (earlier.run) {
    case RunState.NotRun:
      return withdrawn;
    case RunState.Unknown:
      return earlier;
  }
}

/**
 * Creates the refusal of a request that waited until its deadline passed, which
 * aborts `signal`, or until this VM stopped.
 */
export function createWaitingRefusal(signal: AbortSignal, step: Step): Refusal {
  return signal.aborted
    ? createRefusal(RefusalKind.DeadlineExpired, step)
    : createStoppingRefusal();
}

/** Whether an attempt that failed at `step` was never sent to its server. */
export function isUnsent(step: Step): boolean {
  switch (step) {
    case Step.Queue:
    case Step.Connect:
      return true;
    case Step.Parse:
    case Step.Route:
    case Step.Key:
    case Step.Freshness:
    case Step.Limit:
    case Step.Write:
    case Step.FirstByte:
    case Step.Body:
      return false;
  }
}

/**
 * Creates a refusal for the newest failure.
 *
 * It reports `not run` only if no attempt so far may have run.
 */
export function createFailureRefusal(
  result: Exclude<AttemptResult, { kind: OutcomeKind.Responded }>,
  earlierRun: RunState,
  isExpired: boolean,
  retryAfterMs: number,
): Refusal {
  const isUnknown = earlierRun === RunState.Unknown ||
    result.kind === OutcomeKind.MayHaveRun;
  const unfinishedKind = isUnknown
    ? RefusalKind.ResponseLost
    : RefusalKind.ServerUnavailable;
  return {
    kind: isExpired ? RefusalKind.DeadlineExpired : unfinishedKind,
    step: result.failure.step,
    peer: result.failure.peer,
    run: isUnknown ? RunState.Unknown : RunState.NotRun,
    retryAfterMs: isUnknown ? 0 : retryAfterMs,
  };
}
