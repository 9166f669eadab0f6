/**
 * Tokens of one team that one VM has.
 *
 * The pattern: escrow. A token is set aside by one VM before it is spent, and
 * moves to another one by a message that its sender has already paid for. One
 * that is lost on the way, or with a VM that dies, is lost to the team.
 */
import { Holdings } from "./holdings.ts";
import { RateMeter } from "./rate_meter.ts";

/** Limits of a team. */
export interface TeamLimits {
  readonly ratePerSecond: number;
  readonly burst: number;
}

/** The part of a team's tokens that one VM may have. */
export interface AccountPart {
  /** VMs whose part it is: this one, and those that left theirs to it. */
  readonly vms: number;
  /** The same while followers that vanished still count, as most have died. */
  readonly formerVms: number;
  /** Time of the followers that they have not left yet, in ms in sum. */
  readonly notLeftMs: number;
  /** All VMs that may have a part. */
  readonly holders: number;
}

/** Time for which what is asked counts; a domain sees a few requests in it. */
const DEMAND_FADE_MS = 1_000;
/** Requests expected at each VM from which on it may hold a token ready. */
const SPARE_DEMAND_MIN = 2;
const MS_PER_SECOND = 1_000;

/** Tokens that are there, and what is asked for. */
export class TokenAccount {
  /** Tokens that followers hold ready. */
  readonly holdings = new Holdings();
  readonly #demand = new RateMeter(DEMAND_FADE_MS);
  #level = 0;
  /** Total of the mint that has been made into tokens. */
  #minted: number;
  /** Tokens on their way from another hub, for which room is kept. */
  #loan = 0;
  /** Requests that wait for the next tokens, in their order. */
  #waiters = 0;
  /** Ends when other hubs have lent tokens, or not; undefined while unasked. */
  borrowing: Promise<void> | undefined;
  /** When other hubs may be asked again, and the delay after that. */
  borrowAt = -Infinity;
  borrowDelayMs = 0;
  /** Which of the other hubs is asked first: the one that lent last. */
  lender = 0;

  /** Creates an account without tokens, as of a mint's total. */
  constructor(minted: number) {
    this.#minted = minted;
  }

  /** Tokens that may be spent. */
  get level(): number {
    return this.#level;
  }

  /** Total of the mint up to which tokens were made. */
  get minted(): number {
    return this.#minted;
  }

  /** Makes tokens of the time that was added to the mint, within the part. */
  update(
    limits: TeamLimits,
    part: AccountPart,
    minted: number,
    now: number,
  ): void {
    const gained = limits.ratePerSecond * (minted - this.#minted) /
      MS_PER_SECOND;
    this.#minted = minted;
    const room = this.#computeRoom(limits, part, now);
    const former = this.#computeRoom(
      limits,
      { ...part, vms: part.formerVms },
      now,
    );
    const kept = Math.min(this.#level, former);
    this.#level = Math.max(kept, Math.min(this.#level + gained, room));
  }

  /**
   * Takes a token for a follower to hold ready for `holdMs`, if followers are
   * likely to need theirs in that time, and at least half of the room is left to
   * those that need one at once.
   */
  takeSpare(
    limits: TeamLimits,
    part: AccountPart,
    holdMs: number,
    now: number,
  ): boolean {
    const perVm = this.getDemand(holdMs, now) / part.vms;
    const half = this.#computeRoom(limits, part, now) / 2;
    if (perVm < SPARE_DEMAND_MIN || this.#level - 1 < half) return false;
    return this.take();
  }

  /** Spends one token, if there is one that no request waits for. */
  take(): boolean {
    if (this.#level < 1 + this.#waiters) return false;
    this.#level -= 1;
    return true;
  }

  /** Lets a request wait for the next token that is free. */
  addWaiter(): void {
    this.#waiters += 1;
  }

  /** Ends a request's wait; spends a token, if there is one. */
  takeAsWaiter(): boolean {
    this.#waiters -= 1;
    if (this.#level < 1) return false;
    this.#level -= 1;
    return true;
  }

  /** Adds tokens that were returned; the next update holds them to the part. */
  add(count: number): void {
    this.#level += count;
  }

  /** Records that a token was asked for. */
  recordAsked(now: number): void {
    this.#demand.add(1, now);
  }

  /** Gets the tokens that are asked for in `ms` milliseconds. */
  getDemand(ms: number, now: number): number {
    return this.#demand.getPerSecond(now) * ms / MS_PER_SECOND;
  }

  /**
   * Lends what is there beyond `kept` tokens, at most `wanted`; half of the
   * tokens in any case, as the borrower has none.
   */
  lend(wanted: number, kept: number): number {
    const most = Math.max(this.#level / 2, this.#level - kept);
    const count = Math.min(wanted, most);
    this.#level -= count;
    return count;
  }

  /** Keeps room for tokens of another hub; returns how many fit. */
  openLoan(
    wanted: number,
    limits: TeamLimits,
    part: AccountPart,
    now: number,
  ): number {
    const room = this.#computeRoom(limits, part, now) - this.#level;
    this.#loan = Math.max(0, Math.min(wanted, room));
    return this.#loan;
  }

  /** Adds the tokens that another hub has lent; 0 if it gave none in time. */
  settleLoan(count: number): void {
    this.#level += Math.min(count, this.#loan);
    this.#loan = 0;
  }

  /** Computes when the next token is free, in milliseconds. */
  computeWaitMs(limits: TeamLimits, part: AccountPart): number {
    const isLent = this.borrowDelayMs === 0;
    const share = isLent ? 1 : part.vms / part.holders;
    const missing = Math.max(0, 1 + this.#waiters - this.#level);
    return MS_PER_SECOND * missing / (limits.ratePerSecond * share);
  }

  /**
   * Computes the most tokens that this VM may have. There is no room for those
   * on their way or held ready, nor for what followers gain until they leave it.
   */
  #computeRoom(limits: TeamLimits, part: AccountPart, now: number): number {
    const { ratePerSecond, burst } = limits;
    const notLeft = ratePerSecond * part.notLeftMs / MS_PER_SECOND;
    const room = (burst * part.vms - notLeft) / part.holders;
    const elsewhere = this.#loan + this.holdings.count(now);
    return Math.max(0, Math.max(1, room) - elsewhere);
  }
}
