/** Borrows tokens from the hubs of other failure domains. */
import type { TeamId } from "../../model/mod.ts";
import type { Clock } from "../clock/mod.ts";
import type { Accounts } from "./accounts.ts";
import type { OpenAsks } from "./open_asks.ts";
import type { TeamLimits, TokenAccount } from "./token_account.ts";
import type { TokenPeer } from "./token_exchange.ts";

/**
 * Time whose expected demand a hub borrows for and does not lend to others, in
 * milliseconds.
 */
export const KEPT_DEMAND_MS = 500;
/**
 * Time whose expected demand the available tokens must cover, in milliseconds;
 * a hub with fewer tokens borrows.
 */
const LOW_DEMAND_MS = 300;
/** Timeout of one borrow attempt, in milliseconds: one or two round trips. */
const BORROW_TIMEOUT_MS = 100;
/**
 * Minimum and maximum delay after a failed borrow attempt for one team, in
 * milliseconds.
 */
const BORROW_MIN_MS = 50;
const BORROW_MAX_MS = 400;

/** Requests tokens from other hubs before a team runs out of them. */
export class Borrowing {
  readonly #clock: Clock;
  readonly #accounts: Accounts;
  readonly #asks: OpenAsks;

  constructor(clock: Clock, accounts: Accounts, asks: OpenAsks) {
    this.#clock = clock;
    this.#accounts = accounts;
    this.#asks = asks;
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
    if (account.borrowing !== undefined || now < account.borrowAt) return;
    const low = Math.max(1, account.getDemand(LOW_DEMAND_MS, now));
    if (account.level >= low || hubs.length === 0) return;
    account.borrowing = this.#run(team, account, limits, hubs)
      .finally(() => {
        account.borrowing = undefined;
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
    const endsAt = this.#clock.now() + BORROW_TIMEOUT_MS;
    for (let tries = 0; tries < hubs.length; tries += 1) {
      const hub = hubs[account.lender % hubs.length];
      const now = this.#clock.now();
      if (hub === undefined || now >= endsAt) break;
      const wanted = Math.max(1, account.getDemand(KEPT_DEMAND_MS, now));
      const { part } = this.#accounts;
      const count = account.openLoan(wanted, limits, part, now);
      const ask = { team, count, spare: 0 };
      const grant = await this.#asks.send(hub, ask, endsAt - now);
      account.settleLoan(grant?.count ?? 0);
      if (account.level >= 1) {
        account.borrowDelayMs = 0;
        return;
      }
      account.lender += 1;
    }
    account.borrowDelayMs = Math.min(
      BORROW_MAX_MS,
      Math.max(BORROW_MIN_MS, 2 * account.borrowDelayMs),
    );
    account.borrowAt = this.#clock.now() + account.borrowDelayMs;
  }
}
