/** Checks whether a server's response may be forwarded to the caller. */
import { FailureKind, OutcomeKind, Step } from "../../model/mod.ts";
import type { Clock } from "../clock/mod.ts";
import type { AttemptResult } from "./attempt_runner.ts";
import {
  readResponseBody,
  releaseResponse,
  ResponseBodyKind,
} from "./response_body.ts";
import { UNBOUNDED_HOLD } from "../memory_budget/mod.ts";
import type { MemoryHold } from "../memory_budget/mod.ts";
import { BodyError } from "./upstream.ts";
import type { Attempt, UpstreamResponse } from "./upstream.ts";

const REDIRECTION_STATUS = 300;

function isSuccess(status: number): boolean {
  return status < REDIRECTION_STATUS;
}

/** Checks that a response belongs to this attempt and is complete. */
export async function checkResponse(
  attempt: Attempt,
  response: UpstreamResponse,
  clock: Clock,
  hold: MemoryHold = UNBOUNDED_HOLD,
): Promise<AttemptResult> {
  const { server } = attempt;
  const peer = server.id;
  // A response to another request, even a refusal, proves nothing about this.
  if (response.attempt !== undefined && response.attempt !== attempt.id) {
    response.cancel();
    return {
      kind: OutcomeKind.MayHaveRun,
      failure: {
        kind: FailureKind.ResponseMismatch,
        step: Step.FirstByte,
        peer,
      },
    };
  }
  if (response.isMisdirected) {
    response.cancel();
    return {
      kind: OutcomeKind.NotRun,
      failure: { kind: FailureKind.Misdirected, step: Step.FirstByte, peer },
    };
  }
  if (response.isNotRun) {
    void releaseResponse(response, clock);
    return {
      kind: OutcomeKind.NotRun,
      failure: { kind: FailureKind.Shed, step: Step.FirstByte, peer },
    };
  }
  if (response.isUnverified && isSuccess(response.status)) {
    return createInvalidResult(attempt, response);
  }
  try {
    const body = await readResponseBody(response, hold);
    // An unsigned error counts as the server's only if its body ends.
    if (response.isUnverified && body.kind === ResponseBodyKind.Streamed) {
      return createInvalidResult(attempt, response);
    }
    return {
      kind: OutcomeKind.Responded,
      accepted: { server, response, body },
    };
  } catch (error) {
    response.cancel();
    if (!(error instanceof BodyError)) throw error;
    return { kind: OutcomeKind.MayHaveRun, failure: error.failure };
  }
}

/** Cancels a response that can't be a valid one to this attempt. */
function createInvalidResult(
  { server }: Attempt,
  response: UpstreamResponse,
): AttemptResult {
  response.cancel();
  return {
    kind: OutcomeKind.MayHaveRun,
    failure: {
      kind: FailureKind.InvalidResponse,
      step: Step.FirstByte,
      peer: server.id,
    },
  };
}
