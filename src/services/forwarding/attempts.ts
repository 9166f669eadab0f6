/** Tries servers in turn, with a hedge, until one responds. */
import { DEFAULT_MAX_ATTEMPTS } from "../../constants.ts";
import { OutcomeKind, RefusalKind, RunState, Step } from "../../model/mod.ts";
import type { Refusal, Server } from "../../model/mod.ts";
import { createRefusal } from "../admission/mod.ts";
import type { RequestPlan } from "../admission/mod.ts";
import { runWithTimeout, TIMED_OUT } from "../clock/mod.ts";
import { Counter } from "../metrics/mod.ts";
import { FailureImpact } from "../selection/mod.ts";
import { AttemptRunner, isFinal, isRetryable } from "./attempt_runner.ts";
import type {
  AcceptedResponse,
  AttemptDependencies,
  AttemptResult,
  RequestContext,
} from "./attempt_runner.ts";
import { computeHedgeDelayMs } from "./hedge_delay.ts";
import {
  createFailureRefusal,
  createWithdrawnRefusal,
  isUnsent,
} from "./refusals.ts";
import { ResponseBodyKind } from "./response_body.ts";
import type { RetryBudget, RetryScope } from "./retry_budget.ts";
import type { RetryDelay } from "./retry_delay.ts";

/** Maximum number of unreachable servers before a request is abandoned. */
const UNREACHABLE_SERVERS_LIMIT = 3;
/** An attempt in progress. */
interface RunningAttempt {
  readonly result: Promise<AttemptResult>;
  readonly cancel: () => void;
}

/** Servers in the order in which they are tried. */
type Candidates = Generator<Server, void, undefined>;

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

/** Kinds of {@linkcode AttemptsResult}. */
export enum AttemptsKind {
  Responded = "responded",
  Refused = "refused",
}

/** Result of all attempts of one request. */
export type AttemptsResult =
  | {
    readonly kind: AttemptsKind.Responded;
    readonly accepted: AcceptedResponse;
  }
  | { readonly kind: AttemptsKind.Refused; readonly refusal: Refusal };

/** Dependencies of {@linkcode Attempts}. */
export interface AttemptsDependencies extends AttemptDependencies {
  readonly retryBudget: RetryBudget;
}

/** Runs the attempts of requests and decides on hedges and retries. */
export class Attempts {
  readonly #deps: AttemptsDependencies;
  readonly #runner: AttemptRunner;
  readonly #retryDelay: RetryDelay;

  constructor(deps: AttemptsDependencies, retryDelay: RetryDelay) {
    this.#deps = deps;
    this.#runner = new AttemptRunner(deps);
    this.#retryDelay = retryDelay;
  }

  /** Tries servers in turn until one responds or no more may be tried. */
  async run(context: RequestContext): Promise<AttemptsResult> {
    const { plan } = context;
    const progress: Progress = {
      sent: 0,
      unreachable: 0,
      refusal: createRefusal(
        RefusalKind.ServerUnavailable,
        Step.Queue,
        this.#retryDelay.getMs(plan.service),
      ),
      failedResponse: undefined,
    };
    this.#deps.retryBudget.recordRequest(getScope(plan));
    const candidates = this.#deps.selection
      .selectServers(plan.service, this.#getFailureImpact(context));
    while (true) {
      const server = this.#selectNext(context, progress, candidates);
      if (server === undefined) break;
      const result = await this.#runHedged(
        context,
        progress,
        server,
        candidates,
      );
      if (isFinal(context, result)) {
        this.#deps.retryBudget.recordResponse(getScope(plan));
        return { kind: AttemptsKind.Responded, accepted: result.accepted };
      }
      this.#recordFailure(context, progress, result);
      if (!isRetryable(context, result.kind)) break;
    }
    if (
      progress.failedResponse !== undefined &&
      !context.exchange.isResponseStarted
    ) {
      const { failedResponse } = progress;
      return { kind: AttemptsKind.Responded, accepted: failedResponse };
    }
    const { refusal } = progress;
    return { kind: AttemptsKind.Refused, refusal };
  }

  /**
   * Runs an attempt, and a hedge to a second server if the first takes long.
   *
   * Returns the first final response, or a failure once both have failed.
   */
  async #runHedged(
    context: RequestContext,
    progress: Progress,
    firstServer: Server,
    candidates: Candidates,
  ): Promise<AttemptResult> {
    const { clock, logger, metrics } = this.#deps;
    const first = this.#startAttempt(context, progress, firstServer);
    const delayMs = this.#getHedgeDelayMs(context);
    if (delayMs === undefined) return await first.result;
    const earlyResult = await runWithTimeout(
      clock,
      delayMs,
      () => first.result,
    );
    if (earlyResult !== TIMED_OUT) return earlyResult;
    const server = this.#selectNext(context, progress, candidates);
    if (server === undefined) return await first.result;
    const second = this.#startAttempt(context, progress, server);
    metrics.add(Counter.Hedges);
    logger.info("no response yet; sending a hedge to a second server", {
      request: context.plan.attempt ?? "",
      first: firstServer.id,
      second: server.id,
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
        cancelled.signal,
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

  /**
   * Selects the server of the next attempt and charges a retry to the budget;
   * undefined if no further attempt may be made.
   */
  #selectNext(
    context: RequestContext,
    progress: Progress,
    candidates: Candidates,
  ): Server | undefined {
    if (!this.#checkNext(context, progress)) return undefined;
    const next = candidates.next();
    if (next.done) return undefined;
    if (progress.sent > 0 && !this.#acquireRetry(context.plan)) {
      return undefined;
    }
    return next.value;
  }

  /** Whether one more attempt may be made if there is a server for it. */
  #checkNext(context: RequestContext, progress: Progress): boolean {
    const { plan, body } = context;
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
    if (body.canClaim) return true;
    this.#deps.logger.info("the body can't be sent again; no further attempt", {
      request: plan.attempt ?? "",
      sent: progress.sent,
    });
    return false;
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
      this.#retryDelay.getMs(plan.service),
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

  #acquireRetry(plan: RequestPlan): boolean {
    if (!plan.preset.retries) return false;
    if (!this.#deps.retryBudget.acquire(getScope(plan))) {
      this.#deps.logger.info("retry budget exhausted; no further attempt", {
        request: plan.attempt ?? "",
        service: plan.service,
      });
      return false;
    }
    this.#deps.metrics.add(Counter.Retries);
    return true;
  }
}

function getScope(plan: RequestPlan): RetryScope {
  return {
    service: plan.service,
    team: plan.team?.id ?? "",
    priority: plan.priority,
  };
}
