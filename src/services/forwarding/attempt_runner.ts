/** Sends a request to one server and checks the response. */
import { REPLAYABLE_BODY_LIMIT_BYTES } from "../../constants.ts";
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
import { DispatchKind } from "../dispatch/mod.ts";
import type { Dispatch } from "../dispatch/mod.ts";
import type { Logger } from "../logging/mod.ts";
import { Counter } from "../metrics/mod.ts";
import { Bound, MemoryDecisionKind } from "../memory_budget/mod.ts";
import type { MemoryBudget, MemoryHold } from "../memory_budget/mod.ts";
import type { Metrics } from "../metrics/mod.ts";
import type { Overload } from "../overload/mod.ts";
import type { Selection } from "../selection/mod.ts";
import type { ServerNotices } from "../server_notices/mod.ts";
import { PermitKind } from "../warm_up/mod.ts";
import type { Permit, WarmUpLimiter } from "../warm_up/mod.ts";
import type { ResponseBody } from "./response_body.ts";
import { checkResponse } from "./response_check.ts";
import { BodyClaimKind } from "./request_body.ts";
import type { BodyClaim, RequestBody } from "./request_body.ts";
import type { Attempt, UpstreamClient, UpstreamResponse } from "./upstream.ts";

/** A request that is being forwarded. */
export interface RequestContext {
  readonly plan: RequestPlan;
  readonly exchange: CallerExchange;
  readonly body: RequestBody;
  /** Aborts when the caller disconnects or the deadline passes. */
  readonly signal: AbortSignal;
  /** Aborts with `signal`, and when this VM stops. */
  readonly waitSignal: AbortSignal;
  /** Bytes that this VM holds for the request. */
  readonly hold: MemoryHold;
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

/** A claim that succeeded. */
type ClaimedBody = Extract<BodyClaim, { kind: BodyClaimKind.Claimed }>;

/** An attempt whose server was selected and whose body was claimed. */
interface SelectedAttempt {
  readonly context: RequestContext;
  readonly server: Server;
  readonly claim: ClaimedBody;
  /** Cancels the attempt. */
  readonly signal: AbortSignal;
  /** Cancels the attempt while it was not sent. */
  readonly waitSignal: AbortSignal;
  /** Monotonic time at which its wait for the server began. */
  readonly selectedAt: number;
}

/** Dependencies of {@linkcode AttemptRunner}. */
export interface AttemptDependencies {
  readonly admission: Admission;
  readonly clock: Clock;
  readonly selection: Selection;
  readonly notices: ServerNotices;
  readonly warmUp: WarmUpLimiter;
  readonly detector: Detector;
  readonly dispatch: Dispatch;
  readonly upstream: UpstreamClient;
  readonly metrics: Metrics;
  readonly memory: MemoryBudget;
  readonly overload: Overload;
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

  /**
   * Sends a request to one server, unless another attempt sends its body;
   * `cancelled` cancels only this attempt.
   */
  async run(
    context: RequestContext,
    server: Server,
    cancelled: AbortSignal,
  ): Promise<AttemptResult> {
    const selectedAt = this.#deps.clock.now();
    const claim = context.body.claim();
    switch (claim.kind) {
      case BodyClaimKind.Unavailable:
        this.#recordFailedClaim(context, server);
        return createUnsentResult(server, FailureKind.BodyUnavailable);
      case BodyClaimKind.Claimed:
        try {
          return await this.#runInTurn({
            context,
            server,
            claim,
            signal: AbortSignal.any([context.signal, cancelled]),
            waitSignal: AbortSignal.any([context.waitSignal, cancelled]),
            selectedAt,
          });
        } finally {
          claim.release();
        }
    }
  }

  /** Sends an attempt when it is its turn at the server. */
  async #runInTurn(selected: SelectedAttempt): Promise<AttemptResult> {
    const { server, waitSignal } = selected;
    const result = await this.#deps.dispatch.runOnServer(
      server,
      waitSignal,
      () => this.#sendBounded(selected),
    );
    switch (result.kind) {
      case DispatchKind.Ran:
        return result.value;
      case DispatchKind.Cancelled:
        this.#recordEndedWait(selected);
        return createUnsentResult(server, FailureKind.Cancelled);
      case DispatchKind.QueueFull:
        return createUnsentResult(server, FailureKind.QueueFull);
    }
  }

  #recordEndedWait(selected: SelectedAttempt): void {
    const { context, server, selectedAt } = selected;
    this.#deps.logger.info("the wait for a server ended before its turn", {
      request: context.plan.attempt ?? "",
      server: server.id,
      waitedMs: Math.round(this.#deps.clock.now() - selectedAt),
    });
  }

  /** Sends an attempt unless its server has too many bytes of bodies already. */
  async #sendBounded(selected: SelectedAttempt): Promise<AttemptResult> {
    const { context, server } = selected;
    const decision = this.#deps.memory.acquire(
      { kind: Bound.Server, server: server.id },
      context.body.length ?? REPLAYABLE_BODY_LIMIT_BYTES,
    );
    switch (decision.kind) {
      case MemoryDecisionKind.Full:
        return createUnsentResult(server, FailureKind.QueueFull);
      case MemoryDecisionKind.Held:
        try {
          return await this.#sendAttempt(selected);
        } finally {
          decision.hold.release();
        }
    }
  }

  async #sendAttempt(selected: SelectedAttempt): Promise<AttemptResult> {
    const { context, server, selectedAt } = selected;
    const { selection, detector, overload, clock, metrics } = this.#deps;
    // The server or the caller's key may have changed during the wait.
    const permit = this.#acquirePermit(context, server);
    if (permit === undefined) {
      return createUnsentResult(server, FailureKind.NoServer);
    }
    this.#recordSend(context, server, clock.now() - selectedAt);
    const tracked = detector.recordStart(server);
    metrics.add(Counter.Attempts);
    const hadCapacity = selection.recordStart(server);
    const attempt = this.#createAttempt(selected, permit);
    const outcome = await this.#deps.upstream.send(attempt);
    const result = outcome.kind === OutcomeKind.Responded
      ? await checkResponse(attempt, outcome.response, clock, context.hold)
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
    if (isProcessed(result) && hadCapacity) {
      const { service, route } = context.plan;
      overload.recordProcessingTime(service, route.id, latencyMs);
    }
    if (response) this.#recordNotices(server, response);
    this.#recordReachability(server, result);
    detector.recordEnd(tracked, getVerdict(result));
    return result;
  }

  /** Records what the server's response says about the server itself. */
  #recordNotices(server: Server, response: UpstreamResponse): void {
    // Another server has the address now; the response is not about this one.
    if (response.isMisdirected) return;
    if (response.isLeaving) this.#deps.detector.recordLeaving(server);
    if (response.pauseMs === undefined) return;
    this.#deps.notices.recordPause(server, response.pauseMs);
  }

  /** Records for the warm-up whether a server may have restarted. */
  #recordReachability(server: Server, result: AttemptResult): void {
    const { warmUp } = this.#deps;
    if (isUnreached(result)) warmUp.recordUnreachable(server);
    if (isReached(result)) warmUp.recordReached(server);
  }

  /**
   * Acquires the permission to send a request to its selected server; undefined
   * if it may no longer be sent there.
   */
  #acquirePermit(context: RequestContext, server: Server): Permit | undefined {
    if (!this.#checkSend(context, server)) return undefined;
    const permit = this.#deps.warmUp.acquire(server);
    if (permit.kind !== PermitKind.Denied) return permit;
    this.#recordUnsent(context, server, "server is cold");
    return undefined;
  }

  /** Whether an attempt may still be sent once its connection is open. */
  #checkAttempt(
    context: RequestContext,
    server: Server,
    permit: Permit,
  ): boolean {
    if (!this.#checkSend(context, server)) return false;
    if (this.#deps.warmUp.checkPermit(server, permit)) return true;
    this.#recordUnsent(context, server, "server is cold");
    return false;
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
  #checkSend(context: RequestContext, server: Server): boolean {
    const { admission, selection } = this.#deps;
    const isAllowed = admission.checkPlan(context.plan) === undefined;
    if (isAllowed && selection.isUsable(server)) return true;
    const reason = isAllowed
      ? "server is leaving, paused, evacuated or removed"
      : "request is no longer allowed";
    this.#recordUnsent(context, server, reason);
    return false;
  }

  #recordUnsent(
    { plan }: RequestContext,
    server: Server,
    reason: string,
  ): void {
    const { logger, metrics } = this.#deps;
    metrics.add(Counter.LateChoices);
    logger.info("not sending the request to its selected server", {
      request: plan.attempt ?? "",
      server: server.id,
      offset: server.revision,
      reason,
    });
  }

  #recordFailedClaim({ plan }: RequestContext, server: Server): void {
    this.#deps.logger.info("another attempt sends the body; sending no more", {
      request: plan.attempt ?? "",
      server: server.id,
    });
  }

  #createAttempt(selected: SelectedAttempt, permit: Permit): Attempt {
    const { context, server, claim, signal, waitSignal } = selected;
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
      body: claim.chunks,
      remainingMs: plan.deadlineAt - this.#deps.clock.now(),
      mayReuseConnection: plan.route.idempotency === Idempotency.Idempotent,
      isAllowed: () => this.#checkAttempt(context, server, permit),
      signal,
      waitSignal,
    };
  }
}

/** Creates the result of an attempt that ended before it was sent. */
function createUnsentResult(
  server: Server,
  kind: FailureKind,
): Extract<AttemptResult, { kind: OutcomeKind.NotRun }> {
  const failure = { kind, step: Step.Queue, peer: server.id };
  return { kind: OutcomeKind.NotRun, failure };
}

const SERVER_ERROR_STATUS = 500;

/**
 * Whether an attempt got a response that is forwarded: one that a retry could
 * not improve, or after which the body can't be sent again.
 */
export function isFinal(
  context: RequestContext,
  result: AttemptResult,
): result is Extract<AttemptResult, { kind: OutcomeKind.Responded }> {
  if (result.kind !== OutcomeKind.Responded) return false;
  const { status } = result.accepted.response;
  return status < SERVER_ERROR_STATUS || !context.body.canClaim ||
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

/** Whether a server responded, if only to refuse the request. */
function isReached(result: AttemptResult): boolean {
  return result.kind === OutcomeKind.Responded ||
    result.failure.kind === FailureKind.Shed;
}

/** Whether a server refused a connection or could not be reached. */
function isUnreached(result: AttemptResult): boolean {
  if (result.kind !== OutcomeKind.NotRun) return false;
  const { kind } = result.failure;
  return kind === FailureKind.ConnectionRefused ||
    kind === FailureKind.TimedOut;
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
    case FailureKind.BodyUnavailable:
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

/** Whether a retry is safe: a request that may have run must be idempotent. */
export function isRetryable(
  context: RequestContext,
  kind: OutcomeKind,
): boolean {
  if (context.signal.aborted) return false;
  switch (kind) {
    case OutcomeKind.NotRun:
      return true;
    case OutcomeKind.MayHaveRun:
    case OutcomeKind.Responded:
      return context.plan.route.idempotency === Idempotency.Idempotent;
  }
}
