/** Retry budgets: they cap retries at a share of the requests. */
import type { ServiceId, TeamId } from "../../model/mod.ts";

/** Budget that an event is counted in. */
export interface RetryScope {
  readonly service: ServiceId;
  /** Empty for callers without a team. */
  readonly team: TeamId;
  /** Priority of the request; 0 is the highest. */
  readonly priority: number;
}

/** Decides whether a request may be retried; a hedge counts as a retry. */
export interface RetryBudget {
  /** Records that a request is dispatched, whatever its outcome. */
  recordRequest(scope: RetryScope): void;
  /** Records that a request got a response. */
  recordResponse(scope: RetryScope): void;
  /** Whether enough retries remain to risk some on testing suspected servers. */
  isAmple(scope: RetryScope): boolean;
  /** Acquires one retry; returns false if the budget is exhausted. */
  acquire(scope: RetryScope): boolean;
}

/** Options of {@linkcode createTokenBudget}. */
export interface TokenBudgetOptions {
  /** Tokens that each request with a response adds. */
  readonly ratio: number;
  /** Maximum number of tokens of a bucket. */
  readonly burst: number;
}

/** Creates a budget local to this VM: token buckets by service and by team. */
export function createTokenBudget(options: TokenBudgetOptions): RetryBudget {
  const tokens = new Map<string, number>();
  const getTokens = (name: string): number => tokens.get(name) ?? options.burst;
  const listNames = ({ service, team }: RetryScope): string[] => [
    `service ${service}`,
    `team ${team}`,
  ];
  return {
    recordRequest: () => {},
    recordResponse: (scope) => {
      for (const name of listNames(scope)) {
        const earned = getTokens(name) + options.ratio;
        tokens.set(name, Math.min(options.burst, earned));
      }
    },
    isAmple: () => true,
    acquire: (scope) => {
      const names = listNames(scope);
      if (names.some((name) => getTokens(name) < 1)) return false;
      for (const name of names) tokens.set(name, getTokens(name) - 1);
      return true;
    },
  };
}
