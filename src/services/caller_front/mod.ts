/** Caller front service: serves callers, with one task for each connection. */
import { RefusalKind, RunState, Step } from "../../model/mod.ts";
import { LOCAL_PATH_PREFIX } from "../../constants.ts";
import type { Refusal } from "../../model/mod.ts";
import type { AddressSelector } from "../addresses/mod.ts";
import { AdmissionKind, createRefusal } from "../admission/mod.ts";
import type { Admission, RequestPlan } from "../admission/mod.ts";
import type { Clock } from "../clock/mod.ts";
import type { Forwarding } from "../forwarding/mod.ts";
import { createWaitingRefusal } from "../forwarding/refusals.ts";
import type { RequestWait } from "../forwarding/request_wait.ts";
import { formatCause } from "../logging/mod.ts";
import type { LogFields, Logger } from "../logging/mod.ts";
import {
  Bound,
  MemoryDecisionKind,
  REQUEST_BYTES,
} from "../memory_budget/mod.ts";
import type { MemoryBudget } from "../memory_budget/mod.ts";
import { LimitKind } from "../quota/team_limiter.ts";
import type { TeamLimiter } from "../quota/team_limiter.ts";
import { Counter } from "../metrics/mod.ts";
import type { Metrics } from "../metrics/mod.ts";
import type { Startup } from "../startup/mod.ts";
import type {
  CallerConnection,
  CallerExchange,
  CallerServer,
} from "./exchange.ts";
import { Concurrency, Pipeline } from "./pipeline.ts";

/** Retry delay for a caller of a VM without memory; other VMs can serve it. */
const MEMORY_RETRY_MS = 500;
const ADDRESSES_TARGET = `${LOCAL_PATH_PREFIX}/addresses`;

function isLocalTarget(target: string): boolean {
  return target.startsWith(`${LOCAL_PATH_PREFIX}/`);
}

/** Dependencies of {@linkcode CallerFront}. */
export interface CallerFrontDependencies {
  readonly clock: Clock;
  readonly server: CallerServer;
  readonly admission: Admission;
  readonly startup: Startup;
  readonly forwarding: Forwarding;
  readonly limiter: TeamLimiter;
  readonly addresses: AddressSelector;
  readonly memory: MemoryBudget;
  readonly metrics: Metrics;
  readonly logger: Logger;
  /** Maximum number of requests of a connection that run at the same time. */
  readonly pipelineLimit: number;
}

/** Admits callers' requests and forwards them within their teams' limits. */
export class CallerFront {
  readonly #deps: CallerFrontDependencies;
  #openConnections = 0;

  /** Creates a front that does not accept connections yet. */
  constructor(deps: CallerFrontDependencies) {
    this.#deps = deps;
  }

  /** Number of open connections. */
  get openConnections(): number {
    return this.#openConnections;
  }

  /** Accepts connections until the listener is closed. */
  async run(): Promise<void> {
    const tasks = new Set<Promise<void>>();
    for await (const connection of this.#deps.server.listConnections()) {
      const task = this.#serveConnection(connection)
        .finally(() => tasks.delete(task));
      tasks.add(task);
    }
    await Promise.all(tasks);
  }

  async #serveConnection(connection: CallerConnection): Promise<void> {
    this.#openConnections += 1;
    const pipeline = new Pipeline(this.#deps.pipelineLimit);
    try {
      for await (const exchange of connection.listExchanges()) {
        const concurrency = this.#getConcurrency(exchange);
        if (!await this.#waitForTurn(pipeline, exchange, concurrency)) break;
        pipeline.start(concurrency, () => this.#serveExchange(exchange));
      }
      await pipeline.waitForAll();
    } finally {
      this.#openConnections -= 1;
    }
  }

  /** Waits for a request's turn; false if the connection closes before it. */
  async #waitForTurn(
    pipeline: Pipeline,
    exchange: CallerExchange,
    concurrency: Concurrency,
  ): Promise<boolean> {
    const { metrics, logger } = this.#deps;
    if (pipeline.running > 0) metrics.add(Counter.Pipelined, concurrency);
    await pipeline.waitForTurn(concurrency);
    if (exchange.signal.aborted) return false;
    if (exchange.tryPassOn()) return true;
    // The connection is closing; only a request that follows none may start.
    await pipeline.waitForAll();
    if (exchange.tryPassOn()) return true;
    metrics.add(Counter.Dropped);
    logger.info("dropped a request behind a response that closes", {
      request: exchange.head.attempt ?? "",
      peer: exchange.peer,
    });
    return false;
  }

  #getConcurrency({ head }: CallerExchange): Concurrency {
    return isLocalTarget(head.target) || this.#deps.admission.isIdempotent(head)
      ? Concurrency.Shared
      : Concurrency.Exclusive;
  }

  async #serveExchange(exchange: CallerExchange): Promise<void> {
    try {
      await this.#runExchange(exchange);
    } catch (error) {
      if (exchange.signal.aborted || exchange.isResponseStarted) return;
      this.#deps.logger.error(
        `internal error; refusing the request: ${formatCause(error)}`,
      );
      await exchange.sendRefusal({
        kind: RefusalKind.InternalError,
        step: Step.Parse,
        peer: "",
        run: RunState.Unknown,
        retryAfterMs: 0,
      });
    }
  }

  async #runExchange(exchange: CallerExchange): Promise<void> {
    const { admission, clock, metrics, startup } = this.#deps;
    metrics.add(Counter.Requests);
    if (isLocalTarget(exchange.head.target)) {
      return await this.#serveLocal(exchange);
    }
    const { remainingMs = Infinity, receivedAt } = exchange.head;
    await startup.waitUntilServing(
      remainingMs - (clock.now() - receivedAt),
      exchange.signal,
    );
    const decision = admission.admit(exchange.head);
    switch (decision.kind) {
      case AdmissionKind.Refused:
        return await this.#refuse(exchange, decision.refusal);
      case AdmissionKind.Admitted:
        return await this.#runPlan(exchange, decision.plan);
    }
  }

  /** Runs an admitted request; all its waits end with it. */
  async #runPlan(exchange: CallerExchange, plan: RequestPlan): Promise<void> {
    const wait = this.#deps.forwarding.startWait(plan, exchange);
    try {
      await this.#runLimited(exchange, plan, wait);
    } finally {
      wait.close();
    }
  }

  /** Forwards a request if its team's rate and burst allow it. */
  async #runLimited(
    exchange: CallerExchange,
    plan: RequestPlan,
    wait: RequestWait,
  ): Promise<void> {
    const { team, preset, deadlineAt } = plan;
    if (team === undefined) {
      await this.#forward(exchange, plan, wait);
      return;
    }
    const decision = await this.#deps.limiter.acquire(team, preset, {
      signal: wait.waitSignal,
      deadlineAt,
    });
    switch (decision.kind) {
      case LimitKind.Over:
        return await this.#refuse(
          exchange,
          createRefusal(
            RefusalKind.OverRate,
            Step.Limit,
            decision.retryAfterMs,
          ),
          plan,
          decision.inputs,
        );
      case LimitKind.Unknown:
        return await this.#refuse(
          exchange,
          createRefusal(RefusalKind.ShareMissing, Step.Limit),
          plan,
        );
      case LimitKind.Cancelled:
        return await this.#refuse(
          exchange,
          createWaitingRefusal(wait.signal, Step.Limit),
          plan,
        );
      case LimitKind.Within: {
        this.#deps.logger.info("admitted a request", {
          request: exchange.head.attempt ?? "",
          team: team.id,
          ...decision.inputs,
        });
        const runState = await this.#forward(exchange, plan, wait);
        if (runState === RunState.NotRun) decision.refund();
      }
    }
  }

  /** Forwards a request; resolves to whether it was run if it is refused. */
  async #forward(
    exchange: CallerExchange,
    plan: RequestPlan,
    wait: RequestWait,
  ): Promise<RunState | undefined> {
    const { forwarding, memory, metrics, clock } = this.#deps;
    const decision = memory.acquire(
      { kind: Bound.Connection, connection: exchange.connection },
      REQUEST_BYTES,
    );
    switch (decision.kind) {
      case MemoryDecisionKind.Full: {
        const refusal = createRefusal(
          RefusalKind.MemoryFull,
          Step.Limit,
          MEMORY_RETRY_MS,
        );
        await this.#refuse(exchange, refusal, plan, { bound: decision.bound });
        return refusal.run;
      }
      case MemoryDecisionKind.Held:
        try {
          const refusal = await forwarding.serve(
            plan,
            exchange,
            wait,
            decision.hold,
          );
          metrics.recordLatency(plan.route.id, clock.now() - plan.arrivedAt);
          return refusal?.run;
        } finally {
          decision.hold.release();
        }
    }
  }

  /** Serves a request to the daemon itself, such as one for VM addresses. */
  async #serveLocal(exchange: CallerExchange): Promise<void> {
    const { admission, addresses } = this.#deps;
    const { target, method } = exchange.head;
    if (method !== "GET" || target !== ADDRESSES_TARGET) {
      return await this.#refuse(
        exchange,
        createRefusal(RefusalKind.RouteUnknown, Step.Route),
      );
    }
    const caller = admission.findCaller(exchange.head);
    switch (caller.kind) {
      case AdmissionKind.Refused:
        return await this.#refuse(exchange, caller.refusal);
      case AdmissionKind.Admitted:
        return await exchange.sendValue(
          addresses.selectAddresses(caller.team, exchange.peer),
        );
    }
  }

  async #refuse(
    exchange: CallerExchange,
    refusal: Refusal,
    plan?: RequestPlan,
    inputs?: LogFields,
  ): Promise<void> {
    const { metrics, logger, admission } = this.#deps;
    metrics.add(Counter.Refusals, refusal.kind);
    const { kind, ageMs } = admission.getFreshness();
    logger.info("refused a request", {
      request: exchange.head.attempt ?? "",
      refusal: refusal.kind,
      step: refusal.step,
      run: refusal.run,
      retryAfterMs: Math.round(refusal.retryAfterMs),
      team: plan?.team?.id ?? "",
      route: plan?.route.id ?? "",
      version: admission.version,
      freshness: kind,
      confirmedAgoMs: Math.round(ageMs),
      ...inputs,
    });
    await exchange.sendRefusal(refusal);
  }
}
