/** Quota service: enforces each team's rate and burst across all VMs. */
import type { Preset, Team, TeamId } from "../../model/mod.ts";
import type { Clock } from "../clock/mod.ts";
import { Accounts } from "./accounts.ts";
import { Borrowing, KEPT_DEMAND_MS } from "./borrowing.ts";
import { DRY_MAX_MS, HeldTokens, HOLD_MS } from "./held_tokens.ts";
import { OpenAsks } from "./open_asks.ts";
import { LimitKind } from "./team_limiter.ts";
import type { LimitDecision, TeamLimiter } from "./team_limiter.ts";
import type { TeamLimits } from "./token_account.ts";
import { AskerKind, StandingKind } from "./token_exchange.ts";
import type {
  Standing,
  TokenAsk,
  TokenExchange,
  TokenGrant,
  TokenKeeper,
  TokenPeer,
} from "./token_exchange.ts";

/**
 * Maximum time that a request waits for an expected token, in milliseconds.
 * Together with the network delay of the hub's response, it must stay below the
 * time that a follower waits for that response.
 */
const QUEUE_MAX_MS = 250;
/**
 * Time added to that wait, in milliseconds: followers delegate their refill
 * time in batches, so a token may arrive later than computed.
 */
const QUEUE_SLACK_MS = 50;
/**
 * Time that a request waits while this VM searches for a hub, in milliseconds;
 * a VM finds one within this time.
 */
const SEARCH_WAIT_MS = 150;
/**
 * Minimum and maximum time without token requests to a hub that responded too
 * late, in milliseconds; the time doubles with each late response.
 */
const SLOW_HUB_MIN_MS = 1_000;
const SLOW_HUB_MAX_MS = 8_000;
/**
 * Maximum time between two ticks, in milliseconds; a longer gap means that this
 * process was paused. Followers leave a hub that is unresponsive for 900 ms,
 * and the next hub then manages their share of the tokens.
 */
const STOOD_STILL_MS = 700;
/**
 * Minimum and maximum time after which a caller should retry, in milliseconds.
 */
const RETRY_AFTER_MIN_MS = 50;
const RETRY_AFTER_MAX_MS = 2_000;

/** Services and callbacks that {@linkcode Quota} uses. */
export interface QuotaParts {
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

type HubStanding = Extract<Standing, { kind: StandingKind.Hub }>;
type Inputs = Record<string, number | string>;

/**
 * Admits requests with tokens of this VM or of its hub, and handles the token
 * requests of other VMs.
 */
export class Quota implements TeamLimiter, TokenKeeper {
  readonly #parts: QuotaParts;
  readonly #accounts: Accounts;
  readonly #asks: OpenAsks;
  readonly #held: HeldTokens;
  readonly #borrowing: Borrowing;
  #slowHubUntil = -Infinity;
  #slowHubMs = SLOW_HUB_MIN_MS;
  #beatAt: number;
  /** Role in the token exchange as of the last update. */
  #standing = StandingKind.Alone;

  /** Creates the service without any tokens. */
  constructor(parts: QuotaParts) {
    const { clock, exchange } = parts;
    this.#parts = parts;
    this.#accounts = new Accounts({
      ...parts,
      countHolders: () => exchange.countHolders(),
    });
    this.#asks = new OpenAsks(clock);
    this.#held = new HeldTokens(clock, this.#asks);
    this.#borrowing = new Borrowing(clock, this.#accounts, this.#asks);
    this.#beatAt = clock.now();
    exchange.setKeeper(this);
  }

  async take(team: Team, preset: Preset): Promise<LimitDecision> {
    const limits = resolveLimits(team, preset);
    if (limits.ratePerSecond === Infinity) {
      return { kind: LimitKind.Within, giveBack: () => {} };
    }
    const standing = this.#updateStanding();
    if (this.#held.take(team.id)) {
      if (standing.kind === StandingKind.Follower) {
        void this.#held.claim(team.id, standing.hub, 0);
      }
      return this.#createWithin(team.id, limits, standing.kind, 1);
    }
    return await this.#takeOf(team.id, limits, standing);
  }

  recordBeat(): void {
    this.#updateStanding();
    this.#beatAt = this.#parts.clock.now();
  }

  takeElapsed(): number | undefined {
    const standing = this.#updateStanding();
    switch (standing.kind) {
      case StandingKind.Alone:
      case StandingKind.Hub:
        return undefined;
      case StandingKind.Follower:
        return this.#accounts.takeElapsed();
    }
  }

  addElapsed(ms: number): void {
    this.#updateStanding();
    this.#accounts.addElapsed(ms);
  }

  answerAsk(ask: TokenAsk, asker: AskerKind, peer: TokenPeer): void {
    const { team, count, id } = ask;
    const standing = this.#updateStanding();
    const limits = this.#parts.findLimits(team);
    if (standing.kind !== StandingKind.Hub || limits === undefined) {
      return peer.sendGrant({ id, count: 0, waitMs: DRY_MAX_MS });
    }
    switch (asker) {
      case AskerKind.Follower:
        return void this.#answerFollower(ask, limits, standing, peer);
      case AskerKind.Hub: {
        const account = this.#accounts.get(team, limits);
        const now = this.#parts.clock.now();
        const kept = account.getDemand(KEPT_DEMAND_MS, now);
        const lent = account.lend(count, kept);
        return peer.sendGrant({ id, count: lent, waitMs: 0 });
      }
    }
  }

  applyGrant(grant: TokenGrant): void {
    this.#asks.applyGrant(grant);
  }

  addReturned(team: TeamId): void {
    const limits = this.#parts.findLimits(team);
    if (limits !== undefined) this.#accounts.get(team, limits).add(1);
  }

  /**
   * Responds to a follower with tokens of this failure domain, or with tokens
   * borrowed from another one.
   */
  async #answerFollower(
    { team, count, spare, id }: TokenAsk,
    limits: TeamLimits,
    standing: HubStanding,
    peer: TokenPeer,
  ): Promise<void> {
    const { clock } = this.#parts;
    if (spare > 0) {
      this.#accounts.get(team, limits).holdings.set(peer.vm, 0, clock.now());
    }
    const isTaken = count > 0 &&
      await this.#takeOfAccount(team, limits, standing);
    const account = this.#accounts.get(team, limits);
    const now = clock.now();
    const { part } = this.#accounts;
    const isHeld = spare > 0 && account.takeSpare(limits, part, HOLD_MS, now);
    if (isHeld) account.holdings.set(peer.vm, 1, now + HOLD_MS);
    const isDry = count > 0 && !isTaken;
    peer.sendGrant({
      id,
      count: (isTaken ? 1 : 0) + (isHeld ? 1 : 0),
      waitMs: isDry ? this.#computeWaitMs(team, limits) : 0,
    });
  }

  /** Acquires a token from the VM that manages this VM's share. */
  async #takeOf(
    team: TeamId,
    limits: TeamLimits,
    standing: Standing,
  ): Promise<LimitDecision> {
    switch (standing.kind) {
      case StandingKind.Alone:
      case StandingKind.Hub:
        return await this.#takeOwn(team, limits, standing);
      case StandingKind.Follower:
        return await this.#takeOfHub(team, limits, standing.hub);
    }
  }

  /**
   * Acquires a token from this VM's accounts; on a hub, they include the shares
   * of its followers.
   */
  async #takeOwn(
    team: TeamId,
    limits: TeamLimits,
    standing: Standing,
  ): Promise<LimitDecision> {
    const tokens = this.#accounts.get(team, limits).level;
    if (await this.#takeOfAccount(team, limits, standing)) {
      return this.#createWithin(team, limits, standing.kind, tokens);
    }
    if (isSearching(standing)) {
      await this.#parts.clock.sleep(SEARCH_WAIT_MS);
      const found = this.#updateStanding();
      if (!isSearching(found)) return await this.#takeOf(team, limits, found);
    }
    const waitMs = this.#computeWaitMs(team, limits);
    return this.#createOver(limits, standing.kind, tokens, waitMs);
  }

  /**
   * Acquires a token from this VM's account of a team; waits for one if it is
   * expected soon.
   */
  async #takeOfAccount(
    team: TeamId,
    limits: TeamLimits,
    standing: Standing,
  ): Promise<boolean> {
    const { clock } = this.#parts;
    const account = this.#accounts.get(team, limits);
    account.recordAsked(clock.now());
    const isTaken = account.take();
    if (standing.kind === StandingKind.Hub) {
      this.#borrowing.start(team, account, limits, standing.hubs);
    }
    if (isTaken) return true;
    if (account.borrowing !== undefined) {
      await account.borrowing;
      if (this.#accounts.get(team, limits).take()) return true;
    }
    const waitMs = account.computeWaitMs(limits, this.#accounts.part);
    if (waitMs > QUEUE_MAX_MS) return false;
    account.addWaiter();
    await clock.sleep(waitMs + QUEUE_SLACK_MS);
    this.#updateStanding();
    this.#accounts.get(team, limits);
    return account.takeAsWaiter();
  }

  /** Requests a token from the hub and waits for the response. */
  async #takeOfHub(
    team: TeamId,
    limits: TeamLimits,
    hub: TokenPeer,
  ): Promise<LimitDecision> {
    const kind = StandingKind.Follower;
    const dryMs = this.#held.getDryMs(team);
    if (dryMs > 0) return this.#createOver(limits, kind, 0, dryMs);
    const grant = await this.#held.claim(team, hub, 1);
    if (grant === undefined) {
      this.#recordSlowHub();
      return await this.#takeOwn(team, limits, this.#updateStanding());
    }
    this.#slowHubMs = SLOW_HUB_MIN_MS;
    if (this.#held.take(team)) {
      return this.#createWithin(team, limits, kind, grant.count);
    }
    this.#held.recordDry(team, grant.waitMs);
    return this.#createOver(limits, kind, 0, grant.waitMs);
  }

  /**
   * Makes this VM use its own share instead of the hub until a backoff time has
   * passed.
   */
  #recordSlowHub(): void {
    const now = this.#parts.clock.now();
    if (now < this.#slowHubUntil) return;
    this.#slowHubUntil = now + this.#slowHubMs;
    this.#slowHubMs = Math.min(SLOW_HUB_MAX_MS, 2 * this.#slowHubMs);
  }

  #giveBack(team: TeamId, limits: TeamLimits): void {
    const standing = this.#updateStanding();
    switch (standing.kind) {
      case StandingKind.Alone:
      case StandingKind.Hub:
        return this.#accounts.get(team, limits).add(1);
      case StandingKind.Follower:
        return standing.hub.sendReturned(team);
    }
  }

  /**
   * Updates this VM's quota role and share, and drops the tokens of followers
   * that have left.
   */
  #updateStanding(): Standing {
    const standing = this.#getStanding();
    const stoodStillMs = this.#parts.clock.now() - this.#beatAt;
    if (
      standing.kind === StandingKind.Hub && stoodStillMs <= STOOD_STILL_MS
    ) {
      const { followers, notLeftMs } = standing;
      this.#accounts.setPart(1 + followers, notLeftMs, true);
    } else this.#accounts.setPart(1, 0, false);
    const isLeft = standing.kind === StandingKind.Follower &&
      this.#standing !== StandingKind.Follower;
    // From now on, the hub's capacity includes this VM's share.
    if (isLeft) this.#accounts.removeAll();
    this.#standing = standing.kind;
    return standing;
  }

  #getStanding(): Standing {
    const { clock, exchange } = this.#parts;
    const standing = exchange.getStanding();
    const isSlow = clock.now() < this.#slowHubUntil;
    return isSlow && standing.kind === StandingKind.Follower
      ? { kind: StandingKind.Alone, isSearching: false }
      : standing;
  }

  /** Computes the time after which a refused caller should retry. */
  #computeWaitMs(team: TeamId, limits: TeamLimits): number {
    const account = this.#accounts.get(team, limits);
    const waitMs = account.computeWaitMs(limits, this.#accounts.part);
    return Math.min(RETRY_AFTER_MAX_MS, Math.max(RETRY_AFTER_MIN_MS, waitMs));
  }

  #createWithin(
    team: TeamId,
    limits: TeamLimits,
    standing: StandingKind,
    tokens: number,
  ): LimitDecision {
    return {
      kind: LimitKind.Within,
      inputs: this.#listInputs(limits, standing, tokens),
      giveBack: () => this.#giveBack(team, limits),
    };
  }

  #createOver(
    limits: TeamLimits,
    standing: StandingKind,
    tokens: number,
    waitMs: number,
  ): LimitDecision {
    return {
      kind: LimitKind.Over,
      inputs: this.#listInputs(limits, standing, tokens),
      retryAfterMs: Math.max(RETRY_AFTER_MIN_MS, waitMs),
    };
  }

  #listInputs(
    { ratePerSecond, burst }: TeamLimits,
    standing: StandingKind,
    tokens: number,
  ): Inputs {
    const { vms, holders } = this.#accounts.part;
    return {
      ratePerSecond,
      burst,
      standing,
      tokens: Number(tokens.toFixed(2)),
      part: vms,
      holders,
    };
  }
}

function isSearching(standing: Standing): boolean {
  return standing.kind === StandingKind.Alone && standing.isSearching;
}

/** Returns a team's limits, scaled by a preset's rate factor. */
export function resolveLimits(team: Team, preset: Preset): TeamLimits {
  return {
    ratePerSecond: team.ratePerSecond * preset.rateFactor,
    burst: Math.max(1, team.burst * preset.rateFactor),
  };
}
