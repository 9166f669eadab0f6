/**
 * One VM's view of a team's token bucket, which all VMs draw from.
 *
 * The pattern: a replicated counter. Each VM subtracts what it admits at once
 * and what the others admit when it hears of it. Between two reports it spends
 * no more than its part of what was left, in proportion to what its callers ask
 * for, so that all VMs together do not spend the same tokens twice.
 */
import { RateMeter } from "./rate_meter.ts";

/** Limits of a team. */
export interface BucketLimits {
  readonly ratePerSecond: number;
  readonly burst: number;
}

/** What a VM knows of the rest of the fleet. */
export interface FleetView {
  /** VMs that live, this one included. */
  readonly vms: number;
  /** Time since the others' counts were heard, in milliseconds. */
  readonly heardMs: number;
}

/** Kinds of {@linkcode BucketDecision}. */
export enum BucketDecisionKind {
  Admitted = "admitted",
  Refused = "refused",
}

/** Whether one more request is admitted, and what decided it. */
export type BucketDecision =
  | {
    readonly kind: BucketDecisionKind.Admitted;
    /** Tokens that were left before, and this VM's part of the rate. */
    readonly level: number;
    readonly share: number;
    /** Whether it was within this VM's part of what was left. */
    readonly hasPart: boolean;
  }
  | {
    readonly kind: BucketDecisionKind.Refused;
    readonly retryAfterMs: number;
    /** Tokens that were left, and this VM's part of the rate, 0 to 1. */
    readonly level: number;
    readonly share: number;
  };

/** Age of the others' counts when they arrive: reports of two hubs. */
const REPORT_AGE_MS = 300;
/** Time without counts after which the others are not reckoned with. */
const ISOLATED_MS = 2_000;
/** Time constant of what is asked; one VM of many sees few requests. */
const ASKED_FADE_MS = 4_000;
/** Time constant of what is admitted, which may change with each report. */
const ADMITTED_FADE_MS = 1_000;
/** Tokens that a VM may save up of its share of the rate. */
const SHARE_TOKENS_MAX = 2;
/** Least part of the rate that is shared out while the bucket is overdrawn. */
const OVERDRAWN_RATIO_MIN = 0.25;
/** Shortest and longest time after which a caller is asked to return. */
const RETRY_AFTER_MIN_MS = 50;
const RETRY_AFTER_MAX_MS = 2_000;
const MS_PER_SECOND = 1_000;

/** Tokens of one team as one VM sees them. */
export class TeamBucket {
  readonly #ownAsked = new RateMeter(ASKED_FADE_MS);
  readonly #othersAsked = new RateMeter(ASKED_FADE_MS);
  readonly #othersAdmitted = new RateMeter(ADMITTED_FADE_MS);
  #level: number;
  /** Tokens that were left when the others were heard last. */
  #heardLevel: number;
  /** Rate of requests here at that time. */
  #heardOwnAsked = 0;
  /** Requests admitted here since then. */
  #unheardOwn = 0;
  /** Part of the rate that this VM has saved up. */
  #shareTokens: number;
  #updatedAt: number;

  /**
   * Creates a bucket that has filled for `filledMs`.
   *
   * A VM that has just started does not know what was spent before, which may be
   * all of it when every VM was restarted. It has saved up its part of the burst
   * among `vms`, lest many VMs spend a token each that only one of them has.
   */
  constructor(
    limits: BucketLimits,
    vms: number,
    filledMs: number,
    now: number,
  ) {
    const filled = limits.ratePerSecond * filledMs / MS_PER_SECOND;
    this.#level = Math.min(limits.burst, filled);
    this.#heardLevel = this.#level;
    this.#shareTokens = Math.min(1, limits.burst / Math.max(1, vms));
    this.#updatedAt = now;
  }

  /** Tokens that are left, as far as this VM knows; may be negative. */
  get level(): number {
    return this.#level;
  }

  /** Records what the other VMs admitted, and what was asked of them. */
  recordOthers(admitted: number, asked: number, now: number): void {
    this.#level -= admitted;
    this.#heardLevel = this.#level;
    this.#unheardOwn = 0;
    this.#heardOwnAsked = this.#ownAsked.getPerSecond(now);
    this.#othersAdmitted.add(admitted, now);
    this.#othersAsked.add(asked, now);
  }

  /**
   * Records that the others were not heard from `since` until now, and reckons
   * with what they admitted meanwhile: as much as before.
   */
  recordUnheard(since: number, now: number): void {
    const seconds = Math.min(now - since, ISOLATED_MS) / MS_PER_SECOND;
    this.recordOthers(
      this.#othersAdmitted.getPerSecond(since) * seconds,
      this.#othersAsked.getPerSecond(since) * seconds,
      now,
    );
  }

  /** Decides on one request. */
  take(limits: BucketLimits, fleet: FleetView, now: number): BucketDecision {
    const share = this.#computeShare(fleet, now);
    this.#updateTokens(limits, share, now);
    this.#ownAsked.add(1, now);
    const hasPart = fleet.heardMs < ISOLATED_MS &&
      this.#hasPart(share, fleet.heardMs, now);
    if (!hasPart && this.#shareTokens < 1) {
      return this.#refuse(limits, share);
    }
    const level = this.#level;
    this.#level -= 1;
    this.#unheardOwn += 1;
    if (!hasPart) this.#shareTokens -= 1;
    return { kind: BucketDecisionKind.Admitted, level, share, hasPart };
  }

  /**
   * Whether this VM's part of what was left is not spent yet.
   *
   * One request is admitted for each report even if the part is smaller, as
   * long as there is more than the others are likely to have spent meanwhile.
   */
  #hasPart(share: number, heardMs: number, now: number): boolean {
    const seconds = (heardMs + REPORT_AGE_MS) / MS_PER_SECOND;
    const unheard = this.#othersAdmitted.getPerSecond(now) * seconds;
    return this.#level - unheard >= 1 &&
      this.#unheardOwn + 1 <= Math.max(1, share * this.#heardLevel);
  }

  /** Gives back the token of a request that was not run. */
  giveBack(limits: BucketLimits): void {
    this.#level = Math.min(limits.burst, this.#level + 1);
    this.#shareTokens = Math.min(SHARE_TOKENS_MAX, this.#shareTokens + 1);
  }

  #updateTokens(limits: BucketLimits, share: number, now: number): void {
    const seconds = (now - this.#updatedAt) / MS_PER_SECOND;
    this.#updatedAt = now;
    const gained = seconds * limits.ratePerSecond;
    this.#level = Math.min(limits.burst, this.#level + gained);
    const overdrawn = Math.max(0, -this.#level) / limits.burst;
    const ratio = Math.max(OVERDRAWN_RATIO_MIN, 1 - overdrawn);
    this.#shareTokens = Math.min(
      SHARE_TOKENS_MAX,
      this.#shareTokens + gained * share * ratio,
    );
  }

  /**
   * Computes this VM's part of the rate, 0 to 1.
   *
   * It goes by rates that were known to all at the last report: what has begun
   * here since then may have begun everywhere.
   */
  #computeShare(fleet: FleetView, now: number): number {
    const equal = 1 / Math.max(1, fleet.vms);
    if (fleet.heardMs >= ISOLATED_MS) return equal;
    const own = this.#heardOwnAsked;
    const all = own + this.#othersAsked.getPerSecond(now);
    return all === 0 ? equal : Math.max(own / all, equal / 2);
  }

  #refuse(limits: BucketLimits, share: number): BucketDecision {
    const missing = 1 - this.#shareTokens;
    const waitMs = MS_PER_SECOND * missing / (limits.ratePerSecond * share);
    return {
      kind: BucketDecisionKind.Refused,
      level: this.#level,
      share,
      retryAfterMs: Math.min(
        RETRY_AFTER_MAX_MS,
        Math.max(RETRY_AFTER_MIN_MS, waitMs),
      ),
    };
  }
}
