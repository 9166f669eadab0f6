/**
 * Tokens of one team on one VM.
 *
 * Implements escrow: every token belongs to one VM before it is spent. A VM
 * that sends tokens to another one first deducts them from its own account. A
 * token that is lost in transit, or with a VM that dies, is lost to the team.
 */
import { OutstandingTokens } from "./outstanding_tokens.ts";
import { RateMeter } from "./rate_meter.ts";

/** Rate and burst of a team; each request costs one token. */
export interface TeamLimits {
  readonly ratePerSecond: number;
  readonly burst: number;
}

/** Share of every team's quota that one VM manages. */
export interface AccountShare {
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
  readonly undelegatedMs: number;
  /** Number of VMs that share the quota. */
  readonly totalVms: number;
}

/**
 * Time constant of the demand's moving average, in milliseconds; a failure
 * domain receives a few requests of a team in this time.
 */
const DEMAND_TIME_CONSTANT_MS = 1_000;
/**
 * Minimum number of requests expected per VM for a follower to prefetch a
 * token.
 */
const PREFETCH_DEMAND_MIN = 2;
const MS_PER_SECOND = 1_000;

/** Tracks the available tokens of a team and the demand for them. */
export class TokenAccount {
  /** Tokens that followers have prefetched. */
  readonly outstanding = new OutstandingTokens();
  readonly #demand = new RateMeter(DEMAND_TIME_CONSTANT_MS);
  #level = 0;
  /** Refill total that has been turned into tokens, in milliseconds. */
  #refilledMs: number;
  /** Tokens being borrowed from another hub; capacity is reserved for them. */
  #incoming = 0;
  /** Number of requests that wait for the next tokens. */
  #waiters = 0;
  /**
   * Resolves when the running attempt to borrow from other hubs ends, whether
   * or not they lent tokens; undefined if none is running.
   */
  pendingBorrow: Promise<void> | undefined;
  /**
   * Monotonic time from which the next attempt to borrow may start, and the
   * delay after the last failed attempt, in milliseconds; 0 after a successful
   * one.
   */
  nextBorrowAt = -Infinity;
  borrowDelayMs = 0;
  /**
   * Index of the hub that receives the first request, modulo the number of
   * other hubs; it stays at the hub that lent last.
   */
  lenderIndex = 0;

  /** Creates an empty account that refills from a refill total on. */
  constructor(refilledMs: number) {
    this.#refilledMs = refilledMs;
  }

  /** Number of available tokens. */
  get level(): number {
    return this.#level;
  }

  /** Refill total that has been turned into tokens, in milliseconds. */
  get refilledMs(): number {
    return this.#refilledMs;
  }

  /**
   * Refills tokens from the growth of the refill total, up to the capacity of
   * this VM's share.
   */
  update(
    limits: TeamLimits,
    share: AccountShare,
    refilledMs: number,
    now: number,
  ): void {
    const refilled = limits.ratePerSecond * (refilledMs - this.#refilledMs) /
      MS_PER_SECOND;
    this.#refilledMs = refilledMs;
    const capacity = this.#computeCapacity(limits, share, now);
    const formerCapacity = this.#computeCapacity(
      limits,
      { ...share, vms: share.formerVms },
      now,
    );
    const retained = Math.min(this.#level, formerCapacity);
    this.#level = Math.max(
      retained,
      Math.min(this.#level + refilled, capacity),
    );
  }

  /**
   * Acquires a token that a follower prefetches and caches for `ttlMs`
   * milliseconds. Does so only if followers are likely to use theirs in that
   * time and at least half of the capacity remains for requests that need a
   * token now.
   */
  acquirePrefetch(
    limits: TeamLimits,
    share: AccountShare,
    ttlMs: number,
    now: number,
  ): boolean {
    const demandPerVm = this.getDemand(ttlMs, now) / share.vms;
    const halfCapacity = this.#computeCapacity(limits, share, now) / 2;
    if (demandPerVm < PREFETCH_DEMAND_MIN || this.#level - 1 < halfCapacity) {
      return false;
    }
    return this.acquire();
  }

  /** Acquires a token, if there is one beyond those that requests wait for. */
  acquire(): boolean {
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
  acquireAsWaiter(): boolean {
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
  recordRequest(now: number): void {
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
   * `reserved` are not lent, or half if that is fewer: the borrower has none.
   */
  lend(wanted: number, reserved: number): number {
    const available = Math.max(this.#level / 2, this.#level - reserved);
    const count = Math.min(wanted, available);
    this.#level -= count;
    return count;
  }

  /** Reserves capacity for tokens of another hub; returns how many fit. */
  startBorrow(
    wanted: number,
    limits: TeamLimits,
    share: AccountShare,
    now: number,
  ): number {
    const headroom = this.#computeCapacity(limits, share, now) - this.#level;
    this.#incoming = Math.max(0, Math.min(wanted, headroom));
    return this.#incoming;
  }

  /** Adds the tokens that another hub lent; 0 if it lent none in time. */
  completeBorrow(count: number): void {
    this.#level += Math.min(count, this.#incoming);
    this.#incoming = 0;
  }

  /** Computes the time until the next token is free, in milliseconds. */
  computeWaitMs(limits: TeamLimits, share: AccountShare): number {
    const canBorrow = this.borrowDelayMs === 0;
    const rateRatio = canBorrow ? 1 : share.vms / share.totalVms;
    const missing = Math.max(0, 1 + this.#waiters - this.#level);
    return MS_PER_SECOND * missing / (limits.ratePerSecond * rateRatio);
  }

  /**
   * Computes the maximum number of tokens in this account. Tokens that are
   * being borrowed or that followers have prefetched reduce it, and so does the
   * refill time that followers have not delegated yet.
   */
  #computeCapacity(
    limits: TeamLimits,
    share: AccountShare,
    now: number,
  ): number {
    const { ratePerSecond, burst } = limits;
    const undelegated = ratePerSecond * share.undelegatedMs / MS_PER_SECOND;
    const capacity = (burst * share.vms - undelegated) / share.totalVms;
    const elsewhere = this.#incoming + this.outstanding.count(now);
    return Math.max(0, Math.max(1, capacity) - elsewhere);
  }
}
