/**
 * Quota service of a fleet: enforces each team's rate and burst across all VMs.
 * The hub of each failure domain manages its followers' shares of the quotas.
 */
import type { Preset, Team, TeamId } from "../../model/mod.ts";
import type { Clock } from "../clock/mod.ts";
import { Accounts } from "./accounts.ts";
import { Borrowing, RESERVED_DEMAND_MS } from "./borrowing.ts";
import {
  CACHED_TOKEN_TTL_MS,
  CachedTokens,
  EMPTY_BACKOFF_MAX_MS,
} from "./cached_tokens.ts";
import { PendingTokenRequests } from "./pending_token_requests.ts";
import { acquireUntilAborted, LimitKind } from "./team_limiter.ts";
import type { LimitDecision, TeamLimiter, TokenWait } from "./team_limiter.ts";
import type { TeamLimits } from "./token_account.ts";
import { QuotaRoleKind, RequesterKind } from "./token_exchange.ts";
import type {
  QuotaRole,
  TokenExchange,
  TokenGrant,
  TokenHandler,
  TokenPeer,
  TokenRequest,
} from "./token_exchange.ts";

/**
 * Maximum time that a request waits for an expected token, in milliseconds.
 * Together with the network delay of the hub's response, it must stay below the
 * time that a follower waits for that response.
 */
const TOKEN_WAIT_MAX_MS = 250;
/**
 * Time added to that wait, in milliseconds: followers delegate their refill
 * time in batches, so a token may arrive later than computed.
 */
const TOKEN_WAIT_SLACK_MS = 50;
/**
 * Time that a request waits while this VM searches for a hub, in milliseconds;
 * a VM finds one within this time.
 */
const HUB_SEARCH_WAIT_MS = 150;
/**
 * Minimum and maximum time without token requests to a hub that responded too
 * late, in milliseconds; the time doubles with each late response.
 */
const SLOW_HUB_BACKOFF_MIN_MS = 1_000;
const SLOW_HUB_BACKOFF_MAX_MS = 8_000;
/**
 * Maximum time between two ticks, in milliseconds; a longer gap means that this
 * process was paused. Followers close the link to a hub that is unresponsive
 * for 900 ms, and the next hub then manages their share of the tokens.
 */
const MAX_TICK_GAP_MS = 700;
/**
 * Minimum and maximum time after which a caller should retry, in milliseconds.
 */
const RETRY_AFTER_MIN_MS = 50;
const RETRY_AFTER_MAX_MS = 2_000;

/** Dependencies of {@linkcode Quota}. */
export interface QuotaDependencies {
  readonly clock: Clock;
  /**
   * Monotonic time at which this process started, in milliseconds. It has spent
   * no tokens before, so its refill time counts from then on.
   */
  readonly startedAt: number;
  readonly exchange: TokenExchange;
  /** Returns the limits in force for a team; undefined if it is unknown. */
  readonly findLimits: (team: TeamId) => TeamLimits | undefined;
}

type HubRole = Extract<QuotaRole, { kind: QuotaRoleKind.Hub }>;
type DecisionInputs = Record<string, number | string>;

/**
 * Admits requests with tokens of this VM or of its hub, and handles the token
 * requests of other VMs.
 */
export class Quota implements TeamLimiter, TokenHandler {
  readonly #deps: QuotaDependencies;
  readonly #accounts: Accounts;
  readonly #requests: PendingTokenRequests;
  readonly #cached: CachedTokens;
  readonly #borrowing: Borrowing;
  #slowHubUntil = -Infinity;
  #slowHubBackoffMs = SLOW_HUB_BACKOFF_MIN_MS;
  #lastTickAt: number;
  /** Role in the token exchange as of the last update. */
  #lastRoleKind = QuotaRoleKind.Standalone;

  /** Creates the service without any tokens. */
  constructor(deps: QuotaDependencies) {
    const { clock, exchange } = deps;
    this.#deps = deps;
    this.#accounts = new Accounts({
      ...deps,
      countTotalVms: () => exchange.countTotalVms(),
    });
    this.#requests = new PendingTokenRequests(clock);
    this.#cached = new CachedTokens(clock, this.#requests);
    this.#borrowing = new Borrowing(clock, this.#accounts, this.#requests);
    this.#lastTickAt = clock.now();
    exchange.setHandler(this);
  }

  acquire(team: Team, preset: Preset, wait: TokenWait): Promise<LimitDecision> {
    return acquireUntilAborted(
      wait.signal,
      () => this.#acquireBefore(team, preset, wait.deadlineAt),
    );
  }

  async #acquireBefore(
    team: Team,
    preset: Preset,
    deadlineAt: number,
  ): Promise<LimitDecision> {
    const limits = resolveLimits(team, preset);
    if (limits.ratePerSecond === Infinity) {
      return { kind: LimitKind.Within, refund: () => {} };
    }
    const role = this.#updateQuotaRole();
    if (this.#cached.acquire(team.id)) {
      if (role.kind === QuotaRoleKind.Follower) {
        void this.#cached.fetch(team.id, role.hub, 0);
      }
      return this.#createWithin(team.id, limits, role.kind, 1);
    }
    return await this.#acquireByRole(team.id, limits, role, deadlineAt);
  }

  recordTick(): void {
    this.#updateQuotaRole();
    this.#lastTickAt = this.#deps.clock.now();
  }

  collectElapsed(): number | undefined {
    const role = this.#updateQuotaRole();
    switch (role.kind) {
      case QuotaRoleKind.Standalone:
      case QuotaRoleKind.Hub:
        return undefined;
      case QuotaRoleKind.Follower:
        return this.#accounts.collectElapsed();
    }
  }

  addElapsed(ms: number): void {
    this.#updateQuotaRole();
    this.#accounts.addElapsed(ms);
  }

  handleRequest(
    request: TokenRequest,
    requester: RequesterKind,
    peer: TokenPeer,
  ): void {
    const { team, count, id } = request;
    const role = this.#updateQuotaRole();
    const limits = this.#deps.findLimits(team);
    if (role.kind !== QuotaRoleKind.Hub || limits === undefined) {
      return peer.sendGrant({ id, count: 0, waitMs: EMPTY_BACKOFF_MAX_MS });
    }
    switch (requester) {
      case RequesterKind.Follower:
        return void this.#handleFollowerRequest(request, limits, role, peer);
      case RequesterKind.Hub: {
        const account = this.#accounts.get(team, limits);
        const now = this.#deps.clock.now();
        const reserved = account.getDemand(RESERVED_DEMAND_MS, now);
        const lent = account.lend(count, reserved);
        return peer.sendGrant({ id, count: lent, waitMs: 0 });
      }
    }
  }

  applyGrant(grant: TokenGrant): void {
    this.#requests.applyGrant(grant);
  }

  addReturned(team: TeamId): void {
    const limits = this.#deps.findLimits(team);
    if (limits !== undefined) this.#accounts.get(team, limits).add(1);
  }

  /**
   * Responds to a follower with tokens of this failure domain, or with tokens
   * borrowed from another one.
   */
  async #handleFollowerRequest(
    { team, count, spare, id }: TokenRequest,
    limits: TeamLimits,
    role: HubRole,
    peer: TokenPeer,
  ): Promise<void> {
    const { clock } = this.#deps;
    if (spare > 0) {
      this.#accounts.get(team, limits).outstanding.set(peer.vm, 0, clock.now());
    }
    const isAcquired = count > 0 &&
      await this.#acquireFromAccount(team, limits, role);
    const account = this.#accounts.get(team, limits);
    const now = clock.now();
    const { share } = this.#accounts;
    const isPrefetched = spare > 0 &&
      account.acquirePrefetch(limits, share, CACHED_TOKEN_TTL_MS, now);
    if (isPrefetched) {
      account.outstanding.set(peer.vm, 1, now + CACHED_TOKEN_TTL_MS);
    }
    const isEmpty = count > 0 && !isAcquired;
    peer.sendGrant({
      id,
      count: (isAcquired ? 1 : 0) + (isPrefetched ? 1 : 0),
      waitMs: isEmpty ? this.#computeWaitMs(team, limits) : 0,
    });
  }

  /** Acquires a token from the VM that manages this VM's share. */
  async #acquireByRole(
    team: TeamId,
    limits: TeamLimits,
    role: QuotaRole,
    deadlineAt: number,
  ): Promise<LimitDecision> {
    switch (role.kind) {
      case QuotaRoleKind.Standalone:
      case QuotaRoleKind.Hub:
        return await this.#acquireLocal(team, limits, role, deadlineAt);
      case QuotaRoleKind.Follower:
        return await this.#acquireFromHub(team, limits, role.hub, deadlineAt);
    }
  }

  /**
   * Acquires a token from this VM's accounts; on a hub, they include the shares
   * of its followers.
   */
  async #acquireLocal(
    team: TeamId,
    limits: TeamLimits,
    role: QuotaRole,
    deadlineAt: number,
  ): Promise<LimitDecision> {
    const { clock } = this.#deps;
    const tokens = this.#accounts.get(team, limits).level;
    if (await this.#acquireFromAccount(team, limits, role, deadlineAt)) {
      return this.#createWithin(team, limits, role.kind, tokens);
    }
    const canSearch = clock.now() + HUB_SEARCH_WAIT_MS < deadlineAt;
    if (isSearching(role) && canSearch) {
      await clock.sleep(HUB_SEARCH_WAIT_MS);
      const newRole = this.#updateQuotaRole();
      if (!isSearching(newRole)) {
        return await this.#acquireByRole(team, limits, newRole, deadlineAt);
      }
    }
    const waitMs = this.#computeWaitMs(team, limits);
    return this.#createOver(limits, role.kind, tokens, waitMs);
  }

  /**
   * Acquires a token from this VM's account of a team; waits for one if it is
   * expected soon and before the deadline.
   */
  async #acquireFromAccount(
    team: TeamId,
    limits: TeamLimits,
    role: QuotaRole,
    deadlineAt = Infinity,
  ): Promise<boolean> {
    const { clock } = this.#deps;
    const account = this.#accounts.get(team, limits);
    account.recordRequest(clock.now());
    const isAcquired = account.acquire();
    if (role.kind === QuotaRoleKind.Hub) {
      this.#borrowing.start(team, account, limits, role.hubs);
    }
    if (isAcquired) return true;
    if (account.pendingBorrow !== undefined) {
      await account.pendingBorrow;
      if (this.#accounts.get(team, limits).acquire()) return true;
    }
    const waitMs = account.computeWaitMs(limits, this.#accounts.share);
    const sleepMs = waitMs + TOKEN_WAIT_SLACK_MS;
    if (waitMs > TOKEN_WAIT_MAX_MS) return false;
    if (clock.now() + sleepMs >= deadlineAt) return false;
    account.addWaiter();
    await clock.sleep(sleepMs);
    this.#updateQuotaRole();
    this.#accounts.get(team, limits);
    return account.acquireAsWaiter();
  }

  /** Requests a token from the hub and waits for the response. */
  async #acquireFromHub(
    team: TeamId,
    limits: TeamLimits,
    hub: TokenPeer,
    deadlineAt: number,
  ): Promise<LimitDecision> {
    const kind = QuotaRoleKind.Follower;
    const backoffMs = this.#cached.getBackoffMs(team);
    if (backoffMs > 0) return this.#createOver(limits, kind, 0, backoffMs);
    const grant = await this.#cached.fetch(team, hub, 1);
    if (grant === undefined) {
      this.#recordSlowHub();
      const role = this.#updateQuotaRole();
      return await this.#acquireLocal(team, limits, role, deadlineAt);
    }
    this.#slowHubBackoffMs = SLOW_HUB_BACKOFF_MIN_MS;
    if (this.#cached.acquire(team)) {
      return this.#createWithin(team, limits, kind, grant.count);
    }
    this.#cached.recordEmpty(team, grant.waitMs);
    return this.#createOver(limits, kind, 0, grant.waitMs);
  }

  /**
   * Makes this VM use its own share instead of the hub until a backoff time has
   * passed.
   */
  #recordSlowHub(): void {
    const now = this.#deps.clock.now();
    if (now < this.#slowHubUntil) return;
    this.#slowHubUntil = now + this.#slowHubBackoffMs;
    this.#slowHubBackoffMs = Math.min(
      SLOW_HUB_BACKOFF_MAX_MS,
      2 * this.#slowHubBackoffMs,
    );
  }

  #refund(team: TeamId, limits: TeamLimits): void {
    const role = this.#updateQuotaRole();
    switch (role.kind) {
      case QuotaRoleKind.Standalone:
      case QuotaRoleKind.Hub:
        return this.#accounts.get(team, limits).add(1);
      case QuotaRoleKind.Follower:
        return role.hub.sendReturned(team);
    }
  }

  /**
   * Updates this VM's quota role and share, and drops the tokens of followers
   * that have disconnected.
   */
  #updateQuotaRole(): QuotaRole {
    const role = this.#getQuotaRole();
    const tickGapMs = this.#deps.clock.now() - this.#lastTickAt;
    if (role.kind === QuotaRoleKind.Hub && tickGapMs <= MAX_TICK_GAP_MS) {
      const { followers, undelegatedMs } = role;
      this.#accounts.setShare(1 + followers, undelegatedMs, true);
    } else this.#accounts.setShare(1, 0, false);
    const isNewFollower = role.kind === QuotaRoleKind.Follower &&
      this.#lastRoleKind !== QuotaRoleKind.Follower;
    // From now on, the hub's capacity includes this VM's share.
    if (isNewFollower) this.#accounts.removeAll();
    this.#lastRoleKind = role.kind;
    return role;
  }

  #getQuotaRole(): QuotaRole {
    const { clock, exchange } = this.#deps;
    const role = exchange.getQuotaRole();
    const isSlow = clock.now() < this.#slowHubUntil;
    return isSlow && role.kind === QuotaRoleKind.Follower
      ? { kind: QuotaRoleKind.Standalone, isSearching: false }
      : role;
  }

  /** Computes the time after which a refused caller should retry. */
  #computeWaitMs(team: TeamId, limits: TeamLimits): number {
    const account = this.#accounts.get(team, limits);
    const waitMs = account.computeWaitMs(limits, this.#accounts.share);
    return Math.min(RETRY_AFTER_MAX_MS, Math.max(RETRY_AFTER_MIN_MS, waitMs));
  }

  #createWithin(
    team: TeamId,
    limits: TeamLimits,
    roleKind: QuotaRoleKind,
    tokens: number,
  ): LimitDecision {
    return {
      kind: LimitKind.Within,
      inputs: this.#listInputs(limits, roleKind, tokens),
      refund: () => this.#refund(team, limits),
    };
  }

  #createOver(
    limits: TeamLimits,
    roleKind: QuotaRoleKind,
    tokens: number,
    waitMs: number,
  ): LimitDecision {
    return {
      kind: LimitKind.Over,
      inputs: this.#listInputs(limits, roleKind, tokens),
      retryAfterMs: Math.max(RETRY_AFTER_MIN_MS, waitMs),
    };
  }

  #listInputs(
    { ratePerSecond, burst }: TeamLimits,
    roleKind: QuotaRoleKind,
    tokens: number,
  ): DecisionInputs {
    const { vms, totalVms } = this.#accounts.share;
    return {
      ratePerSecond,
      burst,
      standing: roleKind,
      tokens: Number(tokens.toFixed(2)),
      part: vms,
      holders: totalVms,
    };
  }
}

function isSearching(role: QuotaRole): boolean {
  return role.kind === QuotaRoleKind.Standalone && role.isSearching;
}

/** Returns a team's limits, scaled by a preset's rate factor. */
export function resolveLimits(team: Team, preset: Preset): TeamLimits {
  return {
    ratePerSecond: team.ratePerSecond * preset.rateFactor,
    burst: Math.max(1, team.burst * preset.rateFactor),
  };
}
