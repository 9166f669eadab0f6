/** Quota service: a team's rate and burst over all VMs together. */
import type { Preset, Team, TeamId } from "../../model/mod.ts";
import type { Clock } from "../clock/mod.ts";
import { Mint } from "./mint.ts";
import { LimitKind } from "./team_limiter.ts";
import type { LimitDecision, TeamLimiter } from "./team_limiter.ts";
import { TokenAccount } from "./token_account.ts";
import type { AccountPart, TeamLimits } from "./token_account.ts";
import { AskerKind, StandingKind } from "./token_exchange.ts";
import type {
  Standing,
  TokenAsk,
  TokenExchange,
  TokenGrant,
  TokenKeeper,
  TokenPeer,
} from "./token_exchange.ts";

export type { TeamLimits } from "./token_account.ts";

/** Teams whose accounts are kept; those used least recently are forgotten. */
const TEAMS_KEPT = 50_000;
/**
 * Time that a token has to come from the hub. A request waits for it, and one
 * that comes later is not spent, so it also bounds the tokens on their way.
 */
const ASK_TIMEOUT_MS = 400;
/** Time in which a VM without a hub finds one; a request waits so long for it. */
const SEARCH_WAIT_MS = 150;
/** Time for which a hub that answered too late is not asked; it doubles. */
const SLOW_HUB_MIN_MS = 1_000;
const SLOW_HUB_MAX_MS = 8_000;
/**
 * Time for which a VM holds a token ready, so that a request need not wait for
 * the hub; a domain finds another hub in less.
 */
const HOLD_MS = 4_000;
/** Time for which a hub lends tokens of its domain's coming demand to nobody. */
const KEPT_DEMAND_MS = 500;
/** Coming demand below which another domain's hub is asked for tokens. */
const LOW_DEMAND_MS = 300;
/** Time in which other domains' hubs must lend tokens: a round trip or two. */
const BORROW_TIMEOUT_MS = 100;
/** Shortest and longest time between two asks for one team to other hubs. */
const BORROW_MIN_MS = 50;
const BORROW_MAX_MS = 400;
/**
 * Time without a beat after which this VM stood still. Followers give up a
 * silent hub after 900 ms, and take their part of the tokens to the next one.
 */
const STOOD_STILL_MS = 700;
/**
 * Time for which a hub keeps the tokens of followers that vanished. Those that
 * live find another hub, which then has their part as well: what callers of this
 * VM spend meanwhile is beyond the limit.
 */
const KEEP_MS = 2_000;
/** Shortest and longest time after which a caller is asked to return. */
const RETRY_AFTER_MIN_MS = 50;
const RETRY_AFTER_MAX_MS = 2_000;
/** Longest time for which a follower that found no token does not ask again. */
const DRY_MAX_MS = 100;

/** What the service works with. */
export interface QuotaParts {
  readonly clock: Clock;
  /** Monotonic time at which this process began; it has spent nothing before. */
  readonly startedAt: number;
  readonly exchange: TokenExchange;
  /** Finds a team's limits in force; undefined for a team that is unknown. */
  readonly findLimits: (team: TeamId) => TeamLimits | undefined;
}

type HubStanding = Extract<Standing, { kind: StandingKind.Hub }>;

/** An ask that the hub has not answered. */
interface OpenAsk {
  readonly settle: (grant: TokenGrant | undefined) => void;
}

/** What a follower has of one team. */
interface Held {
  /** Tokens held ready, and until when they may be spent. */
  count: number;
  expiresAt: number;
  /** Whether the hub was asked for one to hold ready. */
  isAsked: boolean;
  /** When the hub, which had nothing, may be asked again. */
  dryUntil: number;
}

/** Spends tokens that this VM or its hub has, and passes tokens on. */
export class Quota implements TeamLimiter, TokenKeeper {
  readonly #parts: QuotaParts;
  readonly #mint: Mint;
  readonly #accounts = new Map<TeamId, TokenAccount>();
  readonly #openAsks = new Map<number, OpenAsk>();
  readonly #held = new Map<TeamId, Held>();
  #asks = 0;
  #slowHubUntil = -Infinity;
  #slowHubMs = SLOW_HUB_MIN_MS;
  #beatAt: number;
  /** Who had this VM's part at the last look, and of how many VMs it had it. */
  #standing = StandingKind.Alone;
  #partVms = 1;
  #formerVms = 1;
  #notLeftMs = 0;
  #formerUntil = -Infinity;
  /** Largest total of the mint of an account that was forgotten. */
  #forgottenAt = 0;

  /** Creates a service without a token. */
  constructor(parts: QuotaParts) {
    this.#parts = parts;
    this.#mint = new Mint(parts.startedAt);
    this.#beatAt = parts.clock.now();
    parts.exchange.setKeeper(this);
  }

  async take(team: Team, preset: Preset): Promise<LimitDecision> {
    const limits = resolveLimits(team, preset);
    if (limits.ratePerSecond === Infinity) {
      return { kind: LimitKind.Within, giveBack: () => {} };
    }
    const standing = this.#updateStanding();
    if (this.#takeHeld(team.id)) {
      if (standing.kind === StandingKind.Follower) {
        void this.#claimOfHub(team.id, standing.hub, 0);
      }
      return this.#createWithin(team.id, limits, standing.kind, 1);
    }
    return await this.#takeOf(team.id, limits, standing);
  }

  recordBeat(): void {
    this.#updateStanding();
    this.#beatAt = this.#parts.clock.now();
  }

  takeElapsed(): number {
    const standing = this.#updateStanding();
    switch (standing.kind) {
      case StandingKind.Alone:
      case StandingKind.Hub:
        return 0;
      case StandingKind.Follower:
        return this.#mint.takeElapsed(this.#parts.clock.now());
    }
  }

  addElapsed(ms: number): void {
    this.#updateStanding();
    const holders = this.#parts.exchange.countHolders();
    if (holders !== undefined) this.#mint.add(ms, holders);
  }

  answerAsk(ask: TokenAsk, asker: AskerKind, peer: TokenPeer): void {
    const { team, count, id } = ask;
    const standing = this.#updateStanding();
    const limits = this.#parts.findLimits(team);
    if (standing.kind !== StandingKind.Hub || limits === undefined) {
      return peer.sendGrant({ team, id, count: 0, waitMs: DRY_MAX_MS });
    }
    switch (asker) {
      case AskerKind.Follower:
        return void this.#answerFollower(ask, limits, standing, peer);
      case AskerKind.Hub: {
        const account = this.#getAccount(team, limits);
        const now = this.#parts.clock.now();
        const kept = account.getDemand(KEPT_DEMAND_MS, now);
        peer.sendGrant({
          team,
          id,
          count: account.lend(count, kept),
          waitMs: 0,
        });
      }
    }
  }

  /** Gives a follower tokens of its domain, or of another one. */
  async #answerFollower(
    { team, count, spare, id }: TokenAsk,
    limits: TeamLimits,
    standing: HubStanding,
    peer: TokenPeer,
  ): Promise<void> {
    const { clock } = this.#parts;
    if (spare > 0) {
      this.#getAccount(team, limits).holdings.set(peer.vm, 0, clock.now());
    }
    const isTaken = count > 0 &&
      await this.#takeOfAccount(team, limits, standing);
    const account = this.#getAccount(team, limits);
    const now = clock.now();
    const part = this.#getPart();
    const isHeld = spare > 0 &&
      account.takeSpare(limits, part, HOLD_MS, now);
    if (isHeld) account.holdings.set(peer.vm, 1, now + HOLD_MS);
    const given = (isTaken ? 1 : 0) + (isHeld ? 1 : 0);
    const waitMs = isTaken || count === 0
      ? 0
      : account.computeWaitMs(limits, part);
    peer.sendGrant({ team, id, count: given, waitMs });
  }

  applyGrant(grant: TokenGrant): void {
    this.#openAsks.get(grant.id)?.settle(grant);
  }

  addReturned(team: TeamId): void {
    const limits = this.#parts.findLimits(team);
    if (limits !== undefined) this.#getAccount(team, limits).add(1);
  }

  /** Takes a token of whoever has this VM's part. */
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

  /** Spends a token of this VM's own, or of its domain. */
  async #takeOwn(
    team: TeamId,
    limits: TeamLimits,
    standing: Standing,
  ): Promise<LimitDecision> {
    const tokens = this.#getAccount(team, limits).level;
    if (await this.#takeOfAccount(team, limits, standing)) {
      return this.#createWithin(team, limits, standing.kind, tokens);
    }
    if (isSearching(standing)) {
      await this.#parts.clock.sleep(SEARCH_WAIT_MS);
      const found = this.#updateStanding();
      if (!isSearching(found)) return await this.#takeOf(team, limits, found);
    }
    return createOver(
      this.#getAccount(team, limits).computeWaitMs(limits, this.#getPart()),
      this.#listInputs(limits, standing.kind, tokens),
    );
  }

  /** Takes a token of this VM's account, if need be once others have lent. */
  async #takeOfAccount(
    team: TeamId,
    limits: TeamLimits,
    standing: Standing,
  ): Promise<boolean> {
    const account = this.#getAccount(team, limits);
    account.recordAsked(this.#parts.clock.now());
    const isTaken = account.take();
    if (standing.kind !== StandingKind.Hub) return isTaken;
    this.#startBorrowing(team, account, limits, standing);
    if (isTaken || account.borrowing === undefined) return isTaken;
    await account.borrowing;
    return this.#getAccount(team, limits).take();
  }

  /** Asks the hub for a token, and waits for its answer. */
  async #takeOfHub(
    team: TeamId,
    limits: TeamLimits,
    hub: TokenPeer,
  ): Promise<LimitDecision> {
    const { clock } = this.#parts;
    const held = this.#getHeld(team);
    const dryMs = held.dryUntil - clock.now();
    if (dryMs > 0) {
      return createOver(
        dryMs,
        this.#listInputs(limits, StandingKind.Follower, 0),
      );
    }
    const grant = await this.#claimOfHub(team, hub, 1);
    if (grant === undefined) {
      this.#slowHubUntil = clock.now() + this.#slowHubMs;
      this.#slowHubMs = Math.min(SLOW_HUB_MAX_MS, 2 * this.#slowHubMs);
      return await this.#takeOwn(team, limits, this.#updateStanding());
    }
    this.#slowHubMs = SLOW_HUB_MIN_MS;
    if (this.#takeHeld(team)) {
      return this.#createWithin(
        team,
        limits,
        StandingKind.Follower,
        grant.count,
      );
    }
    held.dryUntil = clock.now() + Math.min(DRY_MAX_MS, grant.waitMs);
    return createOver(
      grant.waitMs,
      this.#listInputs(limits, StandingKind.Follower, 0),
    );
  }

  /**
   * Asks the hub for `count` tokens and for one to hold ready; undefined if it
   * does not answer in time. What it gives is held.
   */
  async #claimOfHub(
    team: TeamId,
    hub: TokenPeer,
    count: number,
  ): Promise<TokenGrant | undefined> {
    const askedAt = this.#parts.clock.now();
    const held = this.#getHeld(team);
    const spare = held.isAsked || held.count > 0 ? 0 : 1;
    if (spare > 0) held.isAsked = true;
    const grant = await this.#sendAsk(
      hub,
      { team, count, spare },
      ASK_TIMEOUT_MS,
    );
    if (spare > 0) held.isAsked = false;
    if (grant !== undefined && grant.count > 0) {
      held.count += grant.count;
      held.expiresAt = askedAt + HOLD_MS;
    }
    return grant;
  }

  /** Sends an ask; undefined if it is not answered within `ms`. */
  #sendAsk(
    peer: TokenPeer,
    ask: Omit<TokenAsk, "id">,
    ms: number,
  ): Promise<TokenGrant | undefined> {
    this.#asks += 1;
    const id = this.#asks;
    return new Promise((resolve) => {
      const settle = (grant: TokenGrant | undefined): void => {
        cancel();
        this.#openAsks.delete(id);
        resolve(grant);
      };
      const cancel = this.#parts.clock.startTimer(ms, () => settle(undefined));
      this.#openAsks.set(id, { settle });
      peer.sendAsk({ ...ask, id });
    });
  }

  #getHeld(team: TeamId): Held {
    const known = this.#held.get(team);
    const held = known ??
      { count: 0, expiresAt: 0, isAsked: false, dryUntil: -Infinity };
    this.#held.delete(team);
    this.#held.set(team, held);
    if (known === undefined && this.#held.size > TEAMS_KEPT) {
      const oldest = this.#held.keys().next();
      if (!oldest.done) this.#held.delete(oldest.value);
    }
    return held;
  }

  /** Spends a token that is held ready. */
  #takeHeld(team: TeamId): boolean {
    const held = this.#held.get(team);
    if (held === undefined || held.count < 1) return false;
    if (this.#parts.clock.now() >= held.expiresAt) {
      held.count = 0;
      return false;
    }
    held.count -= 1;
    return true;
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

  #giveBack(team: TeamId, limits: TeamLimits): void {
    const standing = this.#updateStanding();
    switch (standing.kind) {
      case StandingKind.Alone:
      case StandingKind.Hub:
        return this.#getAccount(team, limits).add(1);
      case StandingKind.Follower:
        return standing.hub.sendReturned(team);
    }
  }

  /** Begins to borrow of other domains' hubs when tokens run out here. */
  #startBorrowing(
    team: TeamId,
    account: TokenAccount,
    limits: TeamLimits,
    standing: HubStanding,
  ): void {
    const now = this.#parts.clock.now();
    if (account.borrowing !== undefined || now < account.borrowAt) return;
    const low = Math.max(1, account.getDemand(LOW_DEMAND_MS, now));
    if (account.level >= low || standing.hubs.length === 0) return;
    account.borrowing = this.#borrow(team, account, limits, standing.hubs)
      .finally(() => {
        account.borrowing = undefined;
      });
  }

  /** Asks other hubs one after the other until there is a whole token. */
  async #borrow(
    team: TeamId,
    account: TokenAccount,
    limits: TeamLimits,
    hubs: readonly TokenPeer[],
  ): Promise<void> {
    const { clock } = this.#parts;
    const startedAt = clock.now();
    for (let tries = 0; tries < hubs.length; tries += 1) {
      const hub = hubs[account.lender % hubs.length];
      const leftMs = startedAt + BORROW_TIMEOUT_MS - clock.now();
      if (hub === undefined || leftMs <= 0) break;
      this.#updateAccount(account, limits);
      const now = clock.now();
      const wanted = Math.max(1, account.getDemand(KEPT_DEMAND_MS, now));
      const count = account.openLoan(wanted, limits, this.#getPart(), now);
      const grant = await this.#sendAsk(hub, { team, count, spare: 0 }, leftMs);
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
    account.borrowAt = clock.now() + account.borrowDelayMs;
  }

  /** Gets a team's account, brought up to date. */
  #getAccount(team: TeamId, limits: TeamLimits): TokenAccount {
    const known = this.#accounts.get(team);
    const account = known ?? new TokenAccount(this.#forgottenAt);
    // The map keeps the order of use.
    this.#accounts.delete(team);
    this.#accounts.set(team, account);
    if (known === undefined) this.#removeOldest();
    this.#addOwnElapsed();
    this.#updateAccount(account, limits);
    return account;
  }

  /** Adds this VM's own time, which it has not left to a hub. */
  #addOwnElapsed(): void {
    const holders = this.#parts.exchange.countHolders();
    if (holders === undefined) return;
    const elapsed = this.#mint.takeElapsed(this.#parts.clock.now());
    this.#mint.add(elapsed, holders);
  }

  #removeOldest(): void {
    if (this.#accounts.size <= TEAMS_KEPT) return;
    const oldest = this.#accounts.entries().next();
    if (oldest.done) return;
    const [team, { minted }] = oldest.value;
    this.#forgottenAt = Math.max(this.#forgottenAt, minted);
    this.#accounts.delete(team);
  }

  #updateAccount(account: TokenAccount, limits: TeamLimits): void {
    account.update(
      limits,
      this.#getPart(),
      this.#mint.total,
      this.#parts.clock.now(),
    );
  }

  #getPart(): AccountPart {
    const holders = this.#parts.exchange.countHolders() ?? Infinity;
    return {
      vms: this.#partVms,
      formerVms: this.#formerVms,
      notLeftMs: this.#notLeftMs,
      holders,
    };
  }

  /**
   * Looks who has this VM's part, and takes tokens off that belong to followers
   * which have left.
   */
  #updateStanding(): Standing {
    const { clock, exchange } = this.#parts;
    const now = clock.now();
    const isHeldUp = now - this.#beatAt > STOOD_STILL_MS;
    const told = exchange.getStanding();
    const standing = now < this.#slowHubUntil &&
        told.kind === StandingKind.Follower
      ? { kind: StandingKind.Alone, isSearching: false } as const
      : told;
    const isHub = standing.kind === StandingKind.Hub && !isHeldUp;
    this.#notLeftMs = isHub ? standing.notLeftMs : 0;
    this.#updatePart(isHub ? 1 + standing.followers : 1, isHub, now);
    const isLeft = standing.kind === StandingKind.Follower &&
      this.#standing !== StandingKind.Follower;
    if (isLeft) this.#removeAllAccounts();
    this.#standing = standing.kind;
    return standing;
  }

  /** Records whose part this VM has, and takes off what is beyond it. */
  #updatePart(vms: number, keepsFormer: boolean, now: number): void {
    if (vms < this.#partVms) this.#formerUntil = now + KEEP_MS;
    this.#partVms = vms;
    const isKept = keepsFormer && now < this.#formerUntil;
    const former = isKept ? Math.max(vms, this.#formerVms) : vms;
    const isLess = former < this.#formerVms;
    this.#formerVms = former;
    if (isLess) this.#updateAllAccounts();
  }

  #updateAllAccounts(): void {
    for (const [team, account] of this.#accounts) {
      const limits = this.#parts.findLimits(team);
      if (limits !== undefined) this.#updateAccount(account, limits);
    }
  }

  /** Gives up all tokens; the hub has room for this VM's part from now on. */
  #removeAllAccounts(): void {
    this.#accounts.clear();
    this.#forgottenAt = this.#mint.total;
  }

  #listInputs(
    limits: TeamLimits,
    standing: StandingKind,
    tokens: number,
  ): Record<string, number | string> {
    return {
      ratePerSecond: limits.ratePerSecond,
      burst: limits.burst,
      standing,
      tokens: Number(tokens.toFixed(2)),
      part: this.#partVms,
      holders: this.#parts.exchange.countHolders() ?? 0,
    };
  }
}

function isSearching(standing: Standing): boolean {
  return standing.kind === StandingKind.Alone && standing.isSearching;
}

function createOver(
  waitMs: number,
  inputs: Record<string, number | string>,
): LimitDecision {
  const isFinite = Number.isFinite(waitMs);
  const boundedMs = isFinite ? waitMs : RETRY_AFTER_MAX_MS;
  const retryAfterMs = Math.min(
    RETRY_AFTER_MAX_MS,
    Math.max(RETRY_AFTER_MIN_MS, boundedMs),
  );
  return { kind: LimitKind.Over, retryAfterMs, inputs };
}

/** Resolves a team's limits under a preset. */
export function resolveLimits(team: Team, preset: Preset): TeamLimits {
  return {
    ratePerSecond: team.ratePerSecond * preset.rateFactor,
    burst: Math.max(1, team.burst * preset.rateFactor),
  };
}
