/** Token accounts of all teams on one VM, and this VM's share of the quotas. */
import type { TeamId } from "../../model/mod.ts";
import type { Clock } from "../clock/mod.ts";
import { Mint } from "./mint.ts";
import { TokenAccount } from "./token_account.ts";
import type { AccountPart, TeamLimits } from "./token_account.ts";

/** Maximum number of teams in memory; the least recently used are evicted. */
export const TEAMS_KEPT = 50_000;
/**
 * Time for which a hub retains the tokens of followers that disconnected, in
 * milliseconds. Followers that are still alive join another hub, which then has
 * their share too; tokens of that share spent here meanwhile exceed the limit.
 */
const KEEP_MS = 2_000;

/** Services and callbacks that {@linkcode Accounts} uses. */
export interface AccountsParts {
  readonly clock: Clock;
  /**
   * Monotonic time at which this process started, in milliseconds. It has spent
   * no tokens before, so its refill time counts from then on.
   */
  readonly startedAt: number;
  /** Counts the VMs that share the quotas; undefined while unknown. */
  readonly countHolders: () => number | undefined;
  /** Returns the limits in force for a team; undefined if it is unknown. */
  readonly findLimits: (team: TeamId) => TeamLimits | undefined;
}

/** Refills accounts from elapsed time, up to this VM's share of each burst. */
export class Accounts {
  readonly #parts: AccountsParts;
  readonly #mint: Mint;
  readonly #byTeam = new Map<TeamId, TokenAccount>();
  #vms = 1;
  #formerVms = 1;
  #formerUntil = -Infinity;
  #notLeftMs = 0;
  /**
   * Largest refill total of an evicted account, in milliseconds. New accounts
   * start there, so that eviction creates no tokens.
   */
  #forgottenAt = 0;

  /** Creates empty accounts, for this VM's own share only. */
  constructor(parts: AccountsParts) {
    this.#parts = parts;
    this.#mint = new Mint(parts.startedAt);
  }

  /** Share of the quotas that this VM manages. */
  get part(): AccountPart {
    return {
      vms: this.#vms,
      formerVms: this.#formerVms,
      notLeftMs: this.#notLeftMs,
      holders: this.#parts.countHolders() ?? Infinity,
    };
  }

  /** Returns a team's account, refilled up to now. */
  get(team: TeamId, limits: TeamLimits): TokenAccount {
    const known = this.#byTeam.get(team);
    const account = known ?? new TokenAccount(this.#forgottenAt);
    // Maps iterate in insertion order: the least recently used comes first.
    this.#byTeam.delete(team);
    this.#byTeam.set(team, account);
    if (known === undefined) this.#removeOldest();
    this.addElapsed(this.takeElapsed());
    this.#update(account, limits);
    return account;
  }

  /**
   * Collects this VM's elapsed time that was not refilled yet, in milliseconds;
   * 0 while the number of VMs that share the rates is unknown.
   */
  takeElapsed(): number {
    if (this.#parts.countHolders() === undefined) return 0;
    return this.#mint.takeElapsed(this.#parts.clock.now());
  }

  /**
   * Adds elapsed time of one VM, in milliseconds; no other VM refills from it.
   */
  addElapsed(ms: number): void {
    const holders = this.#parts.countHolders();
    if (holders !== undefined) this.#mint.add(ms, holders);
  }

  /**
   * Sets the number of VMs whose share this VM manages, and their time that
   * they have not delegated yet. Tokens beyond a smaller share are dropped: at
   * once or, with `keepsFormer`, after {@linkcode KEEP_MS}.
   */
  setPart(vms: number, notLeftMs: number, keepsFormer: boolean): void {
    const now = this.#parts.clock.now();
    if (vms < this.#vms) this.#formerUntil = now + KEEP_MS;
    this.#vms = vms;
    this.#notLeftMs = notLeftMs;
    const isKept = keepsFormer && now < this.#formerUntil;
    const former = isKept ? Math.max(vms, this.#formerVms) : vms;
    const isLess = former < this.#formerVms;
    this.#formerVms = former;
    if (isLess) this.#updateAll();
  }

  /** Drops all tokens. */
  removeAll(): void {
    this.#byTeam.clear();
    this.#forgottenAt = this.#mint.total;
  }

  #update(account: TokenAccount, limits: TeamLimits): void {
    const { clock } = this.#parts;
    account.update(limits, this.part, this.#mint.total, clock.now());
  }

  #updateAll(): void {
    for (const [team, account] of this.#byTeam) {
      const limits = this.#parts.findLimits(team);
      if (limits !== undefined) this.#update(account, limits);
    }
  }

  #removeOldest(): void {
    if (this.#byTeam.size <= TEAMS_KEPT) return;
    const oldest = this.#byTeam.entries().next();
    if (oldest.done) return;
    const [team, { minted }] = oldest.value;
    this.#forgottenAt = Math.max(this.#forgottenAt, minted);
    this.#byTeam.delete(team);
  }
}
