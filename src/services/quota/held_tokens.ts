/** Tokens that a follower has cached from its hub, and when to request more. */
import type { TeamId } from "../../model/mod.ts";
import type { Clock } from "../clock/mod.ts";
import { TEAMS_KEPT } from "./accounts.ts";
import type { OpenAsks } from "./open_asks.ts";
import type { TokenGrant, TokenPeer } from "./token_exchange.ts";

/**
 * Timeout of a token request to the hub, in milliseconds. A token that arrives
 * later is dropped, so the timeout also bounds the tokens in transit.
 */
const ASK_TIMEOUT_MS = 400;
/**
 * Time for which a follower caches a token, in milliseconds, so that a request
 * need not wait for the hub. A failure domain finds another hub in less time.
 */
export const HOLD_MS = 4_000;
/**
 * Maximum time without another request after the hub had no token, in
 * milliseconds.
 */
export const DRY_MAX_MS = 100;

/** Cached tokens of one team. */
interface Held {
  /** Number of tokens that may be spent until `expiresAt`. */
  count: number;
  expiresAt: number;
  /** Whether a request for a prefetched token is pending. */
  isAsked: boolean;
  /** Time of the next permitted request after the hub had no token. */
  dryUntil: number;
}

/** Requests tokens from the hub, and prefetches one for each team in use. */
export class HeldTokens {
  readonly #clock: Clock;
  readonly #asks: OpenAsks;
  readonly #byTeam = new Map<TeamId, Held>();

  /** Creates an empty cache. */
  constructor(clock: Clock, asks: OpenAsks) {
    this.#clock = clock;
    this.#asks = asks;
  }

  /** Spends a cached token; returns false if there is none. */
  take(team: TeamId): boolean {
    const held = this.#byTeam.get(team);
    if (held === undefined || held.count < 1) return false;
    if (this.#clock.now() >= held.expiresAt) {
      held.count = 0;
      return false;
    }
    held.count -= 1;
    return true;
  }

  /**
   * Returns the remaining backoff after the hub had no token, in milliseconds.
   */
  getDryMs(team: TeamId): number {
    const until = this.#byTeam.get(team)?.dryUntil ?? -Infinity;
    return Math.max(0, until - this.#clock.now());
  }

  /**
   * Records that the hub has no token and expects one in `waitMs` milliseconds.
   */
  recordDry(team: TeamId, waitMs: number): void {
    const dryMs = Math.min(DRY_MAX_MS, waitMs);
    this.#getHeld(team).dryUntil = this.#clock.now() + dryMs;
  }

  /**
   * Requests `count` tokens from the hub, and one to prefetch; undefined if the
   * hub does not respond in time. Granted tokens are cached.
   */
  async claim(
    team: TeamId,
    hub: TokenPeer,
    count: number,
  ): Promise<TokenGrant | undefined> {
    const askedAt = this.#clock.now();
    const held = this.#getHeld(team);
    const spare = held.isAsked || held.count > 0 ? 0 : 1;
    if (spare > 0) held.isAsked = true;
    const ask = { team, count, spare };
    const grant = await this.#asks.send(hub, ask, ASK_TIMEOUT_MS);
    if (spare > 0) held.isAsked = false;
    if (grant !== undefined && grant.count > 0) {
      held.count += grant.count;
      held.expiresAt = askedAt + HOLD_MS;
    }
    return grant;
  }

  #getHeld(team: TeamId): Held {
    const known = this.#byTeam.get(team);
    const held = known ??
      { count: 0, expiresAt: 0, isAsked: false, dryUntil: -Infinity };
    // Maps iterate in insertion order: the least recently used comes first.
    this.#byTeam.delete(team);
    this.#byTeam.set(team, held);
    if (known === undefined && this.#byTeam.size > TEAMS_KEPT) {
      const oldest = this.#byTeam.keys().next();
      if (!oldest.done) this.#byTeam.delete(oldest.value);
    }
    return held;
  }
}
