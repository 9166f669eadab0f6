/**
 * Second attempts that all VMs may make together.
 *
 * The pattern: bursts of failures that strike few VMs at a time. A fixed part
 * of the fleet's budget for each VM runs out where the failures are while the
 * others keep theirs; so the VMs exchange counts and each may spend its part of
 * what all of them have left. Where all servers shed at once and little is left,
 * it goes to the requests of the highest rank.
 */
import type { ServiceId } from "../../model/mod.ts";
import type { Clock } from "../clock/mod.ts";
import type { Usage, UsageSource } from "../fleet/mod.ts";
import { UsageGrowth } from "../fleet/usage_growth.ts";
import { SlidingCount } from "../quota/sliding_count.ts";
import type { RetryBudget, RetryScope } from "./retry_budget.ts";

/** Time after which all VMs have heard of a second attempt: two hubs' reports. */
const UNHEARD_MS = 1_000;
/** Time without counts after which the others are not reckoned with. */
const ISOLATED_MS = 2_000;
/** Part of the fleet's budget that is spent; the rest is for late counts. */
const MARGIN_RATIO = 0.9;
/**
 * Part of the budget that must be left for VMs to spend without regard to each
 * other. One second attempt for each request of {@linkcode UNHEARD_MS} fits in
 * the rest of the users' share where that time is a tenth of the window.
 */
const AMPLE_RATIO = 0.45;

/** What the budget is made of. */
export interface FleetRetryParts {
  readonly clock: Clock;
  /** Counts the VMs that live, this one included. */
  readonly countVms: () => number;
  /** Second attempts that each request of a service allows. */
  readonly ratio: number;
  /** Second attempts beyond that in one window. */
  readonly slack: number;
  /** Length of the window, in milliseconds. */
  readonly windowMs: number;
}

/** What is known of one service. */
interface ServiceCounts {
  /** Since the start, for the exchange. */
  requests: number;
  attempts: number;
  readonly ownRequests: SlidingCount;
  readonly ownAttempts: SlidingCount;
  /** Own requests and second attempts that others may not have heard of. */
  readonly unheardRequests: SlidingCount;
  readonly unheard: SlidingCount;
  readonly othersRequests: SlidingCount;
  readonly othersAttempts: SlidingCount;
  /** Highest rank of this VM's requests, and when one had it last. */
  highestRank: number;
  highestRankAt: number;
}

/** Second attempts of one window. */
interface Allowance {
  readonly limit: number;
  readonly left: number;
}

/** Holds the VMs' second attempts to a share of their requests. */
export class FleetRetryBudget implements RetryBudget, UsageSource {
  readonly #parts: FleetRetryParts;
  readonly #services = new Map<ServiceId, ServiceCounts>();
  readonly #growth = new UsageGrowth();
  #heardAt = -Infinity;
  readonly #startedAt: number;

  /** Creates a budget of which nothing is spent here. */
  constructor(parts: FleetRetryParts) {
    this.#parts = parts;
    this.#startedAt = parts.clock.now();
  }

  recordRequest({ service, priority }: RetryScope): void {
    const counts = this.#getCounts(service);
    counts.requests += 1;
    const now = this.#parts.clock.now();
    const isForgotten = now - counts.highestRankAt > this.#parts.windowMs;
    if (isForgotten || priority <= counts.highestRank) {
      counts.highestRank = priority;
      counts.highestRankAt = now;
    }
    counts.ownRequests.add(1, now);
    counts.unheardRequests.add(1, now);
  }

  recordAnswer(_scope: RetryScope): void {}

  isAmple({ service }: RetryScope): boolean {
    const now = this.#parts.clock.now();
    const { limit, left } = this.#computeLeft(this.#getCounts(service), now);
    return left >= limit * AMPLE_RATIO;
  }

  take({ service, priority }: RetryScope): boolean {
    const now = this.#parts.clock.now();
    const counts = this.#getCounts(service);
    const isUrgent = priority <= counts.highestRank;
    if (!this.#hasLeft(counts, isUrgent, now)) return false;
    counts.attempts += 1;
    counts.ownAttempts.add(1, now);
    counts.unheard.add(1, now);
    return true;
  }

  listUsage(): readonly Usage[] {
    return [...this.#services].map(([name, { requests, attempts }]) => ({
      name,
      admitted: attempts,
      asked: requests,
    }));
  }

  recordOthers(others: readonly Usage[], isFirst: boolean): void {
    const now = this.#parts.clock.now();
    if (isFirst) this.#recordUnheard(now);
    this.#heardAt = now;
    for (const grown of this.#growth.listGrowth(others, isFirst)) {
      const counts = this.#getCounts(grown.name);
      counts.othersAttempts.add(grown.admitted, now);
      counts.othersRequests.add(grown.asked, now);
    }
  }

  /** Reckons that the others went on as before while no hub told of them. */
  #recordUnheard(now: number): void {
    const unheardMs = now - this.#heardAt;
    if (unheardMs > this.#parts.windowMs) return;
    for (const counts of this.#services.values()) {
      for (const others of [counts.othersAttempts, counts.othersRequests]) {
        const perMs = others.getTotal(now) / this.#parts.windowMs;
        others.add(perMs * unheardMs, now);
      }
    }
  }

  /**
   * Whether this VM may make one more second attempt.
   *
   * What others have spent since their counts were heard is unknown. While
   * much is left, each VM makes at most one second attempt for each of its
   * requests; after that, it keeps to its part until all have heard of it, and
   * makes second attempts for its most urgent requests alone.
   */
  #hasLeft(counts: ServiceCounts, isUrgent: boolean, now: number): boolean {
    const { limit, left } = this.#computeLeft(counts, now);
    if (left < 1) return false;
    if (this.#isIsolated(now)) return true;
    const unheard = counts.unheard.getTotal(now);
    const isAmple = left >= limit * AMPLE_RATIO;
    if (isAmple && unheard < counts.unheardRequests.getTotal(now)) return true;
    if (!isAmple && !isUrgent) return false;
    const vms = this.#parts.countVms();
    const part = (left + unheard) / vms;
    return unheard + 1 <= (left >= vms ? Math.max(1, part) : part);
  }

  /** Computes this window's limit and what is left, of the fleet if it is heard. */
  #computeLeft(counts: ServiceCounts, now: number): Allowance {
    const ownRequests = counts.ownRequests.getTotal(now);
    const ownAttempts = counts.ownAttempts.getTotal(now);
    const slack = this.#computeSlack(now);
    const ratio = this.#parts.ratio * MARGIN_RATIO;
    if (this.#isIsolated(now)) {
      const limit = ratio * ownRequests + slack / this.#parts.countVms();
      return { limit, left: limit - ownAttempts };
    }
    const requests = ownRequests + counts.othersRequests.getTotal(now);
    const attempts = ownAttempts + counts.othersAttempts.getTotal(now);
    const limit = ratio * requests + slack;
    return { limit, left: limit - attempts };
  }

  /**
   * Computes the second attempts beyond the ratio.
   *
   * A VM that has just started does not know what was spent before, which may be
   * all of it when every VM was restarted, nor what the others spend until their
   * counts are heard.
   */
  #computeSlack(now: number): number {
    const { slack, windowMs } = this.#parts;
    const heardMs = now - this.#startedAt - ISOLATED_MS;
    const known = Math.min(1, Math.max(0, heardMs / windowMs));
    return slack * MARGIN_RATIO * known;
  }

  #isIsolated(now: number): boolean {
    return now - this.#heardAt > ISOLATED_MS;
  }

  #getCounts(service: ServiceId): ServiceCounts {
    const existing = this.#services.get(service);
    if (existing !== undefined) return existing;
    const { windowMs } = this.#parts;
    const created = {
      requests: 0,
      attempts: 0,
      ownRequests: new SlidingCount(windowMs),
      ownAttempts: new SlidingCount(windowMs),
      unheardRequests: new SlidingCount(UNHEARD_MS),
      unheard: new SlidingCount(UNHEARD_MS),
      othersRequests: new SlidingCount(windowMs),
      othersAttempts: new SlidingCount(windowMs),
      highestRank: Infinity,
      highestRankAt: -Infinity,
    };
    this.#services.set(service, created);
    return created;
  }
}
