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
  | { readonly kind: LimitKind.Unknown };

/** Enforces the rate and burst of teams across all VMs. */
export interface TeamLimiter {
  /** Acquires a token for one request of a team. */
  acquire(team: Team, preset: Preset): Promise<LimitDecision>;
}
