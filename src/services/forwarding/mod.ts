/** Forwarding service: sends admitted requests to servers until one responds. */
import { RefusalKind, RunState, Step } from "../../model/mod.ts";
import type { Refusal } from "../../model/mod.ts";
import { createRefusal } from "../admission/mod.ts";
import type { RequestPlan } from "../admission/mod.ts";
import type { CallerExchange } from "../caller_front/exchange.ts";
import { DispatchKind } from "../dispatch/mod.ts";
import { UNBOUNDED_HOLD } from "../memory_budget/mod.ts";
import type { MemoryHold } from "../memory_budget/mod.ts";
import { OverloadKind } from "../overload/mod.ts";
import type { Shutdown } from "../planned_stop/shutdown.ts";
import type { Random } from "../random/mod.ts";
import { Attempts, AttemptsKind } from "./attempts.ts";
import type { AttemptsDependencies } from "./attempts.ts";
import type { RequestContext } from "./attempt_runner.ts";
import { createWaitingRefusal } from "./refusals.ts";
import { readRequestBody } from "./request_body.ts";
import { Responder } from "./responder.ts";
import { startRequestWait } from "./request_wait.ts";
import type { RequestWait } from "./request_wait.ts";
import { RetryDelay } from "./retry_delay.ts";

/**
 * Minimum retry delay while all servers of a service are evacuated. Evacuations
 * end at an unknown time; a second is short compared to their usual duration.
 */
const EVACUATED_RETRY_MS = 1_000;

/** Dependencies of {@linkcode Forwarding}. */
export interface ForwardingDependencies extends AttemptsDependencies {
  readonly random: Random;
  readonly shutdown: Shutdown;
}

/** Forwards requests to backend servers. */
export class Forwarding {
  readonly #deps: ForwardingDependencies;
  readonly #attempts: Attempts;
  readonly #retryDelay: RetryDelay;
  readonly #responder: Responder;

  constructor(deps: ForwardingDependencies) {
    this.#deps = deps;
    this.#retryDelay = new RetryDelay(deps);
    this.#responder = new Responder(deps);
    this.#attempts = new Attempts(deps, this.#retryDelay);
  }

  /**
   * Starts the lifetime of an admitted request, which bounds all its waits; to
   * be closed after its response.
   */
  startWait(
    { deadlineAt }: RequestPlan,
    { signal }: Pick<CallerExchange, "signal">,
  ): RequestWait {
    return startRequestWait(this.#deps, deadlineAt, signal);
  }

  /**
   * Serves one admitted request; responds to the caller exactly once.
   * What is buffered for it is added to `hold`.
   *
   * Returns the refusal that the caller got, or undefined if a server's
   * response was forwarded.
   */
  async serve(
    plan: RequestPlan,
    exchange: CallerExchange,
    wait: RequestWait,
    hold: MemoryHold = UNBOUNDED_HOLD,
  ): Promise<Refusal | undefined> {
    const { signal, waitSignal } = wait;
    const body = await readRequestBody(exchange.body, waitSignal, hold);
    if (body === undefined) {
      const refusal = createWaitingRefusal(signal, Step.Body);
      return await this.#responder.refuse({ plan, exchange }, refusal);
    }
    return await this.#dispatchRequest({
      plan,
      exchange,
      body,
      signal,
      waitSignal,
      hold,
    });
  }

  /** Runs a request when its turn comes, unless its wait ends before. */
  async #dispatchRequest(
    context: RequestContext,
  ): Promise<Refusal | undefined> {
    const { plan } = context;
    const { dispatch, selection } = this.#deps;
    const { service } = plan;
    const evacuated = this.#checkEvacuated(plan);
    if (evacuated !== undefined) {
      return await this.#responder.refuse(context, evacuated);
    }
    const paused = this.#checkPaused(plan);
    if (paused !== undefined) {
      return await this.#responder.refuse(context, paused);
    }
    const overloaded = this.#checkOverload(plan);
    if (overloaded !== undefined) {
      return await this.#responder.refuse(context, overloaded);
    }
    dispatch.setServiceConcurrency(service, selection.countSlots(service));
    const result = await dispatch.run(
      {
        service,
        team: plan.team?.id ?? "",
        signal: context.waitSignal,
      },
      () => this.#runAttempts(context),
    );
    switch (result.kind) {
      case DispatchKind.Ran:
        return result.value;
      case DispatchKind.QueueFull:
        return await this.#responder.refuse(
          context,
          createRefusal(
            RefusalKind.QueueFull,
            Step.Queue,
            this.#retryDelay.getMs(plan.service),
          ),
        );
      case DispatchKind.Cancelled:
        return await this.#responder.refuse(
          context,
          createWaitingRefusal(context.signal, Step.Queue),
        );
    }
  }

  /** Runs a request's attempts and responds to the caller. */
  async #runAttempts(context: RequestContext): Promise<Refusal | undefined> {
    const result = await this.#attempts.run(context);
    switch (result.kind) {
      case AttemptsKind.Responded:
        await this.#responder.sendResponse(context, result.accepted);
        return undefined;
      case AttemptsKind.Refused:
        return await this.#responder.refuse(
          context,
          this.#resolveRefusal(context.plan, result.refusal),
        );
    }
  }

  /** Names evacuations as the cause if they left no server to try. */
  #resolveRefusal(plan: RequestPlan, refusal: Refusal): Refusal {
    const isUnavailable = refusal.kind === RefusalKind.ServerUnavailable;
    if (!isUnavailable || refusal.run !== RunState.NotRun) return refusal;
    return this.#checkEvacuated(plan) ?? refusal;
  }

  /** Returns a refusal if evacuations leave the service no server. */
  #checkEvacuated(plan: RequestPlan): Refusal | undefined {
    if (!this.#deps.selection.hasOnlyEvacuated(plan.service)) return undefined;
    return createRefusal(
      RefusalKind.Evacuated,
      Step.Queue,
      this.#retryDelay.computeMs(EVACUATED_RETRY_MS),
    );
  }

  /** Returns a refusal if all servers of the service want no requests now. */
  #checkPaused(plan: RequestPlan): Refusal | undefined {
    const pauseMs = this.#deps.selection.getPauseMs(plan.service);
    if (pauseMs === 0) return undefined;
    return createRefusal(
      RefusalKind.Overloaded,
      Step.Queue,
      this.#retryDelay.getMs(plan.service),
    );
  }

  /** Returns a refusal if the service is too overloaded for the request. */
  #checkOverload(plan: RequestPlan): Refusal | undefined {
    const { clock, overload, selection, logger } = this.#deps;
    const { route, service, priority } = plan;
    const now = clock.now();
    const queueMs = selection.getQueueMs(service);
    const remainingMs = plan.deadlineAt - now;
    const decision = overload.evaluate({
      service,
      route: route.id,
      priority,
      queueMs,
      targetMs: route.targetMs,
      remainingMs,
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
          leftMs: Math.round(remainingMs),
          excessMs: Math.round(decision.excessMs),
        });
        const retryAfterMs = this.#retryDelay.computeMs(decision.excessMs);
        return createRefusal(
          RefusalKind.Overloaded,
          Step.Queue,
          retryAfterMs,
        );
      }
    }
  }
}
