/** Forwarding service: one request, from its plan to its caller's answer. */
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
 * Time after which a second server is asked too, in multiples of the latency
 * that is usual for the service; few answers of sound servers take longer.
 */
const HEDGE_RATIO = 2.5;
/** Shortest such time; below it a second request saves nothing. */
const HEDGE_MIN_MS = 100;
/** Servers that may be out of reach before a request is given up. */
const UNREACHED_SERVERS_LIMIT = 3;
/** Shortest time after which a refused caller is asked to return, in ms. */
const RETRY_AFTER_MIN_MS = 100;
/** Callers that were refused together return spread over this time, in ms. */
const RETRY_AFTER_SPREAD_MS = 300;

/** What forwarding works with. */
export interface ForwardingParts extends AttemptParts {
  readonly random: Random;
  readonly retryBudget: RetryBudget;
}

/** An attempt that is under way. */
interface RunningAttempt {
  readonly result: Promise<AttemptResult>;
  readonly cancel: () => void;
}

/** How far the attempts of one request have come. */
interface Progress {
  /** Servers that it was sent to. */
  sent: number;
  /** Servers that could not be connected to, or have left. */
  unreached: number;
  /** What the caller is told if no server answers. */
  refusal: Refusal;
  /** A server's error, which is passed on if no other server answers. */
  failedAnswer: Accepted | undefined;
}

/** Forwards requests to backend servers. */
export class Forwarding {
  readonly #parts: ForwardingParts;
  readonly #runner: AttemptRunner;

  /** Creates the service. */
  constructor(parts: ForwardingParts) {
    this.#parts = parts;
    this.#runner = new AttemptRunner(parts);
  }

  /**
   * Serves one admitted request; answers the caller exactly once.
   *
   * Returns the refusal that the caller got, or undefined for an answer.
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

  /** Decides whether the request's service has too much to do for it. */
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
        logger.info("refuses a request of a service with too much to do", {
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

  /** Tries one server after the other until one answers or none may be tried. */
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
   * Runs an attempt, and a second one beside it when the first takes long.
   *
   * Returns the answer of either; a failure only once both have failed.
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
    logger.info("sends a request to a second server beside the first", {
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

  /** Gets what is lost when the first attempt fails. */
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

  /** Gets when a second server is asked too; undefined for never. */
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

  /** Whether one more server may be tried; a retry is taken from the budget. */
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

  /** Keeps a server's error, unless it is too long to be held meanwhile. */
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

  /** Gets the time after which a server is expected to have a free slot. */
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
      this.#parts.logger.info("no second attempt is left", {
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
    this.#parts.logger.info("a server's answer is passed on", {
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

  /** Refuses a request whose deadline passed before any server got it. */
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

/** Whether an attempt that failed at a step never reached its server. */
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

/** Refuses by the newest failure, but says `not run` only if none may have run. */
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
