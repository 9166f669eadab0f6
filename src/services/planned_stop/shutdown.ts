/**
 * Shutdown service: decides which requests still fit into the grace period of a
 * planned stop.
 *
 * A request that is still running when the process is killed gets no response,
 * and the caller of a non-idempotent one can't repeat it. So a request that is
 * not likely to end in time is refused before it is sent to a server.
 */
import type { RouteId, ServiceId } from "../../model/mod.ts";
import type { Clock } from "../clock/mod.ts";
import type { Logger } from "../logging/mod.ts";
import type { Overload } from "../overload/mod.ts";

/** Phases of {@linkcode ShutdownState}. */
enum ShutdownPhase {
  Serving = "serving",
  Stopping = "stopping",
}

type ShutdownState =
  | { readonly kind: ShutdownPhase.Serving }
  | {
    readonly kind: ShutdownPhase.Stopping;
    /** Monotonic time of the stop signal, in milliseconds. */
    readonly startedAt: number;
    /** Monotonic time by which responses must be sent, in milliseconds. */
    readonly endsAt: number;
  };

/** A request that is about to be admitted or sent. */
export interface PendingRequest {
  readonly service: ServiceId;
  readonly route: RouteId;
  /** Target latency of its route in ms; undefined if the route has none. */
  readonly targetMs: number | undefined;
  /** Time until the caller's deadline, in milliseconds. */
  readonly remainingMs: number;
  /** Monotonic time at which its head was read, in milliseconds. */
  readonly receivedAt: number;
}

/**
 * Time that a request needs, in multiples of its route's typical processing
 * time; few take longer, unless their server is slow.
 */
const TYPICAL_TIME_RATIO = 3;
/**
 * Time after the stop signal up to which a request is accepted if it is likely
 * to end in time. A later one is accepted only if it must end in time, because
 * the platform excuses the loss of none of these.
 */
const LIKELY_END_MS = 3_000;
/** Fraction of the grace period after which the process exits. */
export const STOP_GRACE_RATIO = 0.93;
/** Time before the exit at which waiting requests are refused, in ms. */
const EXIT_MARGIN_MS = 200;

/** Dependencies of {@linkcode Shutdown}. */
export interface ShutdownDependencies {
  readonly clock: Clock;
  readonly overload: Overload;
  readonly logger: Logger;
  /** Time in milliseconds from the stop signal until the process is killed. */
  readonly graceMs: number;
}

/** Tracks a planned stop from its signal to the exit of the process. */
export class Shutdown {
  readonly #deps: ShutdownDependencies;
  readonly #endListeners = new Set<() => void>();
  #state: ShutdownState = { kind: ShutdownPhase.Serving };

  /** Creates the service of a VM that is not stopping. */
  constructor(deps: ShutdownDependencies) {
    this.#deps = deps;
  }

  /** Records that the planned stop begins; further calls change nothing. */
  start(): void {
    switch (this.#state.kind) {
      case ShutdownPhase.Stopping:
        return;
      case ShutdownPhase.Serving: {
        const { clock, graceMs, logger } = this.#deps;
        const leftMs = Math.max(0, graceMs * STOP_GRACE_RATIO - EXIT_MARGIN_MS);
        const startedAt = clock.now();
        const endsAt = startedAt + leftMs;
        this.#state = { kind: ShutdownPhase.Stopping, startedAt, endsAt };
        clock.startTimer(leftMs, () => this.#handleEnd());
        logger.info("requests that can't end in time are refused", {
          leftMs: Math.round(leftMs),
        });
      }
    }
  }

  /**
   * Whether a request may be sent, so that it ends before the process exits. One
   * whose deadline passes before is not kept from its response by the stop.
   */
  hasTimeFor(request: PendingRequest): boolean {
    switch (this.#state.kind) {
      case ShutdownPhase.Serving:
        return true;
      case ShutdownPhase.Stopping: {
        const { startedAt, endsAt } = this.#state;
        const leftMs = endsAt - this.#deps.clock.now();
        if (request.remainingMs <= leftMs) return true;
        const isLate = request.receivedAt - startedAt > LIKELY_END_MS;
        return !isLate && this.#computeNeededMs(request) <= leftMs;
      }
    }
  }

  /**
   * Adds a function to call when requests that were not sent yet must be
   * refused. Returns a function to remove it.
   */
  addEndListener(listener: () => void): () => void {
    this.#endListeners.add(listener);
    return () => void this.#endListeners.delete(listener);
  }

  #handleEnd(): void {
    for (const listener of [...this.#endListeners]) listener();
  }

  #computeNeededMs({ service, route, targetMs }: PendingRequest): number {
    const { overload } = this.#deps;
    const { typicalMs } = overload.getProcessingTime(service, route);
    return Math.max(targetMs ?? 0, typicalMs * TYPICAL_TIME_RATIO);
  }
}
