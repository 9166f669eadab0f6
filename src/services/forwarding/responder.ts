/** Sends the response or the refusal of a request, with a log line. */
import type { Refusal } from "../../model/mod.ts";
import type { Admission } from "../admission/mod.ts";
import type { Clock } from "../clock/mod.ts";
import type { Logger } from "../logging/mod.ts";
import { Counter } from "../metrics/mod.ts";
import type { Metrics } from "../metrics/mod.ts";
import type { Selection } from "../selection/mod.ts";
import type { AcceptedResponse, RequestContext } from "./attempt_runner.ts";
import { ResponseBodyKind } from "./response_body.ts";

/** A request that is refused. */
type RefusedContext = Pick<RequestContext, "exchange" | "plan">;

/** Dependencies of {@linkcode Responder}. */
export interface ResponderDependencies {
  readonly admission: Admission;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly selection: Selection;
}

/** Responds to callers; counts and logs each response. */
export class Responder {
  readonly #deps: ResponderDependencies;

  constructor(deps: ResponderDependencies) {
    this.#deps = deps;
  }

  /** Forwards a response to the caller. */
  async sendResponse(
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

  /** Refuses a request; returns the refusal. */
  async refuse(
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
