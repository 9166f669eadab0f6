/** Retry budgets: a share of successes, so that retries can't add up. */
import { RETRY_BUDGET_BURST, RETRY_BUDGET_RATIO } from "../../constants.ts";

/** Tokens of one service or team. */
export class RetryBudget {
  #tokens = RETRY_BUDGET_BURST;

  /** Retries that may be spent now. */
  get tokens(): number {
    return this.#tokens;
  }

  /** Adds the share that one success earns. */
  add(): void {
    this.#tokens = Math.min(
      RETRY_BUDGET_BURST,
      this.#tokens + RETRY_BUDGET_RATIO,
    );
  }

  /** Whether a retry may be spent. */
  hasToken(): boolean {
    return this.#tokens >= 1;
  }

  /** Takes one retry; call {@linkcode hasToken} first. */
  take(): void {
    this.#tokens -= 1;
  }
}

/** Budgets by name, for services and teams. */
export class RetryBudgets {
  readonly #budgets = new Map<string, RetryBudget>();

  /** Records a success of each name. */
  recordSuccess(...names: readonly string[]): void {
    for (const name of names) this.#budgets.get(name)?.add();
  }

  /** Takes one retry from every name, or from none if one has run out. */
  take(...names: readonly string[]): boolean {
    const budgets = names.map((name) => this.#getBudget(name));
    if (!budgets.every((budget) => budget.hasToken())) return false;
    for (const budget of budgets) budget.take();
    return true;
  }

  #getBudget(name: string): RetryBudget {
    const existing = this.#budgets.get(name);
    if (existing !== undefined) return existing;
    const created = new RetryBudget();
    this.#budgets.set(name, created);
    return created;
  }
}
