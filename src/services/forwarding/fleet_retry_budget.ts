/**
 * Retry budget shared by all VMs of the fleet.
 *
 * Failures come in bursts that affect few VMs at a time. With a fixed share for
 * each VM, the affected ones would run out of retries while the others' shares
 * stay unused. So the VMs exchange counts, and each may use its share of what
 * remains for the fleet. When all servers shed at once and little remains, it
 * is reserved for the requests with the highest priority.
 */
import type { ServiceId } from "../../model/mod.ts";
import type { Clock } from "../clock/mod.ts";
import type { Usage, UsageSource } from "../fleet/mod.ts";
import { UsageGrowth } from "../fleet/usage_growth.ts";
import { SlidingCount } from "../quota/sliding_count.ts";
import type { RetryBudget, RetryScope } from "./retry_budget.ts";

/** Time in ms until all VMs know of a retry: the reports of two hubs. */
const UNHEARD_MS = 1_000;
/** Time in ms without counts of the other VMs after which they are ignored. */
const ISOLATED_MS = 2_000;
/** Share of the fleet's budget that is used; the rest covers late counts. */
const MARGIN_RATIO = 0.9;
/**
 * Share of the budget that must remain for VMs to retry without regard to each
 * other. With a window of ten times {@linkcode UNHEARD_MS}, one retry for each
 * request of that time then still fits in the users' limit.
 */
const AMPLE_RATIO = 0.45;

/** Options and services that {@linkcode FleetRetryBudget} depends on. */
export interface FleetRetryParts {
  readonly clock: Clock;
  /** Counts the live VMs, including this one. */
  readonly countVms: () => number;
  /** Retries allowed for each request of a service. */
  readonly ratio: number;
  /** Retries allowed beyond that in one window. */
  readonly slack: number;
  /** Length of the window, in milliseconds. */
  readonly windowMs: number;
}

/** Counts of one service. */
interface ServiceCounts {
  /** Totals since the start, for the exchange. */
  requests: number;
  attempts: number;
  readonly ownRequests: SlidingCount;
  readonly ownAttempts: SlidingCount;
  /** Local requests and retries that other VMs may not know of yet. */
  readonly unheardRequests: SlidingCount;
  readonly unheard: SlidingCount;
  readonly othersRequests: SlidingCount;
  readonly othersAttempts: SlidingCount;
  /** Highest priority of recent local requests, and when one last had it. */
  highestRank: number;
  highestRankAt: number;
}

/** Retries allowed in one window. */
interface Allowance {
  readonly limit: number;
  readonly left: number;
}

/** Limits the retries of all VMs to a share of their requests. */
export class FleetRetryBudget implements RetryBudget, UsageSource {
  readonly #parts: FleetRetryParts;
  readonly #services = new Map<ServiceId, ServiceCounts>();
  readonly #growth = new UsageGrowth();
  #heardAt = -Infinity;
  readonly #startedAt: number;

  /** Creates a budget without any use by this VM. */
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

  /** Assumes that the other VMs' rates stayed the same while no hub reported. */
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
   * Whether this VM may make one more retry.
   *
   * What other VMs have used since their last counts is unknown. While much
   * remains, each VM makes at most one retry for each of its recent requests.
   * Beyond that it stays within its share until all VMs know of its retries.
   * When little remains, it retries only its most urgent requests.
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

  /**
   * Computes this window's limit and remainder: those of the fleet, or of this
   * VM alone while it gets no counts of the others.
   */
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
   * Computes the retries allowed beyond the ratio.
   *
   * A VM that has just started does not know what was used before, which may be
   * the whole slack if every VM was restarted, nor what the others use until
   * their counts arrive. So its slack grows over one window.
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
