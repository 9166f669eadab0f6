/** Enforces the limits of teams with the tokens of quota shards. */
import type { Preset, Team } from "../../model/mod.ts";
import { acquireUntilAborted, LimitKind } from "../quota/team_limiter.ts";
import type { LimitDecision, TeamLimiter } from "../quota/team_limiter.ts";
import { GrantKind } from "./mod.ts";
import type { Shares } from "./mod.ts";

/** Creates a limiter that uses the shares service of this VM. */
export function createShareLimiter(shares: Shares): TeamLimiter {
  return {
    acquire: (team, preset, { signal, deadlineAt }) =>
      acquireUntilAborted(
        signal,
        () => acquireFromShares(shares, team, preset, deadlineAt),
      ),
  };
}

async function acquireFromShares(
  shares: Shares,
  team: Team,
  preset: Preset,
  deadlineAt: number,
): Promise<LimitDecision> {
  const grant = await shares.acquire(team, preset, deadlineAt);
  switch (grant.kind) {
    case GrantKind.Refused:
      return { kind: LimitKind.Over, retryAfterMs: grant.retryAfterMs };
    case GrantKind.Missing:
      return { kind: LimitKind.Unknown };
    case GrantKind.Granted: {
      const { source } = grant;
      return {
        kind: LimitKind.Within,
        refund: () => {
          if (source !== undefined) shares.refund(team, preset, source);
        },
      };
    }
  }
}
