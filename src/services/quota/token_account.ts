/**
 * Tokens of one team on one VM.
 *
 * Implements escrow: every token belongs to one VM before it is spent. A VM
 * that sends tokens to another one first deducts them from its own account. A
 * token that is lost in transit, or with a VM that dies, is lost to the team.
 */
import { Holdings } from "./holdings.ts";
import { RateMeter } from "./rate_meter.ts";

/** Rate and burst of a team; each request costs one token. */
export interface TeamLimits {
  readonly ratePerSecond: number;
  readonly burst: number;
}

/** Share of every team's quota that one VM manages. */
export interface AccountPart {
  /**
   * Number of VMs whose share it is: this one and those that delegated theirs.
   */
  readonly vms: number;
  /**
   * The same number, including followers that disconnected recently; they still
   * count, because most of them have died.
   */
  readonly formerVms: number;
  /**
   * Time that the followers have not delegated yet, as a sum over them in
   * milliseconds.
   */
  readonly notLeftMs: number;
  /** Number of VMs that share the quota. */
  readonly holders: number;
}

/**
 * Time constant of the demand's moving average, in milliseconds; a failure
 * domain receives a few requests of a team in this time.
 */
const DEMAND_FADE_MS = 1_000;
/**
 * Minimum number of requests expected per VM for a follower to prefetch a
 * token.
 */
const SPARE_DEMAND_MIN = 2;
const MS_PER_SECOND = 1_000;

/** Tracks the available tokens of a team and the demand for them. */
export class TokenAccount {
  /** Tokens that followers have prefetched. */
  readonly holdings = new Holdings();
  readonly #demand = new RateMeter(DEMAND_FADE_MS);
  #level = 0;
  /** Refill total that has been turned into tokens, in milliseconds. */
  #minted: number;
  /** Tokens being borrowed from another hub; capacity is reserved for them. */
  #loan = 0;
  /** Number of requests that wait for the next tokens. */
  #waiters = 0;
  /**
   * Resolves when the running attempt to borrow from other hubs ends, whether
   * or not they lent tokens; undefined if none is running.
   */
  borrowing: Promise<void> | undefined;
  /**
   * Monotonic time from which the next attempt to borrow may start, and the
   * delay after the last failed attempt, in milliseconds; 0 after a successful
   * one.
   */
  borrowAt = -Infinity;
  borrowDelayMs = 0;
  /**
   * Index of the hub that receives the first request, modulo the number of
   * other hubs; it stays at the hub that lent last.
   */
  lender = 0;

  /** Creates an empty account that refills from a refill total on. */
  constructor(minted: number) {
    this.#minted = minted;
  }

  /** Number of available tokens. */
  get level(): number {
    return this.#level;
  }

  /** Refill total that has been turned into tokens, in milliseconds. */
  get minted(): number {
    return this.#minted;
  }

  /**
   * Refills tokens from the growth of the refill total, up to the capacity of
   * this VM's share.
   */
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
   * Acquires a token that a follower prefetches and caches for `holdMs`
   * milliseconds. Does so only if followers are likely to use theirs in that
   * time and at least half of the capacity remains for requests that need a
   * token now.
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

  /** Acquires a token, if there is one beyond those that requests wait for. */
  take(): boolean {
    if (this.#level < 1 + this.#waiters) return false;
    this.#level -= 1;
    return true;
  }

  /** Registers a request that waits for the next free token. */
  addWaiter(): void {
    this.#waiters += 1;
  }

  /**
   * Unregisters a waiting request; acquires a token for it, if there is one.
   */
  takeAsWaiter(): boolean {
    this.#waiters -= 1;
    if (this.#level < 1) return false;
    this.#level -= 1;
    return true;
  }

  /** Adds returned tokens; the next update limits them to this VM's share. */
  add(count: number): void {
    this.#level += count;
  }

  /** Records that a token was requested. */
  recordAsked(now: number): void {
    this.#demand.add(1, now);
  }

  /**
   * Returns the number of tokens expected to be requested in `ms` milliseconds.
   */
  getDemand(ms: number, now: number): number {
    return this.#demand.getPerSecond(now) * ms / MS_PER_SECOND;
  }

  /**
   * Lends up to `wanted` tokens and returns how many. Of the available tokens,
   * `kept` are not lent, or half if that is fewer: the borrower has none.
   */
  lend(wanted: number, kept: number): number {
    const most = Math.max(this.#level / 2, this.#level - kept);
    const count = Math.min(wanted, most);
    this.#level -= count;
    return count;
  }

  /** Reserves capacity for tokens of another hub; returns how many fit. */
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

  /** Adds the tokens that another hub lent; 0 if it lent none in time. */
  settleLoan(count: number): void {
    this.#level += Math.min(count, this.#loan);
    this.#loan = 0;
  }

  /** Computes the time until the next token is free, in milliseconds. */
  computeWaitMs(limits: TeamLimits, part: AccountPart): number {
    const isLent = this.borrowDelayMs === 0;
    const share = isLent ? 1 : part.vms / part.holders;
    const missing = Math.max(0, 1 + this.#waiters - this.#level);
    return MS_PER_SECOND * missing / (limits.ratePerSecond * share);
  }

  /**
   * Computes the maximum number of tokens in this account. Tokens that are
   * being borrowed or that followers have prefetched reduce it, and so does the
   * refill time that followers have not delegated yet.
   */
  #computeRoom(limits: TeamLimits, part: AccountPart, now: number): number {
    const { ratePerSecond, burst } = limits;
    const notLeft = ratePerSecond * part.notLeftMs / MS_PER_SECOND;
    const room = (burst * part.vms - notLeft) / part.holders;
    const elsewhere = this.#loan + this.holdings.count(now);
    return Math.max(0, Math.max(1, room) - elsewhere);
  }
}
