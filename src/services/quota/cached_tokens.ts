/** Tokens that a follower has cached from its hub, and when to request more. */
import type { TeamId } from "../../model/mod.ts";
import type { Clock } from "../clock/mod.ts";
import { MAX_TRACKED_TEAMS } from "./accounts.ts";
import type { PendingTokenRequests } from "./pending_token_requests.ts";
import type { TokenGrant, TokenPeer } from "./token_exchange.ts";

/**
 * Timeout of a token request to the hub, in milliseconds. A token that arrives
 * later is dropped, so the timeout also bounds the tokens in transit.
 */
const REQUEST_TIMEOUT_MS = 400;
/**
 * Time for which a follower caches a token, in milliseconds, so that a request
 * need not wait for the hub. A failure domain finds another hub in less time.
 */
export const CACHED_TOKEN_TTL_MS = 4_000;
/**
 * Maximum time without another request after the hub had no token, in
 * milliseconds.
 */
export const EMPTY_BACKOFF_MAX_MS = 100;

/** Cached tokens of one team. */
interface CacheEntry {
  /** Number of tokens that may be spent until `expiresAt`. */
  count: number;
  /** Monotonic time of expiry, in milliseconds. */
  expiresAt: number;
  /** Whether a request for a prefetched token is pending. */
  isPrefetchPending: boolean;
  /**
   * Monotonic time of the next permitted request after the hub had no token, in
   * milliseconds.
   */
  retryAt: number;
}

/** Requests tokens from the hub, and prefetches one for each team in use. */
export class CachedTokens {
  readonly #clock: Clock;
  readonly #requests: PendingTokenRequests;
  readonly #byTeam = new Map<TeamId, CacheEntry>();

  /** Creates an empty cache. */
  constructor(clock: Clock, requests: PendingTokenRequests) {
    this.#clock = clock;
    this.#requests = requests;
  }

  /** Spends a cached token; returns false if there is none. */
  acquire(team: TeamId): boolean {
    const entry = this.#byTeam.get(team);
    if (entry === undefined || entry.count < 1) return false;
    if (this.#clock.now() >= entry.expiresAt) {
      entry.count = 0;
      return false;
    }
    entry.count -= 1;
    return true;
  }

  /**
   * Returns the remaining backoff after the hub had no token, in milliseconds.
   */
  getBackoffMs(team: TeamId): number {
    const retryAt = this.#byTeam.get(team)?.retryAt ?? -Infinity;
    return Math.max(0, retryAt - this.#clock.now());
  }

  /**
   * Records that the hub has no token and expects one in `waitMs` milliseconds.
   */
  recordEmpty(team: TeamId, waitMs: number): void {
    const backoffMs = Math.min(EMPTY_BACKOFF_MAX_MS, waitMs);
    this.#getEntry(team).retryAt = this.#clock.now() + backoffMs;
  }

  /**
   * Requests `count` tokens from the hub, and one to prefetch; undefined if the
   * hub does not respond in time. Granted tokens are cached.
   */
  async fetch(
    team: TeamId,
    hub: TokenPeer,
    count: number,
  ): Promise<TokenGrant | undefined> {
    const requestedAt = this.#clock.now();
    const entry = this.#getEntry(team);
    const spare = entry.isPrefetchPending || entry.count > 0 ? 0 : 1;
    if (spare > 0) entry.isPrefetchPending = true;
    const request = { team, count, spare };
    const grant = await this.#requests.send(hub, request, REQUEST_TIMEOUT_MS);
    if (spare > 0) entry.isPrefetchPending = false;
    if (grant !== undefined && grant.count > 0) {
      entry.count += grant.count;
      entry.expiresAt = requestedAt + CACHED_TOKEN_TTL_MS;
    }
    return grant;
  }

  #getEntry(team: TeamId): CacheEntry {
    const existing = this.#byTeam.get(team);
    const entry = existing ??
      { count: 0, expiresAt: 0, isPrefetchPending: false, retryAt: -Infinity };
    // Maps iterate in insertion order: the least recently used comes first.
    this.#byTeam.delete(team);
    this.#byTeam.set(team, entry);
    if (existing === undefined && this.#byTeam.size > MAX_TRACKED_TEAMS) {
      const oldest = this.#byTeam.keys().next();
      if (!oldest.done) this.#byTeam.delete(oldest.value);
    }
    return entry;
  }
}
