/** Borrows tokens from the hubs of other failure domains. */
import type { TeamId } from "../../model/mod.ts";
import type { Clock } from "../clock/mod.ts";
import type { Accounts } from "./accounts.ts";
import type { PendingTokenRequests } from "./pending_token_requests.ts";
import type { TeamLimits, TokenAccount } from "./token_account.ts";
import type { TokenPeer } from "./token_exchange.ts";

/**
 * Time whose expected demand a hub borrows for and does not lend to others, in
 * milliseconds.
 */
export const RESERVED_DEMAND_MS = 500;
/**
 * Time whose expected demand the available tokens must cover, in milliseconds;
 * a hub with fewer tokens borrows.
 */
const BORROW_THRESHOLD_MS = 300;
/** Timeout of one borrow attempt, in milliseconds: one or two round trips. */
const BORROW_TIMEOUT_MS = 100;
/**
 * Minimum and maximum delay after a failed borrow attempt for one team, in
 * milliseconds.
 */
const BORROW_RETRY_MIN_MS = 50;
const BORROW_RETRY_MAX_MS = 400;

/** Requests tokens from other hubs before a team runs out of them. */
export class Borrowing {
  readonly #clock: Clock;
  readonly #accounts: Accounts;
  readonly #requests: PendingTokenRequests;

  constructor(
    clock: Clock,
    accounts: Accounts,
    requests: PendingTokenRequests,
  ) {
    this.#clock = clock;
    this.#accounts = accounts;
    this.#requests = requests;
  }

  /**
   * Starts to borrow for a team that is running out of tokens, unless an
   * attempt is running or its retry delay has not passed.
   */
  start(
    team: TeamId,
    account: TokenAccount,
    limits: TeamLimits,
    hubs: readonly TokenPeer[],
  ): void {
    const now = this.#clock.now();
    if (account.pendingBorrow !== undefined || now < account.nextBorrowAt) {
      return;
    }
    const threshold = Math.max(1, account.getDemand(BORROW_THRESHOLD_MS, now));
    if (account.level >= threshold || hubs.length === 0) return;
    account.pendingBorrow = this.#run(team, account, limits, hubs)
      .finally(() => {
        account.pendingBorrow = undefined;
      });
  }

  /**
   * Requests tokens from one hub after another until there is a whole token.
   */
  async #run(
    team: TeamId,
    account: TokenAccount,
    limits: TeamLimits,
    hubs: readonly TokenPeer[],
  ): Promise<void> {
    const deadlineAt = this.#clock.now() + BORROW_TIMEOUT_MS;
    for (let attempts = 0; attempts < hubs.length; attempts += 1) {
      const hub = hubs[account.lenderIndex % hubs.length];
      const now = this.#clock.now();
      if (hub === undefined || now >= deadlineAt) break;
      const wanted = Math.max(1, account.getDemand(RESERVED_DEMAND_MS, now));
      const { share } = this.#accounts;
      const count = account.startBorrow(wanted, limits, share, now);
      const request = { team, count, spare: 0 };
      const grant = await this.#requests.send(hub, request, deadlineAt - now);
      account.completeBorrow(grant?.count ?? 0);
      if (account.level >= 1) {
        account.borrowDelayMs = 0;
        return;
      }
      account.lenderIndex += 1;
    }
    account.borrowDelayMs = Math.min(
      BORROW_RETRY_MAX_MS,
      Math.max(BORROW_RETRY_MIN_MS, 2 * account.borrowDelayMs),
    );
    account.nextBorrowAt = this.#clock.now() + account.borrowDelayMs;
  }
}
