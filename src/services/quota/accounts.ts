/** Token accounts of all teams on one VM, and this VM's share of the quotas. */
import type { TeamId } from "../../model/mod.ts";
import type { Clock } from "../clock/mod.ts";
import { TokenRefill } from "./token_refill.ts";
import { TokenAccount } from "./token_account.ts";
import type { AccountShare, TeamLimits } from "./token_account.ts";

/** Maximum number of teams in memory; the least recently used are evicted. */
export const MAX_TRACKED_TEAMS = 50_000;
/**
 * Time for which a hub retains the tokens of followers that disconnected, in
 * milliseconds. Followers that are still alive join another hub, which then has
 * their share too; tokens of that share spent here meanwhile exceed the limit.
 */
const FORMER_SHARE_RETENTION_MS = 2_000;

/** Dependencies of {@linkcode Accounts}. */
export interface AccountsDependencies {
  readonly clock: Clock;
  /**
   * Monotonic time at which this process started, in milliseconds. It has spent
   * no tokens before, so its refill time counts from then on.
   */
  readonly startedAt: number;
  /** Counts the VMs that share the quotas; undefined while unknown. */
  readonly countTotalVms: () => number | undefined;
  /** Returns the limits in force for a team; undefined if it is unknown. */
  readonly findLimits: (team: TeamId) => TeamLimits | undefined;
}

/** Refills accounts from elapsed time, up to this VM's share of each burst. */
export class Accounts {
  readonly #deps: AccountsDependencies;
  readonly #refill: TokenRefill;
  readonly #byTeam = new Map<TeamId, TokenAccount>();
  #vms = 1;
  #formerVms = 1;
  #formerUntil = -Infinity;
  #undelegatedMs = 0;
  /**
   * Largest refill total of an evicted account, in milliseconds. New accounts
   * start there, so that eviction creates no tokens.
   */
  #evictedRefilledMs = 0;

  /** Creates empty accounts, for this VM's own share only. */
  constructor(deps: AccountsDependencies) {
    this.#deps = deps;
    this.#refill = new TokenRefill(deps.startedAt);
  }

  /** Share of the quotas that this VM manages. */
  get share(): AccountShare {
    return {
      vms: this.#vms,
      formerVms: this.#formerVms,
      undelegatedMs: this.#undelegatedMs,
      totalVms: this.#deps.countTotalVms() ?? Infinity,
    };
  }

  /** Returns a team's account, refilled up to now. */
  get(team: TeamId, limits: TeamLimits): TokenAccount {
    const existing = this.#byTeam.get(team);
    const account = existing ?? new TokenAccount(this.#evictedRefilledMs);
    // Maps iterate in insertion order: the least recently used comes first.
    this.#byTeam.delete(team);
    this.#byTeam.set(team, account);
    if (existing === undefined) this.#removeOldest();
    this.addElapsed(this.collectElapsed());
    this.#update(account, limits);
    return account;
  }

  /**
   * Collects this VM's elapsed time that was not refilled yet, in milliseconds;
   * 0 while the number of VMs that share the rates is unknown.
   */
  collectElapsed(): number {
    if (this.#deps.countTotalVms() === undefined) return 0;
    return this.#refill.collectElapsed(this.#deps.clock.now());
  }

  /**
   * Adds elapsed time of one VM, in milliseconds; no other VM refills from it.
   */
  addElapsed(ms: number): void {
    const totalVms = this.#deps.countTotalVms();
    if (totalVms !== undefined) this.#refill.add(ms, totalVms);
  }

  /**
   * Sets the number of VMs whose share this VM manages, and their time that
   * they have not delegated yet. Tokens beyond a smaller share are dropped: at
   * once or, with `retainsFormer`, after {@linkcode FORMER_SHARE_RETENTION_MS}.
   */
  setShare(vms: number, undelegatedMs: number, retainsFormer: boolean): void {
    const now = this.#deps.clock.now();
    if (vms < this.#vms) this.#formerUntil = now + FORMER_SHARE_RETENTION_MS;
    this.#vms = vms;
    this.#undelegatedMs = undelegatedMs;
    const isRetained = retainsFormer && now < this.#formerUntil;
    const formerVms = isRetained ? Math.max(vms, this.#formerVms) : vms;
    const isLess = formerVms < this.#formerVms;
    this.#formerVms = formerVms;
    if (isLess) this.#updateAll();
  }

  /** Drops all tokens. */
  removeAll(): void {
    this.#byTeam.clear();
    this.#evictedRefilledMs = this.#refill.totalMs;
  }

  #update(account: TokenAccount, limits: TeamLimits): void {
    const { clock } = this.#deps;
    account.update(limits, this.share, this.#refill.totalMs, clock.now());
  }

  #updateAll(): void {
    for (const [team, account] of this.#byTeam) {
      const limits = this.#deps.findLimits(team);
      if (limits !== undefined) this.#update(account, limits);
    }
  }

  #removeOldest(): void {
    if (this.#byTeam.size <= MAX_TRACKED_TEAMS) return;
    const oldest = this.#byTeam.entries().next();
    if (oldest.done) return;
    const [team, { refilledMs }] = oldest.value;
    this.#evictedRefilledMs = Math.max(this.#evictedRefilledMs, refilledMs);
    this.#byTeam.delete(team);
  }
}
