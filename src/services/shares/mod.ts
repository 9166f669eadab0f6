/**
 * Shares service of a cell: enforces each team's rate and burst with the tokens
 * of this VM's quota shards, and with tokens borrowed from peers.
 */
import { CLOCK_DRIFT_RATIO } from "../../constants.ts";
import type { Preset, Team, TeamId } from "../../model/mod.ts";
import { runWithTimeout, TIMED_OUT } from "../clock/mod.ts";
import type { Clock } from "../clock/mod.ts";
import type { Configuration } from "../configuration/mod.ts";
import type { FreshnessSource } from "../freshness/mod.ts";
import type { Membership, PeerState } from "../membership/mod.ts";
import { PeerMessageKind } from "../membership/peer_message.ts";
import type {
  BorrowRequest,
  BorrowResponse,
  OwnedShard,
} from "../membership/peer_message.ts";
import type { QuotaShards } from "../quota_shards/mod.ts";
import type {
  ShardBuckets,
  ShardLimit,
  ShardTeam,
} from "../quota_shards/shard_buckets.ts";
import { listRanked } from "../hashing/mod.ts";
import { createTeamShare, setBackoff } from "./team_share.ts";
import type { TeamShare } from "./team_share.ts";
import {
  getBorrowLifetimeMs,
  getShardLimit,
  listTeamShards,
} from "./team_limits.ts";

/** Dependencies of {@linkcode Shares}. */
export interface SharesDependencies {
  readonly clock: Clock;
  readonly configuration: Configuration;
  readonly freshness: FreshnessSource;
  readonly membership: Membership;
  readonly shards: QuotaShards;
}

/** Kinds of {@linkcode Grant}. */
export enum GrantKind {
  Granted = "granted",
  /** The team has used its rate and burst. */
  Refused = "refused",
  /**
   * Too few tokens, and this VM does not reach the owners of most of the team's
   * quota shards: the team may be within its rate.
   */
  Missing = "missing",
}

/** Decision on one request. */
export type Grant =
  | {
    readonly kind: GrantKind.Granted;
    /**
     * Quota shard that the token came from; undefined if it was borrowed or
     * combined from several shards.
     */
    readonly source: ShardBuckets | undefined;
  }
  | {
    readonly kind: GrantKind.Refused;
    /** Time after which a token is expected, in milliseconds. */
    readonly retryAfterMs: number;
  }
  | { readonly kind: GrantKind.Missing };

/** Tokens and demand of one team on this VM, for dumps. */
export interface ShareReport {
  readonly team: TeamId;
  readonly tokens: number;
  readonly borrowed: number;
  readonly demandPerSecond: number;
}

/** Numbers of messages sent to borrow and lend tokens, for benchmarks. */
export interface BorrowTraffic {
  requests: number;
  responses: number;
}

interface TeamShardLimits {
  readonly team: Team;
  readonly shardTeam: ShardTeam;
  readonly limit: ShardLimit;
}

/** Timeout of a token request to a peer, in milliseconds. */
const RESPONSE_TIMEOUT_MS = 40;
/** Maximum time of a search for tokens for one request, in milliseconds. */
const SEARCH_LIMIT_MS = 150;
/** Time whose expected demand is borrowed in advance, in milliseconds. */
const BORROW_AHEAD_MS = 50;
/** Time whose expected demand a lender reserves for itself, in milliseconds. */
const LENDER_RESERVE_MS = 50;
/**
 * Maximum number of token requests that a VM sends per second, over all teams.
 */
const TOKEN_REQUESTS_PER_SECOND = 100;
/** Maximum backoff of a peer that a request waits for, in milliseconds. */
const MAX_BACKOFF_WAIT_MS = 40;
const MS_PER_SECOND = 1_000;
/** Demand in requests per second at or below which an idle team is evicted. */
const IDLE_DEMAND_PER_SECOND = 0.001;

/** Spends, borrows and lends tokens of teams. */
export class Shares {
  readonly traffic: BorrowTraffic = { requests: 0, responses: 0 };
  readonly #deps: SharesDependencies;
  readonly #teams = new Map<TeamId, TeamShare>();
  readonly #pendingRequests = new Map<
    number,
    (response: BorrowResponse) => void
  >();
  #lastRequestId = 0;
  #requestBudget = TOKEN_REQUESTS_PER_SECOND;
  #budgetUpdatedAt = -Infinity;

  /** Creates the service and registers its message handlers. */
  constructor(deps: SharesDependencies) {
    this.#deps = deps;
    deps.membership.setHandler(
      PeerMessageKind.BorrowRequest,
      (request, peer) => this.#handleBorrowRequest(request, peer),
    );
    deps.membership.setHandler(
      PeerMessageKind.BorrowResponse,
      (response) => this.#pendingRequests.get(response.id)?.(response),
    );
  }

  /**
   * Admits one request of a team, if necessary with tokens borrowed from a
   * peer before its deadline at the monotonic time `deadlineAt`.
   */
  async acquire(
    team: Team,
    preset: Preset,
    deadlineAt = Infinity,
  ): Promise<Grant> {
    const { clock } = this.#deps;
    const share = this.#getShare(team.id);
    share.demand.add(clock.now());
    const granted = this.#acquireOne(team, preset, share);
    if (granted !== undefined) return granted;
    const endAt = Math.min(clock.now() + SEARCH_LIMIT_MS, deadlineAt);
    share.waiting += 1;
    try {
      while (clock.now() < endAt) {
        const backoffMs = this.#getBackoffMs(team, share);
        if (backoffMs > MAX_BACKOFF_WAIT_MS) break;
        if (clock.now() + backoffMs >= deadlineAt) break;
        if (backoffMs > 0) await clock.sleep(backoffMs);
        share.search ??= this.#runSearch(team, preset, share)
          .finally(() => share.search = undefined);
        const hasRequested = await share.search;
        const found = this.#acquireOne(team, preset, share);
        if (found !== undefined) return found;
        if (!hasRequested) break;
      }
    } finally {
      share.waiting -= 1;
    }
    if (!this.#isMajorityReachable(team)) return { kind: GrantKind.Missing };
    return {
      kind: GrantKind.Refused,
      retryAfterMs: Math.ceil(MS_PER_SECOND / team.ratePerSecond),
    };
  }

  /** Whether this VM and its reachable peers own most of the team's shards. */
  #isMajorityReachable(team: Team): boolean {
    const teamShards = listTeamShards(team);
    const reached = new Set(
      [...this.#deps.shards.listOwned(), ...this.#listReachableShards()]
        .map(({ index }) => index),
    );
    const count = teamShards.filter((index) => reached.has(index)).length;
    return count > teamShards.length / 2;
  }

  #listReachableShards(): OwnedShard[] {
    return this.#deps.membership.listReachable()
      .flatMap(({ shards }) => shards);
  }

  /** Refunds the token of a request that was not run. */
  refund(team: Team, preset: Preset, source: ShardBuckets): void {
    if (this.#deps.shards.findOwned(source.index) !== source) return;
    const { shardTeam, limit } = this.#getLimits(team, preset);
    const now = this.#deps.clock.now();
    source.refundTokens(shardTeam, limit, { tokens: 1, now });
  }

  /** Evicts the state of idle teams periodically, until `signal` aborts. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await this.#deps.clock.sleep(MS_PER_SECOND, signal);
      this.#removeIdle();
    }
  }

  /** Reports the teams that have sent requests recently. */
  getReport(): ShareReport[] {
    const now = this.#deps.clock.now();
    const { teams } = this.#deps.configuration.state;
    return [...this.#teams].flatMap(([id, share]) => {
      const team = teams.get(id);
      if (team === undefined) return [];
      return [{
        team: id,
        tokens: this.#sumLocalTokens(this.#getLimits(team), now),
        borrowed: share.borrowed.getTokens(now),
        demandPerSecond: share.demand.getPerSecond(now),
      }];
    });
  }

  #getShare(team: TeamId): TeamShare {
    const existing = this.#teams.get(team);
    if (existing !== undefined) return existing;
    const created = createTeamShare(this.#deps.clock.now());
    this.#teams.set(team, created);
    return created;
  }

  #getLimits(
    team: Team,
    preset: Preset = this.#deps.configuration.state.getPreset(),
  ): TeamShardLimits {
    const appliedAt = this.#deps.configuration.getAppliedAt(team.revision);
    return {
      team,
      shardTeam: { id: team.id, revision: team.revision, appliedAt },
      limit: getShardLimit(team, preset),
    };
  }

  /**
   * Acquires one whole token: a borrowed one, one of the fullest shard, or one
   * combined from borrowed tokens and several shards. Undefined if there are
   * too few tokens or the configuration is stale.
   */
  #acquireOne(
    team: Team,
    preset: Preset,
    share: TeamShare,
  ): Grant | undefined {
    if (!this.#deps.freshness.isFresh()) return undefined;
    const now = this.#deps.clock.now();
    const limits = this.#getLimits(team, preset);
    const borrowed = share.borrowed.getTokens(now);
    if (borrowed >= 1) {
      share.borrowed.acquire(1, now);
      return { kind: GrantKind.Granted, source: undefined };
    }
    const shards = this.#listOwnedShards(limits, now);
    const [fullest] = shards;
    if (fullest !== undefined && fullest.tokens >= 1) {
      fullest.shard.acquireTokens(limits.shardTeam, limits.limit, {
        tokens: 1,
        now,
      });
      return { kind: GrantKind.Granted, source: fullest.shard };
    }
    const localTokens = shards.reduce((sum, { tokens }) => sum + tokens, 0);
    if (localTokens + borrowed < 1) return undefined;
    const missing = 1 - share.borrowed.acquire(1, now);
    this.#acquireFrom(shards, limits, { tokens: missing, now });
    return { kind: GrantKind.Granted, source: undefined };
  }

  #acquireFrom(
    shards: readonly ShardTokens[],
    { shardTeam, limit }: TeamShardLimits,
    wanted: { readonly tokens: number; readonly now: number },
  ): void {
    let missing = wanted.tokens;
    for (const { shard, tokens } of shards) {
      const amount = Math.min(tokens, missing);
      shard.acquireTokens(shardTeam, limit, {
        tokens: amount,
        now: wanted.now,
      });
      missing -= amount;
    }
  }

  /** Lists the team's shards that this VM owns, the fullest first. */
  #listOwnedShards(
    { team, shardTeam, limit }: TeamShardLimits,
    now: number,
  ): ShardTokens[] {
    const owned: ShardTokens[] = [];
    for (const index of listTeamShards(team)) {
      const shard = this.#deps.shards.findOwned(index);
      if (shard === undefined) continue;
      owned.push({
        shard,
        tokens: shard.getTokens(shardTeam, limit, now),
      });
    }
    return owned.sort((left, right) => right.tokens - left.tokens);
  }

  #sumLocalTokens(limits: TeamShardLimits, now: number): number {
    return this.#listOwnedShards(limits, now)
      .reduce((sum, { tokens }) => sum + tokens, 0);
  }

  /**
   * Returns the time until a request may be sent to a peer, in milliseconds;
   * Infinity if there is no peer.
   */
  #getBackoffMs(team: Team, share: TeamShare): number {
    if (share.search !== undefined) return 0;
    const now = this.#deps.clock.now();
    const retryTimes = this.#listOwners(team)
      .map((peer) => share.retryAt.get(peer.vm) ?? now);
    return Math.max(0, Math.min(...retryTimes) - now);
  }

  /** Lists the reachable peers that own shards of the team. */
  #listOwners(team: Team): PeerState[] {
    const teamShards = new Set(listTeamShards(team));
    return this.#deps.membership.listReachable().filter((peer) =>
      peer.shards.some((shard) => teamShards.has(shard.index))
    );
  }

  /**
   * Lists the peers that own shards of the team and may have tokens.
   *
   * The peer whose last request is the oldest comes first: the shards of a peer
   * that gets no requests stay full, so their refill is lost to the team.
   */
  #listLenders(team: Team, share: TeamShare): PeerState[] {
    const now = this.#deps.clock.now();
    const lenders = this.#listOwners(team)
      .filter((peer) => (share.retryAt.get(peer.vm) ?? 0) <= now);
    return listRanked(
      lenders,
      (peer) => now - (share.requestedAt.get(peer.vm) ?? -Infinity),
    );
  }

  /**
   * Requests tokens from one peer after another until there are enough for all
   * waiting requests.
   *
   * Returns whether any request was sent; if not, another search is useless.
   */
  async #runSearch(
    team: Team,
    preset: Preset,
    share: TeamShare,
  ): Promise<boolean> {
    const { clock } = this.#deps;
    let hasRequested = false;
    for (const peer of this.#listLenders(team, share)) {
      const now = clock.now();
      const ahead = share.demand.getPerSecond(now) * BORROW_AHEAD_MS /
        MS_PER_SECOND;
      const limits = this.#getLimits(team, preset);
      const available = share.borrowed.getTokens(now) +
        this.#sumLocalTokens(limits, now);
      if (available >= share.waiting || !this.#acquireRequestSlot(now)) {
        return hasRequested;
      }
      const wanted = share.waiting + ahead - available;
      hasRequested = true;
      await this.#borrow(team, share, { peer, wanted, requestedAt: now });
    }
    return hasRequested;
  }

  /**
   * Deducts one token request from this VM's budget for all teams; returns
   * false if the budget is used up.
   */
  #acquireRequestSlot(now: number): boolean {
    const sinceMs = Math.min(MS_PER_SECOND, now - this.#budgetUpdatedAt);
    const refilled = sinceMs * TOKEN_REQUESTS_PER_SECOND / MS_PER_SECOND;
    this.#requestBudget = Math.min(
      TOKEN_REQUESTS_PER_SECOND,
      this.#requestBudget + refilled,
    );
    this.#budgetUpdatedAt = now;
    if (this.#requestBudget < 1) return false;
    this.#requestBudget -= 1;
    return true;
  }

  async #borrow(
    team: Team,
    share: TeamShare,
    attempt: BorrowAttempt,
  ): Promise<void> {
    const { clock } = this.#deps;
    const { peer, wanted, requestedAt } = attempt;
    share.requestedAt.set(peer.vm, requestedAt);
    const response = await this.#sendRequest(peer, team.id, wanted);
    const tokens = response?.tokens ?? 0;
    setBackoff(share, {
      vm: peer.vm,
      isSufficient: tokens >= Math.min(1, wanted),
      refillMs: computeRefillMs(team, peer),
      now: clock.now(),
    });
    if (response === undefined || tokens <= 0) return;
    const expiresAt = requestedAt + response.lifetimeMs;
    if (expiresAt <= clock.now()) return;
    share.borrowed.add(response.tokens, expiresAt);
  }

  async #sendRequest(
    peer: PeerState,
    team: TeamId,
    tokens: number,
  ): Promise<BorrowResponse | undefined> {
    const { clock, membership } = this.#deps;
    this.#lastRequestId += 1;
    this.traffic.requests += 1;
    const id = this.#lastRequestId;
    const received = new Promise<BorrowResponse>((resolve) =>
      this.#pendingRequests.set(id, resolve)
    );
    membership.send(peer, {
      kind: PeerMessageKind.BorrowRequest,
      id,
      team,
      tokens,
    });
    const response = await runWithTimeout(
      clock,
      RESPONSE_TIMEOUT_MS,
      () => received,
    );
    this.#pendingRequests.delete(id);
    return response === TIMED_OUT ? undefined : response;
  }

  /** Lends tokens that this VM's own callers are not expected to need soon. */
  #handleBorrowRequest(request: BorrowRequest, peer: PeerState): void {
    const team = this.#deps.configuration.state.teams.get(request.team);
    const tokens = team === undefined || !this.#deps.freshness.isFresh()
      ? 0
      : this.#lend(team, request.tokens);
    this.traffic.responses += 1;
    this.#deps.membership.send(peer, {
      kind: PeerMessageKind.BorrowResponse,
      id: request.id,
      tokens,
      lifetimeMs: team === undefined ? 0 : getBorrowLifetimeMs(team),
    });
  }

  /** Deducts tokens from this VM's shards; called before they are sent. */
  #lend(team: Team, wanted: number): number {
    const now = this.#deps.clock.now();
    const limits = this.#getLimits(team);
    const lifetimeMs = getBorrowLifetimeMs(team) * (1 + CLOCK_DRIFT_RATIO);
    const until = now + lifetimeMs;
    const demand = this.#teams.get(team.id)?.demand.getPerSecond(now) ?? 0;
    const reserve = demand * LENDER_RESERVE_MS / MS_PER_SECOND;
    const shards = this.#listOwnedShards(limits, now);
    const available = shards.reduce((sum, { tokens }) => sum + tokens, 0);
    const lent = Math.max(0, Math.min(wanted, available - reserve));
    let missing = lent;
    for (const { shard, tokens } of shards) {
      const amount = Math.min(tokens, missing);
      if (amount <= 0) break;
      shard.lendTokens(limits.shardTeam, limits.limit, {
        tokens: amount,
        now,
        until,
      });
      missing -= amount;
    }
    return lent;
  }

  #removeIdle(): void {
    const now = this.#deps.clock.now();
    const { teams } = this.#deps.configuration.state;
    for (const [id, share] of this.#teams) {
      if (share.waiting > 0 || share.search !== undefined) continue;
      if (share.demand.getPerSecond(now) > IDLE_DEMAND_PER_SECOND) continue;
      this.#teams.delete(id);
    }
    for (const shard of this.#deps.shards.listOwned()) {
      shard.removeFull((id) => {
        const team = teams.get(id);
        if (team === undefined) return true;
        const { shardTeam, limit } = this.#getLimits(team);
        const isRefilled = shard.isRefilled(shardTeam, limit, now);
        return isRefilled &&
          shard.getTokens(shardTeam, limit, now) >= limit.burst;
      });
    }
  }
}

/**
 * Computes the time in which a peer's shards refill one token, in milliseconds.
 */
function computeRefillMs(team: Team, peer: PeerState): number {
  const teamShards = listTeamShards(team);
  const ownedCount =
    peer.shards.filter(({ index }) => teamShards.includes(index)).length;
  return MS_PER_SECOND * teamShards.length / (team.ratePerSecond * ownedCount);
}

interface ShardTokens {
  readonly shard: ShardBuckets;
  readonly tokens: number;
}

interface BorrowAttempt {
  readonly peer: PeerState;
  readonly wanted: number;
  readonly requestedAt: number;
}
