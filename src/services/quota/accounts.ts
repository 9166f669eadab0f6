/** Accounts of all teams on one VM, and the part of their tokens that it has. */
import type { TeamId } from "../../model/mod.ts";
import type { Clock } from "../clock/mod.ts";
import { Mint } from "./mint.ts";
import { TokenAccount } from "./token_account.ts";
import type { AccountPart, TeamLimits } from "./token_account.ts";

/** Teams of which something is kept; those used least recently are forgotten. */
export const TEAMS_KEPT = 50_000;
/**
 * Time for which a hub keeps the tokens of followers that vanished. Those that
 * live find another hub, which then has their part as well: what callers of this
 * VM spend meanwhile is beyond the limit.
 */
const KEEP_MS = 2_000;

/** What the accounts are made with. */
export interface AccountsParts {
  readonly clock: Clock;
  /** Monotonic time at which this process began; it has spent nothing before. */
  readonly startedAt: number;
  /** Counts the VMs that may have a part; undefined while that is not known. */
  readonly countHolders: () => number | undefined;
  readonly findLimits: (team: TeamId) => TeamLimits | undefined;
}

/** Makes tokens of time, within the part of the burst that this VM has. */
export class Accounts {
  readonly #parts: AccountsParts;
  readonly #mint: Mint;
  readonly #byTeam = new Map<TeamId, TokenAccount>();
  #vms = 1;
  #formerVms = 1;
  #formerUntil = -Infinity;
  #notLeftMs = 0;
  /** Largest total of the mint of an account that was forgotten. */
  #forgottenAt = 0;

  /** Creates accounts without a token, with this VM's part alone. */
  constructor(parts: AccountsParts) {
    this.#parts = parts;
    this.#mint = new Mint(parts.startedAt);
  }

  /** The part that this VM has. */
  get part(): AccountPart {
    return {
      vms: this.#vms,
      formerVms: this.#formerVms,
      notLeftMs: this.#notLeftMs,
      holders: this.#parts.countHolders() ?? Infinity,
    };
  }

  /** Gets a team's account, brought up to date. */
  get(team: TeamId, limits: TeamLimits): TokenAccount {
    const known = this.#byTeam.get(team);
    const account = known ?? new TokenAccount(this.#forgottenAt);
    // The map keeps the order of use.
    this.#byTeam.delete(team);
    this.#byTeam.set(team, account);
    if (known === undefined) this.#removeOldest();
    this.addElapsed(this.takeElapsed());
    this.#update(account, limits);
    return account;
  }

  /**
   * Takes this VM's own time that no account was made of yet, in milliseconds;
   * none before it is known how many VMs share the rates.
   */
  takeElapsed(): number {
    if (this.#parts.countHolders() === undefined) return 0;
    return this.#mint.takeElapsed(this.#parts.clock.now());
  }

  /** Adds time of one VM that no other makes tokens of, in milliseconds. */
  addElapsed(ms: number): void {
    const holders = this.#parts.countHolders();
    if (holders !== undefined) this.#mint.add(ms, holders);
  }

  /**
   * Sets how many VMs' part this one has, and the time that they have not left
   * yet. What is beyond a smaller part is taken off, at once or, with
   * `keepsFormer`, after {@linkcode KEEP_MS}.
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

  /** Gives up all tokens. */
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
