/** Sends a request to one server and checks the response. */
import {
  FailureKind,
  Idempotency,
  OutcomeKind,
  Step,
} from "../../model/mod.ts";
import type { Failure, Server } from "../../model/mod.ts";
import type { Admission, RequestPlan } from "../admission/mod.ts";
import type { CallerExchange } from "../caller_front/exchange.ts";
import type { Clock } from "../clock/mod.ts";
import { AttemptVerdict } from "../detector/mod.ts";
import type { Detector } from "../detector/mod.ts";
import type { Dispatch } from "../dispatch/mod.ts";
import type { Logger } from "../logging/mod.ts";
import { Counter } from "../metrics/mod.ts";
import type { Metrics } from "../metrics/mod.ts";
import type { Overload } from "../overload/mod.ts";
import type { Selection } from "../selection/mod.ts";
import {
  AnswerBodyKind,
  readAnswerBody,
  releaseAnswer,
} from "./answer_body.ts";
import type { AnswerBody } from "./answer_body.ts";
import type { RequestBody } from "./request_body.ts";
import { BodyError } from "./upstream.ts";
import type { Attempt, UpstreamAnswer, UpstreamClient } from "./upstream.ts";

/** A request that is being forwarded. */
export interface Job {
  readonly plan: RequestPlan;
  readonly exchange: CallerExchange;
  readonly body: RequestBody;
  /** Aborts when the caller disconnects or the deadline passes. */
  readonly signal: AbortSignal;
}

/** A server's response that may be forwarded to the caller. */
export interface Accepted {
  readonly server: Server;
  readonly answer: UpstreamAnswer;
  readonly body: AnswerBody;
}

/** Outcome of an attempt after its response was checked. */
export type AttemptResult =
  | { readonly kind: OutcomeKind.NotRun; readonly failure: Failure }
  | { readonly kind: OutcomeKind.MayHaveRun; readonly failure: Failure }
  | { readonly kind: OutcomeKind.Answered; readonly accepted: Accepted };

/** Services and data that {@linkcode AttemptRunner} depends on. */
export interface AttemptParts {
  readonly admission: Admission;
  readonly clock: Clock;
  readonly selection: Selection;
  readonly detector: Detector;
  readonly dispatch: Dispatch;
  readonly upstream: UpstreamClient;
  readonly metrics: Metrics;
  readonly overload: Overload;
  readonly logger: Logger;
  /** Prefix of attempt ids, unique to this start of the daemon. */
  readonly attemptPrefix: string;
}

/** Runs attempts and reports their outcomes to selection and detector. */
export class AttemptRunner {
  readonly #parts: AttemptParts;
  #attemptCount = 0;

  constructor(parts: AttemptParts) {
    this.#parts = parts;
  }

  /** Sends a request to one server; `signal` cancels only this attempt. */
  async run(
    job: Job,
    server: Server,
    signal: AbortSignal,
  ): Promise<AttemptResult> {
    const { dispatch, selection, detector, overload, clock, metrics } =
      this.#parts;
    const chosenAt = clock.now();
    return await dispatch.runOnServer(server.id, async () => {
      // The server or the caller's key may have changed during the wait.
      if (!this.#checkSend(job, server)) {
        const failure = {
          kind: FailureKind.NoServer,
          step: Step.Queue,
          peer: server.id,
        };
        return { kind: OutcomeKind.NotRun, failure };
      }
      this.#recordSend(job, server, clock.now() - chosenAt);
      const watched = detector.recordStart(server);
      metrics.add(Counter.Attempts);
      const hadRoom = selection.recordStart(server);
      const attempt = this.#createAttempt(job, server, signal);
      const outcome = await this.#parts.upstream.send(attempt);
      const result = outcome.kind === OutcomeKind.Answered
        ? await checkAnswer(attempt, outcome.answer, clock)
        : outcome;
      const answer = outcome.kind === OutcomeKind.Answered
        ? outcome.answer
        : undefined;
      const latencyMs = clock.now() - watched.startedAt;
      selection.recordEnd(
        server,
        answer && {
          latencyMs: isGood(result) ? latencyMs : undefined,
          load: answer.load,
          isShed: answer.isNotRun,
          hadRoom,
        },
      );
      if (isGood(result) && hadRoom) {
        const { service, route } = job.plan;
        overload.recordWork(service, route.id, latencyMs);
      }
      if (answer) detector.recordDraining(server, answer.isDraining);
      detector.recordEnd(watched, getVerdict(result));
      return result;
    });
  }

  #recordSend(job: Job, server: Server, waitedMs: number): void {
    this.#parts.logger.info("sending the request to a server", {
      request: job.plan.attempt ?? "",
      server: server.id,
      offset: server.revision,
      waitedMs: Math.round(waitedMs),
    });
  }

  /** Whether the request may still be sent to its selected server. */
  #checkSend({ plan }: Job, server: Server): boolean {
    const { admission, logger, metrics, selection } = this.#parts;
    const isAllowed = admission.checkPlan(plan) === undefined;
    if (isAllowed && selection.isInUse(server)) return true;
    metrics.add(Counter.LateChoices);
    logger.info("not sending the request to its selected server", {
      request: plan.attempt ?? "",
      server: server.id,
      offset: server.revision,
      reason: isAllowed
        ? "server is draining or removed"
        : "request is no longer allowed",
    });
    return false;
  }

  #createAttempt(job: Job, server: Server, signal: AbortSignal): Attempt {
    const { plan, body } = job;
    this.#attemptCount += 1;
    return {
      id: plan.attempt ??
        `${this.#parts.attemptPrefix}-${this.#attemptCount}`,
      server,
      team: plan.team?.id,
      method: plan.method,
      target: plan.target,
      headers: plan.headers,
      bodyLength: body.length,
      body: body.read(),
      remainingMs: plan.deadlineAt - this.#parts.clock.now(),
      mayReuseConnection: plan.route.idempotency === Idempotency.Idempotent,
      isAllowed: () => this.#checkSend(job, server),
      signal,
    };
  }
}

const SERVER_ERROR_STATUS = 500;
const REDIRECTION_STATUS = 300;

function isSuccess(status: number): boolean {
  return status < REDIRECTION_STATUS;
}

/** Whether an attempt got a response that a retry could not improve. */
export function isFinal(
  job: Job,
  result: AttemptResult,
): result is Extract<AttemptResult, { kind: OutcomeKind.Answered }> {
  if (result.kind !== OutcomeKind.Answered) return false;
  const { status } = result.accepted.answer;
  return status < SERVER_ERROR_STATUS ||
    !isRepeatable(job, OutcomeKind.MayHaveRun);
}

/**
 * Whether the server processed the request without an error of its own. Only
 * then is the latency representative, since errors return sooner.
 */
function isGood(result: AttemptResult): boolean {
  return result.kind === OutcomeKind.Answered &&
    result.accepted.answer.status < SERVER_ERROR_STATUS;
}

/** Returns the verdict on the server for the result of an attempt. */
function getVerdict(result: AttemptResult): AttemptVerdict {
  switch (result.kind) {
    case OutcomeKind.Answered:
      return result.accepted.answer.status >= SERVER_ERROR_STATUS
        ? AttemptVerdict.Failed
        : AttemptVerdict.Good;
    case OutcomeKind.NotRun:
    case OutcomeKind.MayHaveRun:
      return getFailureVerdict(result.failure.kind);
  }
}

/** Returns the verdict on the server for a failed attempt. */
function getFailureVerdict(kind: FailureKind): AttemptVerdict {
  switch (kind) {
    case FailureKind.Cancelled:
    case FailureKind.Shed:
    case FailureKind.QueueFull:
    case FailureKind.NoServer:
      return AttemptVerdict.Neutral;
    case FailureKind.ConnectionRefused:
    case FailureKind.Misdirected:
      return AttemptVerdict.Refused;
    case FailureKind.TimedOut:
      return AttemptVerdict.Unreached;
    case FailureKind.ConnectionLost:
    case FailureKind.Truncated:
    case FailureKind.Crossed:
    case FailureKind.InvalidAnswer:
      return AttemptVerdict.Failed;
  }
}

/** Checks that a response belongs to this attempt and is complete. */
export async function checkAnswer(
  attempt: Attempt,
  answer: UpstreamAnswer,
  clock: Clock,
): Promise<AttemptResult> {
  const { server } = attempt;
  const peer = server.id;
  // A response to another request, even a refusal, says nothing about this one.
  if (answer.attempt !== undefined && answer.attempt !== attempt.id) {
    answer.cancel();
    return {
      kind: OutcomeKind.MayHaveRun,
      failure: { kind: FailureKind.Crossed, step: Step.FirstByte, peer },
    };
  }
  if (answer.isMisdirected) {
    answer.cancel();
    return {
      kind: OutcomeKind.NotRun,
      failure: { kind: FailureKind.Misdirected, step: Step.FirstByte, peer },
    };
  }
  if (answer.isNotRun) {
    void releaseAnswer(answer, clock);
    return {
      kind: OutcomeKind.NotRun,
      failure: { kind: FailureKind.Shed, step: Step.FirstByte, peer },
    };
  }
  if (answer.isUnproven && isSuccess(answer.status)) {
    return createInvalid(attempt, answer);
  }
  try {
    const body = await readAnswerBody(answer);
    // An unsigned error counts as the server's only if its body ends.
    if (answer.isUnproven && body.kind === AnswerBodyKind.Streamed) {
      return createInvalid(attempt, answer);
    }
    return { kind: OutcomeKind.Answered, accepted: { server, answer, body } };
  } catch (error) {
    answer.cancel();
    if (!(error instanceof BodyError)) throw error;
    return { kind: OutcomeKind.MayHaveRun, failure: error.failure };
  }
}

/** Cancels a response that can't be a valid one to this attempt. */
function createInvalid(
  { server }: Attempt,
  answer: UpstreamAnswer,
): AttemptResult {
  answer.cancel();
  return {
    kind: OutcomeKind.MayHaveRun,
    failure: {
      kind: FailureKind.InvalidAnswer,
      step: Step.FirstByte,
      peer: server.id,
    },
  };
}

/** Whether a retry is safe: a request that may have run must be idempotent. */
export function isRepeatable(job: Job, kind: OutcomeKind): boolean {
  if (job.signal.aborted || !job.body.isRepeatable) return false;
  switch (kind) {
    case OutcomeKind.NotRun:
      return true;
    case OutcomeKind.MayHaveRun:
    case OutcomeKind.Answered:
      return job.plan.route.idempotency === Idempotency.Idempotent;
  }
}
