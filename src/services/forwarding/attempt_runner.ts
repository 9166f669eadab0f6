/** Sends a request to one server and judges what came back. */
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

/** A request on its way. */
export interface Job {
  readonly plan: RequestPlan;
  readonly exchange: CallerExchange;
  readonly body: RequestBody;
  /** Aborts when the caller is gone or the deadline has passed. */
  readonly signal: AbortSignal;
}

/** A server's answer that may be passed on. */
export interface Accepted {
  readonly server: Server;
  readonly answer: UpstreamAnswer;
  readonly body: AnswerBody;
}

/** How an attempt ended, its answer checked. */
export type AttemptResult =
  | { readonly kind: OutcomeKind.NotRun; readonly failure: Failure }
  | { readonly kind: OutcomeKind.MayHaveRun; readonly failure: Failure }
  | { readonly kind: OutcomeKind.Answered; readonly accepted: Accepted };

/** What attempts are made with. */
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

/** Makes attempts, and tells selection and detector what they showed. */
export class AttemptRunner {
  readonly #parts: AttemptParts;
  #attemptCount = 0;

  /** Creates a runner. */
  constructor(parts: AttemptParts) {
    this.#parts = parts;
  }

  /** Sends a request to one server; `signal` cancels this attempt alone. */
  async run(
    job: Job,
    server: Server,
    signal: AbortSignal,
  ): Promise<AttemptResult> {
    const { dispatch, selection, detector, overload, clock, metrics } =
      this.#parts;
    const chosenAt = clock.now();
    return await dispatch.runOnServer(server.id, async () => {
      // Much may have changed while the request waited for room at the server.
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
    this.#parts.logger.info("sends a request to a server", {
      request: job.plan.attempt ?? "",
      server: server.id,
      offset: server.revision,
      waitedMs: Math.round(waitedMs),
    });
  }

  /** Whether a request may be sent to the server that was selected for it. */
  #checkSend({ plan }: Job, server: Server): boolean {
    const { admission, logger, metrics, selection } = this.#parts;
    const isAllowed = admission.checkPlan(plan) === undefined;
    if (isAllowed && selection.isInUse(server)) return true;
    metrics.add(Counter.LateChoices);
    logger.info("sends no request after a wait for its server", {
      request: plan.attempt ?? "",
      server: server.id,
      offset: server.revision,
      reason: isAllowed ? "the server leaves" : "no longer allowed",
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

/** Whether an attempt brought an answer that no retry could better. */
export function isFinal(
  job: Job,
  result: AttemptResult,
): result is Extract<AttemptResult, { kind: OutcomeKind.Answered }> {
  if (result.kind !== OutcomeKind.Answered) return false;
  const { status } = result.accepted.answer;
  return status < SERVER_ERROR_STATUS ||
    !isRepeatable(job, OutcomeKind.MayHaveRun);
}

/** Whether an attempt took as long as work takes; errors come sooner. */
function isGood(result: AttemptResult): boolean {
  return result.kind === OutcomeKind.Answered &&
    result.accepted.answer.status < SERVER_ERROR_STATUS;
}

/** What the result of an attempt says of its server. */
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

/** What a failure says of the server at which it arose. */
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

/** Decides whether a server's answer is one to this attempt, and whole. */
export async function checkAnswer(
  attempt: Attempt,
  answer: UpstreamAnswer,
  clock: Clock,
): Promise<AttemptResult> {
  const { server } = attempt;
  const peer = server.id;
  // An answer to another request says nothing of this one, not even a refusal.
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
    // Bytes without proof are a server's error only if they come to an end.
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

/** Gives up bytes that are no answer to this attempt. */
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

/** A request that may have run is sent again only if that does no harm. */
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
