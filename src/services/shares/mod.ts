/** Shares service: admits a team's requests within its rate and burst. */
import { CLOCK_DRIFT_RATIO } from "../../constants.ts";
import type { Preset, Team, TeamId } from "../../model/mod.ts";
import { EXPIRED, runWithin } from "../clock/mod.ts";
import type { Clock } from "../clock/mod.ts";
import type { Configuration } from "../configuration/mod.ts";
import type { FreshnessSource } from "../freshness/mod.ts";
import type { Membership, PeerState } from "../membership/mod.ts";
import { PeerMessageKind } from "../membership/peer_message.ts";
import type { LoanAnswer, LoanRequest } from "../membership/peer_message.ts";
import type { Seats } from "../seats/mod.ts";
import type { SeatLimit, SeatShare, SeatTeam } from "../seats/seat_share.ts";
import { listRanked } from "../hashing/mod.ts";
import { createTeamShare, setPause } from "./team_share.ts";
import type { TeamShare } from "./team_share.ts";
import {
  getLoanLifetimeMs,
  getSeatLimit,
  listHomeSeats,
} from "./team_limits.ts";

/** Services that {@linkcode Shares} uses. */
export interface SharesParts {
  readonly clock: Clock;
  readonly configuration: Configuration;
  readonly freshness: FreshnessSource;
  readonly membership: Membership;
  readonly seats: Seats;
}

/** Kinds of {@linkcode Grant}. */
export enum GrantKind {
  Granted = "granted",
  /** The team has used its rate and burst. */
  Refused = "refused",
  /** No reachable VM owns a quota shard of the team. */
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
    readonly source: SeatShare | undefined;
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

/** Number of messages for borrowed tokens, for benchmarks. */
export interface LoanTraffic {
  requests: number;
  answers: number;
}

interface TeamLimits {
  readonly team: Team;
  readonly seatTeam: SeatTeam;
  readonly limit: SeatLimit;
}

/** Timeout of a token request to a peer, in milliseconds. */
const ANSWER_TIMEOUT_MS = 40;
/** Maximum time of a search for tokens for one request, in milliseconds. */
const SEARCH_LIMIT_MS = 150;
/** Time whose expected demand is borrowed in advance, in milliseconds. */
const AHEAD_MS = 50;
/** Time whose expected demand a lender reserves for itself, in milliseconds. */
const RESERVE_MS = 50;
/**
 * Maximum number of token requests that a VM sends per second, over all teams.
 */
const ASKS_PER_SECOND = 100;
/** Maximum backoff of a peer that a request waits for, in milliseconds. */
const PAUSE_WORTH_MS = 40;
const MS_PER_SECOND = 1_000;
/** Demand in requests per second at or below which an idle team is evicted. */
const FORGET_DEMAND = 0.001;

/** Spends, borrows and lends tokens of teams. */
export class Shares {
  readonly traffic: LoanTraffic = { requests: 0, answers: 0 };
  readonly #parts: SharesParts;
  readonly #teams = new Map<TeamId, TeamShare>();
  readonly #asked = new Map<number, (answer: LoanAnswer) => void>();
  #askCount = 0;
  #asks = ASKS_PER_SECOND;
  #asksAt = -Infinity;

  /** Creates the service and registers its message handlers. */
  constructor(parts: SharesParts) {
    this.#parts = parts;
    parts.membership.setHandler(
      PeerMessageKind.LoanRequest,
      (request, peer) => this.#answerLoan(request, peer),
    );
    parts.membership.setHandler(
      PeerMessageKind.LoanAnswer,
      (answer) => this.#asked.get(answer.id)?.(answer),
    );
  }

  /**
   * Admits one request of a team, if necessary with tokens borrowed from a
   * peer.
   */
  async take(team: Team, preset: Preset): Promise<Grant> {
    const { clock } = this.#parts;
    const share = this.#getShare(team.id);
    share.demand.add(clock.now());
    const granted = this.#takeOne(team, preset, share);
    if (granted !== undefined) return granted;
    const endAt = clock.now() + SEARCH_LIMIT_MS;
    share.waiting += 1;
    try {
      while (clock.now() < endAt) {
        const pauseMs = this.#getPauseMs(team, share);
        if (pauseMs > PAUSE_WORTH_MS) break;
        if (pauseMs > 0) await clock.sleep(pauseMs);
        share.search ??= this.#runSearch(team, preset, share)
          .finally(() => share.search = undefined);
        const hasAsked = await share.search;
        const found = this.#takeOne(team, preset, share);
        if (found !== undefined) return found;
        if (!hasAsked) break;
      }
    } finally {
      share.waiting -= 1;
    }
    if (this.#hasNoSource(team)) return { kind: GrantKind.Missing };
    return {
      kind: GrantKind.Refused,
      retryAfterMs: Math.ceil(MS_PER_SECOND / team.ratePerSecond),
    };
  }

  /** Whether neither this VM nor a reachable peer owns a shard of the team. */
  #hasNoSource(team: Team): boolean {
    const home = new Set(listHomeSeats(team));
    const held = this.#parts.seats.listHeld();
    if (held.some((seat) => home.has(seat.index))) return false;
    return this.#listHolders(team).length === 0;
  }

  /** Refunds the token of a request that was not run. */
  giveBack(team: Team, preset: Preset, source: SeatShare): void {
    if (this.#parts.seats.findHeld(source.index) !== source) return;
    const { seatTeam, limit } = this.#getLimits(team, preset);
    const now = this.#parts.clock.now();
    source.addTokens(seatTeam, limit, { tokens: 1, now });
  }

  /** Evicts the state of idle teams periodically, until `signal` aborts. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await this.#parts.clock.sleep(MS_PER_SECOND, signal);
      this.#removeIdle();
    }
  }

  /** Reports the teams that have sent requests recently. */
  getReport(): ShareReport[] {
    const now = this.#parts.clock.now();
    const { teams } = this.#parts.configuration.state;
    return [...this.#teams].flatMap(([id, share]) => {
      const team = teams.get(id);
      if (team === undefined) return [];
      return [{
        team: id,
        tokens: this.#sumOwnTokens(this.#getLimits(team), now),
        borrowed: share.borrowed.getTokens(now),
        demandPerSecond: share.demand.getPerSecond(now),
      }];
    });
  }

  #getShare(team: TeamId): TeamShare {
    const existing = this.#teams.get(team);
    if (existing !== undefined) return existing;
    const created = createTeamShare(this.#parts.clock.now());
    this.#teams.set(team, created);
    return created;
  }

  #getLimits(
    team: Team,
    preset: Preset = this.#parts.configuration.state.getPreset(),
  ): TeamLimits {
    const appliedAt = this.#parts.configuration.getAppliedAt(team.revision);
    return {
      team,
      seatTeam: { id: team.id, revision: team.revision, appliedAt },
      limit: getSeatLimit(team, preset),
    };
  }

  /**
   * Acquires one whole token: a borrowed one, one of the fullest shard, or one
   * combined from borrowed tokens and several shards. Undefined if there are
   * too few tokens or the configuration is stale.
   */
  #takeOne(
    team: Team,
    preset: Preset,
    share: TeamShare,
  ): Grant | undefined {
    if (!this.#parts.freshness.isFresh()) return undefined;
    const now = this.#parts.clock.now();
    const limits = this.#getLimits(team, preset);
    const borrowed = share.borrowed.getTokens(now);
    if (borrowed >= 1) {
      share.borrowed.take(1, now);
      return { kind: GrantKind.Granted, source: undefined };
    }
    const seats = this.#listOwnSeats(limits, now);
    const [fullest] = seats;
    if (fullest !== undefined && fullest.tokens >= 1) {
      fullest.seat.takeTokens(limits.seatTeam, limits.limit, {
        tokens: 1,
        now,
      });
      return { kind: GrantKind.Granted, source: fullest.seat };
    }
    const own = seats.reduce((sum, { tokens }) => sum + tokens, 0);
    if (own + borrowed < 1) return undefined;
    const missing = 1 - share.borrowed.take(1, now);
    this.#takeFrom(seats, limits, { tokens: missing, now });
    return { kind: GrantKind.Granted, source: undefined };
  }

  #takeFrom(
    seats: readonly SeatTokens[],
    { seatTeam, limit }: TeamLimits,
    wanted: { readonly tokens: number; readonly now: number },
  ): void {
    let missing = wanted.tokens;
    for (const { seat, tokens } of seats) {
      const part = Math.min(tokens, missing);
      seat.takeTokens(seatTeam, limit, { tokens: part, now: wanted.now });
      missing -= part;
    }
  }

  /** Lists the team's shards that this VM owns, the fullest first. */
  #listOwnSeats(
    { team, seatTeam, limit }: TeamLimits,
    now: number,
  ): SeatTokens[] {
    const held: SeatTokens[] = [];
    for (const index of listHomeSeats(team)) {
      const seat = this.#parts.seats.findHeld(index);
      if (seat === undefined) continue;
      held.push({ seat, tokens: seat.getTokens(seatTeam, limit, now) });
    }
    return held.sort((left, right) => right.tokens - left.tokens);
  }

  #sumOwnTokens(limits: TeamLimits, now: number): number {
    return this.#listOwnSeats(limits, now)
      .reduce((sum, { tokens }) => sum + tokens, 0);
  }

  /**
   * Returns the time until a request may be sent to a peer, in milliseconds;
   * Infinity if there is no peer.
   */
  #getPauseMs(team: Team, share: TeamShare): number {
    if (share.search !== undefined) return 0;
    const now = this.#parts.clock.now();
    const times = this.#listHolders(team)
      .map((peer) => share.askAgainAt.get(peer.vm) ?? now);
    return Math.max(0, Math.min(...times) - now);
  }

  /** Lists the reachable peers that own shards of the team. */
  #listHolders(team: Team): PeerState[] {
    const home = new Set(listHomeSeats(team));
    return this.#parts.membership.listReached().filter((peer) =>
      peer.seats.some((seat) => home.has(seat.index))
    );
  }

  /**
   * Lists the peers that own shards of the team and may have tokens.
   *
   * The peer whose last request is the oldest comes first: the shards of a peer
   * that gets no requests stay full, so their refill is lost to the team.
   */
  #listLenders(team: Team, share: TeamShare): PeerState[] {
    const now = this.#parts.clock.now();
    const lenders = this.#listHolders(team)
      .filter((peer) => (share.askAgainAt.get(peer.vm) ?? 0) <= now);
    return listRanked(
      lenders,
      (peer) => now - (share.askedAt.get(peer.vm) ?? -Infinity),
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
    const { clock } = this.#parts;
    let hasAsked = false;
    for (const peer of this.#listLenders(team, share)) {
      const now = clock.now();
      const ahead = share.demand.getPerSecond(now) * AHEAD_MS / MS_PER_SECOND;
      const limits = this.#getLimits(team, preset);
      const present = share.borrowed.getTokens(now) +
        this.#sumOwnTokens(limits, now);
      if (present >= share.waiting || !this.#takeAsk(now)) return hasAsked;
      const wanted = share.waiting + ahead - present;
      hasAsked = true;
      await this.#borrow(team, share, { peer, wanted, askedAt: now });
    }
    return hasAsked;
  }

  /**
   * Deducts one token request from this VM's budget for all teams; returns
   * false if the budget is used up.
   */
  #takeAsk(now: number): boolean {
    const sinceMs = Math.min(MS_PER_SECOND, now - this.#asksAt);
    const filled = sinceMs * ASKS_PER_SECOND / MS_PER_SECOND;
    this.#asks = Math.min(ASKS_PER_SECOND, this.#asks + filled);
    this.#asksAt = now;
    if (this.#asks < 1) return false;
    this.#asks -= 1;
    return true;
  }

  async #borrow(
    team: Team,
    share: TeamShare,
    ask: Ask,
  ): Promise<void> {
    const { clock } = this.#parts;
    const { peer, wanted, askedAt } = ask;
    share.askedAt.set(peer.vm, askedAt);
    const answer = await this.#sendRequest(peer, team.id, wanted);
    const tokens = answer?.tokens ?? 0;
    setPause(share, {
      vm: peer.vm,
      isFull: tokens >= Math.min(1, wanted),
      gainMs: computeGainMs(team, peer),
      now: clock.now(),
    });
    if (answer === undefined || tokens <= 0) return;
    const until = askedAt + answer.lifetimeMs;
    if (until <= clock.now()) return;
    share.borrowed.add(answer.tokens, until);
  }

  async #sendRequest(
    peer: PeerState,
    team: TeamId,
    tokens: number,
  ): Promise<LoanAnswer | undefined> {
    const { clock, membership } = this.#parts;
    this.#askCount += 1;
    this.traffic.requests += 1;
    const id = this.#askCount;
    const answered = new Promise<LoanAnswer>((resolve) =>
      this.#asked.set(id, resolve)
    );
    membership.send(peer, {
      kind: PeerMessageKind.LoanRequest,
      id,
      team,
      tokens,
    });
    const answer = await runWithin(clock, ANSWER_TIMEOUT_MS, () => answered);
    this.#asked.delete(id);
    return answer === EXPIRED ? undefined : answer;
  }

  /** Lends tokens that this VM's own callers are not expected to need soon. */
  #answerLoan(request: LoanRequest, peer: PeerState): void {
    const team = this.#parts.configuration.state.teams.get(request.team);
    const tokens = team === undefined || !this.#parts.freshness.isFresh()
      ? 0
      : this.#lend(team, request.tokens);
    this.traffic.answers += 1;
    this.#parts.membership.send(peer, {
      kind: PeerMessageKind.LoanAnswer,
      id: request.id,
      tokens,
      lifetimeMs: team === undefined ? 0 : getLoanLifetimeMs(team),
    });
  }

  /** Deducts tokens from this VM's shards; called before they are sent. */
  #lend(team: Team, wanted: number): number {
    const now = this.#parts.clock.now();
    const limits = this.#getLimits(team);
    const lifetimeMs = getLoanLifetimeMs(team) * (1 + CLOCK_DRIFT_RATIO);
    const until = now + lifetimeMs;
    const demand = this.#teams.get(team.id)?.demand.getPerSecond(now) ?? 0;
    const reserve = demand * RESERVE_MS / MS_PER_SECOND;
    const seats = this.#listOwnSeats(limits, now);
    const present = seats.reduce((sum, { tokens }) => sum + tokens, 0);
    const lent = Math.max(0, Math.min(wanted, present - reserve));
    let missing = lent;
    for (const { seat, tokens } of seats) {
      const part = Math.min(tokens, missing);
      if (part <= 0) break;
      seat.takeLoan(limits.seatTeam, limits.limit, {
        tokens: part,
        now,
        until,
      });
      missing -= part;
    }
    return lent;
  }

  #removeIdle(): void {
    const now = this.#parts.clock.now();
    const { teams } = this.#parts.configuration.state;
    for (const [id, share] of this.#teams) {
      if (share.waiting > 0 || share.search !== undefined) continue;
      if (share.demand.getPerSecond(now) > FORGET_DEMAND) continue;
      this.#teams.delete(id);
    }
    for (const seat of this.#parts.seats.listHeld()) {
      seat.removeFull((id) => {
        const team = teams.get(id);
        if (team === undefined) return true;
        const { seatTeam, limit } = this.#getLimits(team);
        const isLazyFull = seat.isFilled(seatTeam, limit, now);
        return isLazyFull &&
          seat.getTokens(seatTeam, limit, now) >= limit.burst;
      });
    }
  }
}

/**
 * Computes the time in which a peer's shards refill one token, in milliseconds.
 */
function computeGainMs(team: Team, peer: PeerState): number {
  const home = listHomeSeats(team);
  const held = peer.seats.filter(({ index }) => home.includes(index)).length;
  return MS_PER_SECOND * home.length / (team.ratePerSecond * held);
}

interface SeatTokens {
  readonly seat: SeatShare;
  readonly tokens: number;
}

interface Ask {
  readonly peer: PeerState;
  readonly wanted: number;
  readonly askedAt: number;
}
