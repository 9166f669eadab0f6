/** Forwarding service: sends admitted requests to servers until one responds. */
import { ATTEMPTS_PER_REQUEST } from "../../constants.ts";
import { OutcomeKind, RefusalKind, RunState, Step } from "../../model/mod.ts";
import type { Refusal, Server } from "../../model/mod.ts";
import { createRefusal } from "../admission/mod.ts";
import type { RequestPlan } from "../admission/mod.ts";
import type { CallerExchange } from "../caller_front/exchange.ts";
import { EXPIRED, runWithin } from "../clock/mod.ts";
import { DispatchKind } from "../dispatch/mod.ts";
import { Counter } from "../metrics/mod.ts";
import type { Random } from "../random/mod.ts";
import { OverloadKind } from "../overload/mod.ts";
import { FailureStake } from "../selection/mod.ts";
import { AnswerBodyKind } from "./answer_body.ts";
import { AttemptRunner, isFinal, isRepeatable } from "./attempt_runner.ts";
import type {
  Accepted,
  AttemptParts,
  AttemptResult,
  Job,
} from "./attempt_runner.ts";
import { readRequestBody } from "./request_body.ts";
import type { RetryBudget, RetryScope } from "./retry_budget.ts";

/**
 * Delay before a hedge to a second server, in multiples of the typical latency
 * of the service; few responses of healthy servers take longer.
 */
const HEDGE_RATIO = 2.5;
/** Minimum delay before a hedge in ms; a shorter one saves nothing. */
const HEDGE_MIN_MS = 100;
/** Maximum number of unreachable servers before a request is abandoned. */
const UNREACHED_SERVERS_LIMIT = 3;
/** Minimum retry delay that a refused caller is given, in milliseconds. */
const RETRY_AFTER_MIN_MS = 100;
/**
 * Range of the random extra retry delay in milliseconds, so that callers that
 * were refused together don't all return at once.
 */
const RETRY_AFTER_SPREAD_MS = 300;

/** Services and data that {@linkcode Forwarding} depends on. */
export interface ForwardingParts extends AttemptParts {
  readonly random: Random;
  readonly retryBudget: RetryBudget;
}

/** An attempt in progress. */
interface RunningAttempt {
  readonly result: Promise<AttemptResult>;
  readonly cancel: () => void;
}

/** Progress of the attempts of one request. */
interface Progress {
  /** Number of servers that the request was sent to. */
  sent: number;
  /** Number of servers that were unreachable or are no longer available. */
  unreached: number;
  /** Refusal that the caller gets if no server responds. */
  refusal: Refusal;
  /** Error response of a server; forwarded if no other server responds. */
  failedAnswer: Accepted | undefined;
}

/** Forwards requests to backend servers. */
export class Forwarding {
  readonly #parts: ForwardingParts;
  readonly #runner: AttemptRunner;

  constructor(parts: ForwardingParts) {
    this.#parts = parts;
    this.#runner = new AttemptRunner(parts);
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
    const ended = new AbortController();
    const cancelJob = (): void => ended.abort();
    const remainingMs = plan.deadlineAt - this.#parts.clock.now();
    const cancelTimer = this.#parts.clock.startTimer(remainingMs, cancelJob);
    exchange.signal.addEventListener("abort", cancelJob, { once: true });
    try {
      const { signal } = ended;
      const body = await readRequestBody(exchange.body, signal);
      if (body === undefined) {
        return await this.#refuseExpired(exchange, Step.Body);
      }
      return await this.#serveJob({ plan, exchange, body, signal });
    } finally {
      cancelTimer();
    }
  }

  async #serveJob(job: Job): Promise<Refusal | undefined> {
    const { plan, signal } = job;
    const { dispatch, selection } = this.#parts;
    const { service } = plan;
    const overloaded = this.#checkOverload(plan);
    if (overloaded !== undefined) return await this.#refuse(job, overloaded);
    dispatch.setServiceConcurrency(service, selection.countSlots(service));
    const result = await dispatch.run(
      {
        service,
        team: plan.team?.id ?? "",
        signal,
      },
      () => this.#runAttempts(job),
    );
    switch (result.kind) {
      case DispatchKind.Ran:
        return result.value;
      case DispatchKind.QueueFull:
        return await this.#refuse(
          job,
          createRefusal(
            RefusalKind.QueueFull,
            Step.Queue,
            this.#getRetryAfterMs(plan),
          ),
        );
      case DispatchKind.Cancelled:
        return await this.#refuseExpired(job.exchange, Step.Queue);
    }
  }

  /** Returns a refusal if the service is too overloaded for the request. */
  #checkOverload(plan: RequestPlan): Refusal | undefined {
    const { clock, overload, selection, logger } = this.#parts;
    const { route, service, priority } = plan;
    const now = clock.now();
    const queueMs = selection.getQueueMs(service);
    const leftMs = plan.deadlineAt - now;
    const decision = overload.judge({
      service,
      route: route.id,
      priority,
      queueMs,
      targetMs: route.targetMs,
      leftMs,
    }, now);
    switch (decision.kind) {
      case OverloadKind.Accepted:
        return undefined;
      case OverloadKind.Refused: {
        logger.info("service is overloaded; refusing the request", {
          request: plan.attempt ?? "",
          service,
          route: route.id,
          priority,
          reason: decision.reason,
          queueMs: Math.round(queueMs),
          leftMs: Math.round(leftMs),
          excessMs: Math.round(decision.excessMs),
        });
        const retryAfterMs = this.#computeRetryAfterMs(decision.excessMs);
        return createRefusal(
          RefusalKind.Overloaded,
          Step.Queue,
          retryAfterMs,
        );
      }
    }
  }

  /** Tries servers in turn until one responds or no more may be tried. */
  async #runAttempts(job: Job): Promise<Refusal | undefined> {
    const { plan } = job;
    const progress: Progress = {
      sent: 0,
      unreached: 0,
      refusal: this.#refuseUnavailable(plan),
      failedAnswer: undefined,
    };
    this.#parts.retryBudget.recordRequest(getScope(plan));
    const candidates = this.#parts.selection
      .selectServers(plan.service, this.#getStake(job));
    for (const server of candidates) {
      if (!this.#admitAttempt(job, progress)) break;
      const result = await this.#runHedged(job, progress, server, candidates);
      if (isFinal(job, result)) {
        this.#parts.retryBudget.recordAnswer(getScope(plan));
        await this.#sendAnswer(job, result.accepted);
        return undefined;
      }
      this.#recordFailure(job, progress, result);
      if (!isRepeatable(job, result.kind)) break;
    }
    if (progress.failedAnswer !== undefined && !job.exchange.isAnswered) {
      await this.#sendAnswer(job, progress.failedAnswer);
      return undefined;
    }
    return await this.#refuse(job, progress.refusal);
  }

  /**
   * Runs an attempt, and a hedge to a second server if the first takes long.
   *
   * Returns the first final response, or a failure once both have failed.
   */
  async #runHedged(
    job: Job,
    progress: Progress,
    server: Server,
    candidates: Generator<Server, void, undefined>,
  ): Promise<AttemptResult> {
    const { clock, logger, metrics } = this.#parts;
    const first = this.#startAttempt(job, progress, server);
    const delayMs = this.#getHedgeDelayMs(job);
    if (delayMs === undefined) return await first.result;
    const early = await runWithin(clock, delayMs, () => first.result);
    if (early !== EXPIRED) return early;
    if (!this.#admitAttempt(job, progress)) return await first.result;
    const next = candidates.next();
    if (next.done) return await first.result;
    const second = this.#startAttempt(job, progress, next.value);
    metrics.add(Counter.Hedges);
    logger.info("no response yet; sending a hedge to a second server", {
      request: job.plan.attempt ?? "",
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
    if (isFinal(job, result)) {
      other.cancel();
      return result;
    }
    this.#recordFailure(job, progress, result);
    return await other.result;
  }

  #startAttempt(
    job: Job,
    progress: Progress,
    server: Server,
  ): RunningAttempt {
    const cancelled = new AbortController();
    progress.sent += 1;
    return {
      result: this.#runner.run(
        job,
        server,
        AbortSignal.any([job.signal, cancelled.signal]),
      ),
      cancel: () => cancelled.abort(),
    };
  }

  /** Returns what is lost if the first attempt fails. */
  #getStake(job: Job): FailureStake {
    const { plan } = job;
    const attempts = plan.route.attempts ?? ATTEMPTS_PER_REQUEST;
    if (attempts < 2 || !isRepeatable(job, OutcomeKind.MayHaveRun)) {
      return FailureStake.Request;
    }
    return this.#parts.retryBudget.isAmple(getScope(plan))
      ? FailureStake.Attempt
      : FailureStake.ScarceAttempt;
  }

  /** Returns the delay before a hedge; undefined if none may be sent. */
  #getHedgeDelayMs(job: Job): number | undefined {
    const { plan } = job;
    if (!isRepeatable(job, OutcomeKind.MayHaveRun) || !plan.preset.retries) {
      return undefined;
    }
    const usualMs = this.#parts.selection.getUsualMs(plan.service);
    const delayMs = Math.max(HEDGE_MIN_MS, usualMs * HEDGE_RATIO);
    const leftMs = plan.deadlineAt - this.#parts.clock.now();
    return delayMs + usualMs < leftMs ? delayMs : undefined;
  }

  /** Whether one more server may be tried; a retry is charged to the budget. */
  #admitAttempt(job: Job, progress: Progress): boolean {
    const { plan } = job;
    const withdrawn = this.#parts.admission.checkPlan(plan);
    if (withdrawn !== undefined) {
      progress.refusal = { ...withdrawn, run: progress.refusal.run };
      return false;
    }
    if (progress.unreached > UNREACHED_SERVERS_LIMIT) return false;
    if (progress.sent === 0) return true;
    if (progress.sent >= (plan.route.attempts ?? ATTEMPTS_PER_REQUEST)) {
      return false;
    }
    return this.#takeRetry(plan);
  }

  #recordFailure(
    job: Job,
    progress: Progress,
    result: AttemptResult,
  ): void {
    const { plan, signal } = job;
    if (result.kind === OutcomeKind.Answered) {
      this.#keepFailedAnswer(progress, result.accepted);
      return;
    }
    if (isUnsent(result.failure.step)) {
      progress.sent -= 1;
      progress.unreached += 1;
    }
    progress.refusal = createFailureRefusal(
      result,
      progress.refusal.run,
      signal.aborted,
      this.#getRetryAfterMs(plan),
    );
    this.#parts.logger.info("an attempt failed", {
      request: plan.attempt ?? "",
      server: result.failure.peer,
      failure: result.failure.kind,
      step: result.failure.step,
      run: progress.refusal.run,
      sent: progress.sent,
      leftMs: Math.round(plan.deadlineAt - this.#parts.clock.now()),
    });
  }

  /** Stores a server's error response unless it is too long to be buffered. */
  #keepFailedAnswer(progress: Progress, accepted: Accepted): void {
    const { answer, body, server } = accepted;
    if (body.kind !== AnswerBodyKind.Streamed) {
      progress.failedAnswer = accepted;
      return;
    }
    answer.cancel();
    progress.refusal = {
      kind: RefusalKind.AnswerLost,
      step: Step.Body,
      peer: server.id,
      run: RunState.Unknown,
      retryAfterMs: 0,
    };
  }

  #refuseUnavailable(plan: RequestPlan): Refusal {
    return createRefusal(
      RefusalKind.ServerUnavailable,
      Step.Queue,
      this.#getRetryAfterMs(plan),
    );
  }

  /** Returns the expected time until a server has a free slot, plus jitter. */
  #getRetryAfterMs(plan: RequestPlan): number {
    const queueMs = this.#parts.selection.getQueueMs(plan.service);
    return this.#computeRetryAfterMs(queueMs);
  }

  #computeRetryAfterMs(ms: number): number {
    const spreadMs = this.#parts.random() * RETRY_AFTER_SPREAD_MS;
    return Math.max(RETRY_AFTER_MIN_MS, ms) + spreadMs;
  }

  #takeRetry(plan: RequestPlan): boolean {
    if (!plan.preset.retries) return false;
    if (!this.#parts.retryBudget.take(getScope(plan))) {
      this.#parts.logger.info("retry budget exhausted; no further attempt", {
        request: plan.attempt ?? "",
        service: plan.service,
      });
      return false;
    }
    this.#parts.metrics.add(Counter.Retries);
    return true;
  }

  async #sendAnswer(job: Job, accepted: Accepted): Promise<void> {
    const { exchange, plan } = job;
    const { answer, body } = accepted;
    this.#parts.metrics.add(Counter.Answers);
    this.#parts.logger.info("forwarding a server's response to the caller", {
      request: plan.attempt ?? "",
      route: plan.route.id,
      version: plan.version,
      team: plan.team?.id ?? "",
      server: accepted.server.id,
      status: answer.status,
      tookMs: Math.round(this.#parts.clock.now() - plan.arrivedAt),
    });
    switch (body.kind) {
      case AnswerBodyKind.None:
        return await exchange.sendWhole({ ...answer, body: undefined });
      case AnswerBodyKind.Whole:
        return await exchange.sendWhole({ ...answer, body: body.bytes });
      case AnswerBodyKind.Streamed:
        return await exchange.sendStreamed({ ...answer, body: body.chunks });
    }
  }

  /** Refuses a request whose deadline passed before it was sent to a server. */
  #refuseExpired(exchange: CallerExchange, step: Step): Promise<Refusal> {
    const refusal = createRefusal(RefusalKind.DeadlineExpired, step);
    return this.#refuse({ exchange }, refusal);
  }

  async #refuse(
    { exchange }: Pick<Job, "exchange">,
    refusal: Refusal,
  ): Promise<Refusal> {
    this.#parts.metrics.add(Counter.Refusals, refusal.kind);
    await exchange.sendRefusal(refusal);
    return refusal;
  }
}

function getScope(plan: RequestPlan): RetryScope {
  return {
    service: plan.service,
    team: plan.team?.id ?? "",
    priority: plan.priority,
  };
}

/** Whether an attempt that failed at `step` was never sent to its server. */
function isUnsent(step: Step): boolean {
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
function createFailureRefusal(
  result: Exclude<AttemptResult, { kind: OutcomeKind.Answered }>,
  earlier: RunState,
  isExpired: boolean,
  retryAfterMs: number,
): Refusal {
  const isUnknown = earlier === RunState.Unknown ||
    result.kind === OutcomeKind.MayHaveRun;
  const lost = isUnknown
    ? RefusalKind.AnswerLost
    : RefusalKind.ServerUnavailable;
  return {
    kind: isExpired ? RefusalKind.DeadlineExpired : lost,
    step: result.failure.step,
    peer: result.failure.peer,
    run: isUnknown ? RunState.Unknown : RunState.NotRun,
    retryAfterMs: isUnknown ? 0 : retryAfterMs,
  };
}
