/** Retry budgets: a share of the requests, so that retries can't add up. */
import type { ServiceId, TeamId } from "../../model/mod.ts";

/** Whose budget an event belongs to. */
export interface RetryScope {
  readonly service: ServiceId;
  /** Empty for callers without a team. */
  readonly team: TeamId;
  /** Rank of the request, 0 the highest. */
  readonly priority: number;
}

/** Decides on second attempts, retries and hedges alike. */
export interface RetryBudget {
  /** Records that a request is dispatched, however it ends. */
  recordRequest(scope: RetryScope): void;
  /** Records that a request was answered. */
  recordAnswer(scope: RetryScope): void;
  /** Whether so many second attempts are left that tests may cost some. */
  isAmple(scope: RetryScope): boolean;
  /** Takes one second attempt; false when the budget has none left. */
  take(scope: RetryScope): boolean;
}

/** What a budget of tokens is made of. */
export interface TokenBudgetOptions {
  /** Tokens that each answered request earns. */
  readonly ratio: number;
  /** Most tokens that may be saved up. */
  readonly burst: number;
}

/** Creates a budget of this VM alone: tokens of each service and each team. */
export function createTokenBudget(options: TokenBudgetOptions): RetryBudget {
  const tokens = new Map<string, number>();
  const getTokens = (name: string): number => tokens.get(name) ?? options.burst;
  const listNames = ({ service, team }: RetryScope): string[] => [
    `service ${service}`,
    `team ${team}`,
  ];
  return {
    recordRequest: () => {},
    recordAnswer: (scope) => {
      for (const name of listNames(scope)) {
        const earned = getTokens(name) + options.ratio;
        tokens.set(name, Math.min(options.burst, earned));
      }
    },
    isAmple: () => true,
    take: (scope) => {
      const names = listNames(scope);
      if (names.some((name) => getTokens(name) < 1)) return false;
      for (const name of names) tokens.set(name, getTokens(name) - 1);
      return true;
    },
  };
}
