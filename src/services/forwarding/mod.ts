/** Forwarding service: sends admitted requests to servers until one responds. */
import { DEFAULT_MAX_ATTEMPTS } from "../../constants.ts";
import { OutcomeKind, RefusalKind, RunState, Step } from "../../model/mod.ts";
import type { Refusal, Server } from "../../model/mod.ts";
import { createRefusal } from "../admission/mod.ts";
import type { RequestPlan } from "../admission/mod.ts";
import type { CallerExchange } from "../caller_front/exchange.ts";
import { runWithTimeout, TIMED_OUT } from "../clock/mod.ts";
import { DispatchKind } from "../dispatch/mod.ts";
import { Counter } from "../metrics/mod.ts";
import type { Shutdown } from "../planned_stop/shutdown.ts";
import type { Random } from "../random/mod.ts";
import { VerdictKind } from "../overload/policy.ts";
import type { PolicyRequest } from "../overload/policy.ts";
import { computeRetryAfterMs } from "../overload/retry_delay.ts";
import { FailureImpact } from "../selection/mod.ts";
import { computeHedgeDelayMs } from "./hedge_delay.ts";
import { ResponseBodyKind } from "./response_body.ts";
import { AttemptRunner, isFinal, isRetryable } from "./attempt_runner.ts";
import type {
  AcceptedResponse,
  AttemptDependencies,
  AttemptResult,
  RequestContext,
} from "./attempt_runner.ts";
import {
  createFailureRefusal,
  createWaitingRefusal,
  createWithdrawnRefusal,
  isUnsent,
} from "./refusals.ts";
import { readRequestBody } from "./request_body.ts";
import type { RetryBudget, RetryScope } from "./retry_budget.ts";

/** Maximum number of unreachable servers before a request is abandoned. */
const UNREACHABLE_SERVERS_LIMIT = 3;
/**
 * Range of the random extra delay after a pause of all servers, relative to the
 * pause: the longer it is, the more callers have been told to return.
 */
const PAUSE_SPREAD_RATIO = 0.5;

/** Dependencies of {@linkcode Forwarding}. */
export interface ForwardingDependencies extends AttemptDependencies {
  readonly random: Random;
  readonly shutdown: Shutdown;
  readonly retryBudget: RetryBudget;
}

/** An attempt in progress. */
interface RunningAttempt {
  readonly result: Promise<AttemptResult>;
  readonly cancel: () => void;
}

/** A request that is refused. */
type RefusedContext = Pick<RequestContext, "exchange" | "plan">;

/** Progress of the attempts of one request. */
interface Progress {
  /** Number of servers that the request was sent to. */
  sent: number;
  /** Number of servers that were unreachable or are no longer available. */
  unreachable: number;
  /** Refusal that the caller gets if no server responds. */
  refusal: Refusal;
  /** Error response of a server; forwarded if no other server responds. */
  failedResponse: AcceptedResponse | undefined;
}

/** Forwards requests to backend servers. */
export class Forwarding {
  readonly #deps: ForwardingDependencies;
  readonly #runner: AttemptRunner;

  constructor(deps: ForwardingDependencies) {
    this.#deps = deps;
    this.#runner = new AttemptRunner(deps);
  }

  /**
   * Serves one admitted request; responds to the caller exactly once.
   *
   * Returns the refusal that the caller got, or undefined if a server's
   * response was forwarded.
   */
  async serve(
    plan: RequestPlan,
    exchange: CallerExchange,
  ): Promise<Refusal | undefined> {
    const controller = new AbortController();
    const waiting = new AbortController();
    const stopWaiting = (): void => waiting.abort();
    const removeListener = this.#deps.shutdown.addEndListener(stopWaiting);
    controller.signal.addEventListener("abort", stopWaiting, { once: true });
    const abortRequest = (): void => controller.abort();
    const remainingMs = plan.deadlineAt - this.#deps.clock.now();
    const cancelTimer = this.#deps.clock.startTimer(remainingMs, abortRequest);
    exchange.signal.addEventListener("abort", abortRequest, { once: true });
    try {
      const { signal } = controller;
      const body = await readRequestBody(exchange.body, waiting.signal);
      if (body === undefined) {
        const refusal = createWaitingRefusal(signal, Step.Body);
        return await this.#refuse({ plan, exchange }, refusal);
      }
      return await this.#dispatchRequest(
        { plan, exchange, body, signal },
        waiting.signal,
      );
    } finally {
      removeListener();
      cancelTimer();
    }
  }

  /** Runs a request when its turn comes, unless `waitSignal` aborts before. */
  async #dispatchRequest(
    context: RequestContext,
    waitSignal: AbortSignal,
  ): Promise<Refusal | undefined> {
    const { plan } = context;
    const paused = this.#checkPaused(plan);
    if (paused !== undefined) return await this.#refuse(context, paused);
    const verdict = await this.#deps.overloadPolicy.admit(
      createPolicyRequest(plan),
      waitSignal,
    );
    switch (verdict.kind) {
      case VerdictKind.Start:
        try {
          return await this.#runInTurn(context, waitSignal, verdict.work);
        } finally {
          verdict.complete();
        }
      case VerdictKind.Refuse:
        return await this.#refuse(
          context,
          createRefusal(
            RefusalKind.Overloaded,
            Step.Queue,
            verdict.retryAfterMs,
          ),
        );
      case VerdictKind.Cancelled:
        return await this.#refuse(
          context,
          createWaitingRefusal(context.signal, Step.Queue),
        );
    }
  }

  /** Runs a request's attempts when it is its team's turn at the service. */
  async #runInTurn(
    context: RequestContext,
    waitSignal: AbortSignal,
    work: number,
  ): Promise<Refusal | undefined> {
    const { plan } = context;
    const { dispatch, selection } = this.#deps;
    const { service } = plan;
    dispatch.setServiceConcurrency(service, selection.countSlots(service));
    const result = await dispatch.run(
      {
        service,
        team: plan.team?.id ?? "",
        work,
        signal: waitSignal,
      },
      () => this.#runAttempts(context),
    );
    switch (result.kind) {
      case DispatchKind.Ran:
        return result.value;
      case DispatchKind.QueueFull:
        return await this.#refuse(
          context,
          createRefusal(
            RefusalKind.QueueFull,
            Step.Queue,
            this.#getRetryAfterMs(plan),
          ),
        );
      case DispatchKind.Cancelled:
        return await this.#refuse(
          context,
          createWaitingRefusal(context.signal, Step.Queue),
        );
    }
  }

  /** Returns a refusal if all servers of the service want no requests now. */
  #checkPaused(plan: RequestPlan): Refusal | undefined {
    const pauseMs = this.#deps.selection.getPauseMs(plan.service);
    if (pauseMs === 0) return undefined;
    return createRefusal(
      RefusalKind.Overloaded,
      Step.Queue,
      this.#getRetryAfterMs(plan),
    );
  }

  /** Tries servers in turn until one responds or no more may be tried. */
  async #runAttempts(context: RequestContext): Promise<Refusal | undefined> {
    const { plan } = context;
    const progress: Progress = {
      sent: 0,
      unreachable: 0,
      refusal: this.#createUnavailableRefusal(plan),
      failedResponse: undefined,
    };
    this.#deps.retryBudget.recordRequest(getScope(plan));
    const candidates = this.#deps.selection
      .selectServers(plan.service, this.#getFailureImpact(context));
    for (const server of candidates) {
      if (!this.#admitAttempt(context, progress)) break;
      const result = await this.#runHedged(
        context,
        progress,
        server,
        candidates,
      );
      if (isFinal(context, result)) {
        this.#deps.retryBudget.recordResponse(getScope(plan));
        await this.#sendResponse(context, result.accepted);
        return undefined;
      }
      this.#recordFailure(context, progress, result);
      if (!isRetryable(context, result.kind)) break;
    }
    if (
      progress.failedResponse !== undefined &&
      !context.exchange.isResponseStarted
    ) {
      await this.#sendResponse(context, progress.failedResponse);
      return undefined;
    }
    return await this.#refuse(context, progress.refusal);
  }

  /**
   * Runs an attempt, and a hedge to a second server if the first takes long.
   *
   * Returns the first final response, or a failure once both have failed.
   */
  async #runHedged(
    context: RequestContext,
    progress: Progress,
    server: Server,
    candidates: Generator<Server, void, undefined>,
  ): Promise<AttemptResult> {
    const { clock, logger, metrics } = this.#deps;
    const first = this.#startAttempt(context, progress, server);
    const delayMs = this.#getHedgeDelayMs(context);
    if (delayMs === undefined) return await first.result;
    const earlyResult = await runWithTimeout(
      clock,
      delayMs,
      () => first.result,
    );
    if (earlyResult !== TIMED_OUT) return earlyResult;
    if (!this.#admitAttempt(context, progress)) return await first.result;
    const next = candidates.next();
    if (next.done) return await first.result;
    const second = this.#startAttempt(context, progress, next.value);
    metrics.add(Counter.Hedges);
    logger.info("no response yet; sending a hedge to a second server", {
      request: context.plan.attempt ?? "",
      first: server.id,
      second: next.value.id,
      afterMs: Math.round(delayMs),
    });
    const attempts = [first, second];
    const { attempt, result } = await Promise.race(
      attempts.map(async (running) => ({
        attempt: running,
        result: await running.result,
      })),
    );
    const other = attempt === first ? second : first;
    if (isFinal(context, result)) {
      other.cancel();
      return result;
    }
    this.#recordFailure(context, progress, result);
    return await other.result;
  }

  #startAttempt(
    context: RequestContext,
    progress: Progress,
    server: Server,
  ): RunningAttempt {
    const cancelled = new AbortController();
    progress.sent += 1;
    return {
      result: this.#runner.run(
        context,
        server,
        AbortSignal.any([context.signal, cancelled.signal]),
      ),
      cancel: () => cancelled.abort(),
    };
  }

  /** Returns what is lost if the first attempt fails. */
  #getFailureImpact(context: RequestContext): FailureImpact {
    const { plan } = context;
    const attempts = plan.route.attempts ?? DEFAULT_MAX_ATTEMPTS;
    if (attempts < 2 || !isRetryable(context, OutcomeKind.MayHaveRun)) {
      return FailureImpact.Request;
    }
    return this.#deps.retryBudget.isAmple(getScope(plan))
      ? FailureImpact.Attempt
      : FailureImpact.ScarceAttempt;
  }

  /** Returns the delay before a hedge; undefined if none may be sent. */
  #getHedgeDelayMs(context: RequestContext): number | undefined {
    const { plan } = context;
    if (!isRetryable(context, OutcomeKind.MayHaveRun) || !plan.preset.retries) {
      return undefined;
    }
    const { clock, overload } = this.#deps;
    const { service, route, deadlineAt } = plan;
    return computeHedgeDelayMs({
      ...overload.getProcessingTime(service, route.id),
      targetMs: route.targetMs,
      remainingMs: deadlineAt - clock.now(),
    });
  }

  /** Whether one more server may be tried; a retry is charged to the budget. */
  #admitAttempt(context: RequestContext, progress: Progress): boolean {
    const { plan } = context;
    const withdrawn = this.#deps.admission.checkPlan(plan);
    if (withdrawn !== undefined) {
      progress.refusal = createWithdrawnRefusal(withdrawn, progress.refusal);
      return false;
    }
    if (progress.unreachable > UNREACHABLE_SERVERS_LIMIT) return false;
    if (progress.sent === 0) return true;
    if (progress.sent >= (plan.route.attempts ?? DEFAULT_MAX_ATTEMPTS)) {
      return false;
    }
    return this.#acquireRetry(plan);
  }

  #recordFailure(
    context: RequestContext,
    progress: Progress,
    result: AttemptResult,
  ): void {
    const { plan, signal } = context;
    if (result.kind === OutcomeKind.Responded) {
      this.#recordFailedResponse(progress, result.accepted);
      return;
    }
    if (isUnsent(result.failure.step)) {
      progress.sent -= 1;
      progress.unreachable += 1;
    }
    const failed = createFailureRefusal(
      result,
      progress.refusal.run,
      signal.aborted,
      this.#getRetryAfterMs(plan),
    );
    const withdrawn = this.#deps.admission.checkPlan(plan);
    progress.refusal = withdrawn === undefined || signal.aborted
      ? failed
      : createWithdrawnRefusal(withdrawn, failed);
    this.#deps.logger.info("an attempt failed", {
      request: plan.attempt ?? "",
      server: result.failure.peer,
      failure: result.failure.kind,
      step: result.failure.step,
      run: progress.refusal.run,
      sent: progress.sent,
      leftMs: Math.round(plan.deadlineAt - this.#deps.clock.now()),
    });
  }

  /** Stores a server's error response unless it is too long to be buffered. */
  #recordFailedResponse(progress: Progress, accepted: AcceptedResponse): void {
    const { response, body, server } = accepted;
    if (body.kind !== ResponseBodyKind.Streamed) {
      progress.failedResponse = accepted;
      return;
    }
    response.cancel();
    progress.refusal = {
      kind: RefusalKind.ResponseLost,
      step: Step.Body,
      peer: server.id,
      run: RunState.Unknown,
      retryAfterMs: 0,
    };
  }

  #createUnavailableRefusal(plan: RequestPlan): Refusal {
    return createRefusal(
      RefusalKind.ServerUnavailable,
      Step.Queue,
      this.#getRetryAfterMs(plan),
    );
  }

  /** Returns the expected time until a server takes requests, plus jitter. */
  #getRetryAfterMs(plan: RequestPlan): number {
    const { selection } = this.#deps;
    const queueMs = selection.getQueueMs(plan.service);
    const pauseMs = selection.getPauseMs(plan.service) *
      (1 + this.#deps.random() * PAUSE_SPREAD_RATIO);
    return computeRetryAfterMs(
      Math.max(queueMs, pauseMs),
      this.#deps.random,
    );
  }

  #acquireRetry(plan: RequestPlan): boolean {
    if (!plan.preset.retries) return false;
    const { overloadPolicy, retryBudget } = this.#deps;
    const isOffered = retryBudget.isAmple(getScope(plan)) ||
      overloadPolicy.checkSecondOffer(createPolicyRequest(plan));
    if (!isOffered) return false;
    if (!retryBudget.acquire(getScope(plan))) {
      this.#deps.logger.info("retry budget exhausted; no further attempt", {
        request: plan.attempt ?? "",
        service: plan.service,
      });
      return false;
    }
    this.#deps.metrics.add(Counter.Retries);
    return true;
  }

  async #sendResponse(
    context: RequestContext,
    accepted: AcceptedResponse,
  ): Promise<void> {
    const { exchange, plan } = context;
    const { response, body } = accepted;
    this.#deps.metrics.add(Counter.Responses);
    this.#deps.logger.info("forwarding a server's response to the caller", {
      request: plan.attempt ?? "",
      route: plan.route.id,
      version: plan.version,
      team: plan.team?.id ?? "",
      server: accepted.server.id,
      status: response.status,
      tookMs: Math.round(this.#deps.clock.now() - plan.arrivedAt),
    });
    switch (body.kind) {
      case ResponseBodyKind.None:
        return await exchange.sendBuffered({ ...response, body: undefined });
      case ResponseBodyKind.Buffered:
        return await exchange.sendBuffered({ ...response, body: body.bytes });
      case ResponseBodyKind.Streamed:
        return await exchange.sendStreamed({ ...response, body: body.chunks });
    }
  }

  async #refuse(
    { exchange, plan }: RefusedContext,
    refusal: Refusal,
  ): Promise<Refusal> {
    const { admission, clock, logger, metrics, selection } = this.#deps;
    metrics.add(Counter.Refusals, refusal.kind);
    const { kind, ageMs } = admission.getFreshness();
    logger.info("refused a request", {
      request: plan.attempt ?? "",
      refusal: refusal.kind,
      step: refusal.step,
      run: refusal.run,
      peer: refusal.peer,
      retryAfterMs: Math.round(refusal.retryAfterMs),
      team: plan.team?.id ?? "",
      route: plan.route.id,
      service: plan.service,
      version: plan.version,
      freshness: kind,
      confirmedAgoMs: Math.round(ageMs),
      pausedMs: Math.round(selection.getPauseMs(plan.service)),
      leftMs: Math.round(plan.deadlineAt - clock.now()),
    });
    await exchange.sendRefusal(refusal);
    return refusal;
  }
}

function createPolicyRequest(plan: RequestPlan): PolicyRequest {
  const { route, service, priority, arrivedAt, deadlineAt } = plan;
  return {
    id: plan.attempt ?? "",
    service,
    route: route.id,
    team: plan.team?.id ?? "",
    priority,
    targetMs: route.targetMs,
    arrivedAt,
    deadlineAt,
  };
}

function getScope(plan: RequestPlan): RetryScope {
  return {
    service: plan.service,
    team: plan.team?.id ?? "",
    priority: plan.priority,
  };
}
