/** Caller front: one task for each caller's connection. */
import { RefusalKind, RunState, Step } from "../../model/mod.ts";
import { AdmissionKind } from "../admission/mod.ts";
import type { Admission } from "../admission/mod.ts";
import type { Clock } from "../clock/mod.ts";
import type { Forwarding } from "../forwarding/mod.ts";
import { formatCause } from "../logging/mod.ts";
import type { Logger } from "../logging/mod.ts";
import { Counter } from "../metrics/mod.ts";
import type { Metrics } from "../metrics/mod.ts";
import type {
  CallerConnection,
  CallerExchange,
  CallerServer,
} from "./exchange.ts";

/** What the front works with. */
export interface CallerFrontParts {
  readonly clock: Clock;
  readonly server: CallerServer;
  readonly admission: Admission;
  readonly forwarding: Forwarding;
  readonly metrics: Metrics;
  readonly logger: Logger;
}

/** Serves callers. */
export class CallerFront {
  readonly #parts: CallerFrontParts;
  #openConnections = 0;

  /** Creates a front that accepts nobody yet. */
  constructor(parts: CallerFrontParts) {
    this.#parts = parts;
  }

  /** Number of connections that are open. */
  get openConnections(): number {
    return this.#openConnections;
  }

  /** Accepts connections until the listener is closed. */
  async run(): Promise<void> {
    const tasks = new Set<Promise<void>>();
    for await (const connection of this.#parts.server.listConnections()) {
      const task = this.#serveConnection(connection)
        .finally(() => tasks.delete(task));
      tasks.add(task);
    }
    await Promise.all(tasks);
  }

  async #serveConnection(connection: CallerConnection): Promise<void> {
    this.#openConnections += 1;
    try {
      for await (const exchange of connection.listExchanges()) {
        await this.#serveExchange(exchange);
      }
    } finally {
      this.#openConnections -= 1;
    }
  }

  async #serveExchange(exchange: CallerExchange): Promise<void> {
    try {
      await this.#runExchange(exchange);
    } catch (error) {
      if (exchange.signal.aborted || exchange.isAnswered) return;
      this.#parts.logger.error(`cannot serve a request: ${formatCause(error)}`);
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
    const { admission, forwarding, metrics, clock } = this.#parts;
    metrics.add(Counter.Requests);
    const decision = admission.admit(exchange.head);
    switch (decision.kind) {
      case AdmissionKind.Refused:
        metrics.add(Counter.Refusals, decision.refusal.kind);
        return await exchange.sendRefusal(decision.refusal);
      case AdmissionKind.Admitted: {
        const { plan } = decision;
        await forwarding.serve(plan, exchange);
        metrics.recordLatency(plan.route.id, clock.now() - plan.arrivedAt);
      }
    }
  }
}
