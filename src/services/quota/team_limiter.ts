/** How the caller front asks whether a team may send one more request. */
import type { Preset, Team } from "../../model/mod.ts";
import type { LogFields } from "../logging/mod.ts";

/** Whether a request is within its team's rate and burst. */
export enum LimitKind {
  Within = "within",
  /** The team has used its rate and burst. */
  Over = "over",
  /** Nobody who knows what is left can be reached. */
  Unknown = "unknown",
}

/** Decision on one request. */
export type LimitDecision =
  | {
    readonly kind: LimitKind.Within;
    /** Gives the token back; for a request that was not run. */
    readonly giveBack: () => void;
    /** What decided it, for the log. */
    readonly inputs?: LogFields;
  }
  | {
    readonly kind: LimitKind.Over;
    /** Time after which a token is expected, in milliseconds. */
    readonly retryAfterMs: number;
    /** What decided it, for the log. */
    readonly inputs?: LogFields;
  }
  | { readonly kind: LimitKind.Unknown };

/** Holds teams to their rate and burst over all VMs together. */
export interface TeamLimiter {
  /** Takes a token for one request of a team. */
  take(team: Team, preset: Preset): Promise<LimitDecision>;
}
