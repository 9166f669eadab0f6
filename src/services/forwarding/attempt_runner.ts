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
import type { OverloadPolicy } from "../overload/policy.ts";
import type { Selection } from "../selection/mod.ts";
import type { ServerNotices } from "../server_notices/mod.ts";
import {
  readResponseBody,
  releaseResponse,
  ResponseBodyKind,
} from "./response_body.ts";
import type { ResponseBody } from "./response_body.ts";
import type { RequestBody } from "./request_body.ts";
import { BodyError } from "./upstream.ts";
import type { Attempt, UpstreamClient, UpstreamResponse } from "./upstream.ts";

/** A request that is being forwarded. */
export interface RequestContext {
  readonly plan: RequestPlan;
  readonly exchange: CallerExchange;
  readonly body: RequestBody;
  /** Aborts when the caller disconnects or the deadline passes. */
  readonly signal: AbortSignal;
}

/** A server's response that may be forwarded to the caller. */
export interface AcceptedResponse {
  readonly server: Server;
  readonly response: UpstreamResponse;
  readonly body: ResponseBody;
}

/** Outcome of an attempt after its response was checked. */
export type AttemptResult =
  | { readonly kind: OutcomeKind.NotRun; readonly failure: Failure }
  | { readonly kind: OutcomeKind.MayHaveRun; readonly failure: Failure }
  | {
    readonly kind: OutcomeKind.Responded;
    readonly accepted: AcceptedResponse;
  };

/** Dependencies of {@linkcode AttemptRunner}. */
export interface AttemptDependencies {
  readonly admission: Admission;
  readonly clock: Clock;
  readonly selection: Selection;
  readonly notices: ServerNotices;
  readonly detector: Detector;
  readonly dispatch: Dispatch;
  readonly upstream: UpstreamClient;
  readonly metrics: Metrics;
  readonly overload: Overload;
  readonly overloadPolicy: OverloadPolicy;
  readonly logger: Logger;
  /** Prefix of attempt ids, unique to this start of the daemon. */
  readonly attemptPrefix: string;
}

/** Runs attempts and reports their outcomes to selection and detector. */
export class AttemptRunner {
  readonly #deps: AttemptDependencies;
  #attemptCount = 0;

  constructor(deps: AttemptDependencies) {
    this.#deps = deps;
  }

  /** Sends a request to one server; `signal` cancels only this attempt. */
  async run(
    context: RequestContext,
    server: Server,
    signal: AbortSignal,
  ): Promise<AttemptResult> {
    const { dispatch, selection, detector, clock, metrics } = this.#deps;
    const { overload, overloadPolicy } = this.#deps;
    const selectedAt = clock.now();
    return await dispatch.runOnServer(server.id, async () => {
      // The server or the caller's key may have changed during the wait.
      if (!this.#checkSend(context, server)) {
        const failure = {
          kind: FailureKind.NoServer,
          step: Step.Queue,
          peer: server.id,
        };
        return { kind: OutcomeKind.NotRun, failure };
      }
      this.#recordSend(context, server, clock.now() - selectedAt);
      const tracked = detector.recordStart(server);
      metrics.add(Counter.Attempts);
      const hadCapacity = selection.recordStart(server);
      const attempt = this.#createAttempt(context, server, signal);
      const outcome = await this.#deps.upstream.send(attempt);
      const result = outcome.kind === OutcomeKind.Responded
        ? await checkResponse(attempt, outcome.response, clock)
        : outcome;
      const response = outcome.kind === OutcomeKind.Responded
        ? outcome.response
        : undefined;
      const latencyMs = clock.now() - tracked.startedAt;
      selection.recordEnd(
        server,
        response && {
          latencyMs: isProcessed(result) ? latencyMs : undefined,
          load: response.load,
          isShed: response.isNotRun,
          hadCapacity,
        },
      );
      if (isProcessed(result)) {
        const { service, route } = context.plan;
        overloadPolicy
          .recordProcessed({ service, route: route.id, latencyMs });
        if (hadCapacity) {
          overload.recordProcessingTime(service, route.id, latencyMs);
        }
      }
      if (response) this.#recordNotices(server, response);
      detector.recordEnd(tracked, getVerdict(result));
      return result;
    });
  }

  /** Records what the server's response says about the server itself. */
  #recordNotices(server: Server, response: UpstreamResponse): void {
    // Another server has the address now; the response is not about this one.
    if (response.isMisdirected) return;
    if (response.isLeaving) this.#deps.detector.recordLeaving(server);
    if (response.pauseMs === undefined) return;
    this.#deps.notices.recordPause(server, response.pauseMs);
  }

  #recordSend(context: RequestContext, server: Server, waitedMs: number): void {
    this.#deps.logger.info("sending the request to a server", {
      request: context.plan.attempt ?? "",
      server: server.id,
      offset: server.revision,
      waitedMs: Math.round(waitedMs),
    });
  }

  /** Whether the request may still be sent to its selected server. */
  #checkSend({ plan }: RequestContext, server: Server): boolean {
    const { admission, logger, metrics, selection } = this.#deps;
    const isAllowed = admission.checkPlan(plan) === undefined;
    if (isAllowed && selection.isUsable(server)) return true;
    metrics.add(Counter.LateChoices);
    logger.info("not sending the request to its selected server", {
      request: plan.attempt ?? "",
      server: server.id,
      offset: server.revision,
      reason: isAllowed
        ? "server is leaving, paused or removed"
        : "request is no longer allowed",
    });
    return false;
  }

  #createAttempt(
    context: RequestContext,
    server: Server,
    signal: AbortSignal,
  ): Attempt {
    const { plan, body } = context;
    this.#attemptCount += 1;
    return {
      id: plan.attempt ??
        `${this.#deps.attemptPrefix}-${this.#attemptCount}`,
      server,
      team: plan.team?.id,
      method: plan.method,
      target: plan.target,
      headers: plan.headers,
      bodyLength: body.length,
      body: body.read(),
      remainingMs: plan.deadlineAt - this.#deps.clock.now(),
      mayReuseConnection: plan.route.idempotency === Idempotency.Idempotent,
      isAllowed: () => this.#checkSend(context, server),
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
  context: RequestContext,
  result: AttemptResult,
): result is Extract<AttemptResult, { kind: OutcomeKind.Responded }> {
  if (result.kind !== OutcomeKind.Responded) return false;
  const { status } = result.accepted.response;
  return status < SERVER_ERROR_STATUS ||
    !isRetryable(context, OutcomeKind.MayHaveRun);
}

/**
 * Whether the server processed the request without an error of its own. Only
 * then is the latency representative, since errors return sooner.
 */
function isProcessed(result: AttemptResult): boolean {
  return result.kind === OutcomeKind.Responded &&
    result.accepted.response.status < SERVER_ERROR_STATUS;
}

/** Returns the verdict on the server for the result of an attempt. */
function getVerdict(result: AttemptResult): AttemptVerdict {
  switch (result.kind) {
    case OutcomeKind.Responded:
      return result.accepted.response.status >= SERVER_ERROR_STATUS
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
      return AttemptVerdict.Unreachable;
    case FailureKind.ConnectionLost:
    case FailureKind.Truncated:
    case FailureKind.ResponseMismatch:
    case FailureKind.InvalidResponse:
      return AttemptVerdict.Failed;
  }
}

/** Checks that a response belongs to this attempt and is complete. */
export async function checkResponse(
  attempt: Attempt,
  response: UpstreamResponse,
  clock: Clock,
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
    const body = await readResponseBody(response);
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

/** Whether a retry is safe: a request that may have run must be idempotent. */
export function isRetryable(
  context: RequestContext,
  kind: OutcomeKind,
): boolean {
  if (context.signal.aborted || !context.body.isReplayable) return false;
  switch (kind) {
    case OutcomeKind.NotRun:
      return true;
    case OutcomeKind.MayHaveRun:
    case OutcomeKind.Responded:
      return context.plan.route.idempotency === Idempotency.Idempotent;
  }
}
