/** Tokens that a follower has of its hub, and what the hub said last. */
import type { TeamId } from "../../model/mod.ts";
import type { Clock } from "../clock/mod.ts";
import { TEAMS_KEPT } from "./accounts.ts";
import type { OpenAsks } from "./open_asks.ts";
import type { TokenGrant, TokenPeer } from "./token_exchange.ts";

/**
 * Time that a token has to come from the hub. A request waits for it, and one
 * that comes later is not spent, so it also bounds the tokens on their way.
 */
const ASK_TIMEOUT_MS = 400;
/**
 * Time for which a VM holds a token ready, so that a request need not wait for
 * the hub; a domain finds another hub in less.
 */
export const HOLD_MS = 4_000;
/** Longest time for which a follower that found no token does not ask again. */
export const DRY_MAX_MS = 100;

/** What a follower has of one team. */
interface Held {
  /** Tokens that may be spent until `expiresAt`. */
  count: number;
  expiresAt: number;
  /** Whether the hub was asked for one to hold ready. */
  isAsked: boolean;
  /** When the hub, which had nothing, may be asked again. */
  dryUntil: number;
}

/** Asks the hub for tokens, and holds one ready for each team in use. */
export class HeldTokens {
  readonly #clock: Clock;
  readonly #asks: OpenAsks;
  readonly #byTeam = new Map<TeamId, Held>();

  /** Holds nothing yet. */
  constructor(clock: Clock, asks: OpenAsks) {
    this.#clock = clock;
    this.#asks = asks;
  }

  /** Spends a token that is held. */
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

  /** Gets how long the hub, which had nothing, is not asked, in milliseconds. */
  getDryMs(team: TeamId): number {
    const until = this.#byTeam.get(team)?.dryUntil ?? -Infinity;
    return Math.max(0, until - this.#clock.now());
  }

  /** Records that the hub has nothing, and expects a token in `waitMs`. */
  recordDry(team: TeamId, waitMs: number): void {
    const dryMs = Math.min(DRY_MAX_MS, waitMs);
    this.#getHeld(team).dryUntil = this.#clock.now() + dryMs;
  }

  /**
   * Asks the hub for `count` tokens, and for one to hold ready; undefined if it
   * does not answer in time. What it gives is held.
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
    // The map keeps the order of use.
    this.#byTeam.delete(team);
    this.#byTeam.set(team, held);
    if (known === undefined && this.#byTeam.size > TEAMS_KEPT) {
      const oldest = this.#byTeam.keys().next();
      if (!oldest.done) this.#byTeam.delete(oldest.value);
    }
    return held;
  }
}
