/** Interface through which the caller front limits the requests of teams. */
import type { Preset, Team } from "../../model/mod.ts";
import type { LogFields } from "../logging/mod.ts";

/** Whether a request is within its team's rate and burst. */
export enum LimitKind {
  Within = "within",
  /** The team has used its rate and burst. */
  Over = "over",
  /** No VM that tracks the team's tokens is reachable. */
  Unknown = "unknown",
  /** The request ended while it waited for a token. */
  Cancelled = "cancelled",
}

/** Result of checking one request against its team's limits. */
export type LimitDecision =
  | {
    readonly kind: LimitKind.Within;
    /** Returns the token; to be called if the request was not run. */
    readonly refund: () => void;
    /** Values that led to the decision, as log fields. */
    readonly inputs?: LogFields;
  }
  | {
    readonly kind: LimitKind.Over;
    /** Time after which a token is expected, in milliseconds. */
    readonly retryAfterMs: number;
    /** Values that led to the decision, as log fields. */
    readonly inputs?: LogFields;
  }
  | { readonly kind: LimitKind.Unknown }
  | { readonly kind: LimitKind.Cancelled };

/** Bounds of a request's wait for a token. */
export interface TokenWait {
  /** Aborts when the request no longer needs a token. */
  readonly signal: AbortSignal;
  /** Monotonic time at which the request's deadline passes, in milliseconds. */
  readonly deadlineAt: number;
}

/** Enforces the rate and burst of teams across all VMs. */
export interface TeamLimiter {
  /**
   * Acquires a token for one request of a team. Does not wait for a token that
   * is expected after the deadline, nor once the wait's signal aborts.
   */
  acquire(team: Team, preset: Preset, wait: TokenWait): Promise<LimitDecision>;
}

/** Creates a wait that never ends early. */
export function createUnlimitedWait(): TokenWait {
  return { signal: new AbortController().signal, deadlineAt: Infinity };
}

/**
 * Resolves to the result of `acquire`, or to a cancellation once `signal`
 * aborts; a token that is acquired later is returned.
 */
export function acquireUntilAborted(
  signal: AbortSignal,
  acquire: () => Promise<LimitDecision>,
): Promise<LimitDecision> {
  if (signal.aborted) return Promise.resolve({ kind: LimitKind.Cancelled });
  return new Promise((resolve, reject) => {
    const cancel = (): void => resolve({ kind: LimitKind.Cancelled });
    signal.addEventListener("abort", cancel, { once: true });
    const complete = (decision: LimitDecision): void => {
      signal.removeEventListener("abort", cancel);
      if (signal.aborted && decision.kind === LimitKind.Within) {
        decision.refund();
      }
      resolve(decision);
    };
    acquire().then(complete, reject);
  });
}
