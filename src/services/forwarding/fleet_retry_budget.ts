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
import { UsageDeltas } from "../fleet/usage_deltas.ts";
import { SlidingCount } from "../quota/sliding_count.ts";
import type { RetryBudget, RetryScope } from "./retry_budget.ts";

/** Time in ms until all VMs know of a retry: the reports of two hubs. */
const PROPAGATION_MS = 1_000;
/** Time in ms without counts of the other VMs after which they are ignored. */
const ISOLATION_TIMEOUT_MS = 2_000;
/** Share of the fleet's budget that is used; the rest covers late counts. */
const USABLE_RATIO = 0.9;
/**
 * Share of the budget that must remain for VMs to retry without regard to each
 * other. With a window of ten times {@linkcode PROPAGATION_MS}, one retry for
 * each request of that time then still fits in the users' limit.
 */
const AMPLE_RATIO = 0.45;

/** Dependencies and options of {@linkcode FleetRetryBudget}. */
export interface FleetRetryDependencies {
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
  retries: number;
  readonly localRequests: SlidingCount;
  readonly localRetries: SlidingCount;
  /** Local requests and retries that other VMs may not know of yet. */
  readonly unpropagatedRequests: SlidingCount;
  readonly unpropagatedRetries: SlidingCount;
  readonly remoteRequests: SlidingCount;
  readonly remoteRetries: SlidingCount;
  /** Highest priority of recent local requests, and when one last had it. */
  highestPriority: number;
  highestPriorityAt: number;
}

/** Retries allowed in one window. */
interface Allowance {
  readonly limit: number;
  readonly remaining: number;
}

/** Limits the retries of all VMs to a share of their requests. */
export class FleetRetryBudget implements RetryBudget, UsageSource {
  readonly #deps: FleetRetryDependencies;
  readonly #services = new Map<ServiceId, ServiceCounts>();
  readonly #deltas = new UsageDeltas();
  #receivedAt = -Infinity;
  readonly #startedAt: number;

  /** Creates a budget without any use by this VM. */
  constructor(deps: FleetRetryDependencies) {
    this.#deps = deps;
    this.#startedAt = deps.clock.now();
  }

  recordRequest({ service, priority }: RetryScope): void {
    const counts = this.#getCounts(service);
    counts.requests += 1;
    const now = this.#deps.clock.now();
    const isExpired = now - counts.highestPriorityAt > this.#deps.windowMs;
    if (isExpired || priority <= counts.highestPriority) {
      counts.highestPriority = priority;
      counts.highestPriorityAt = now;
    }
    counts.localRequests.add(1, now);
    counts.unpropagatedRequests.add(1, now);
  }

  recordResponse(_scope: RetryScope): void {}

  isAmple({ service }: RetryScope): boolean {
    const now = this.#deps.clock.now();
    const { limit, remaining } = this.#computeAllowance(
      this.#getCounts(service),
      now,
    );
    return remaining >= limit * AMPLE_RATIO;
  }

  acquire({ service, priority }: RetryScope): boolean {
    const now = this.#deps.clock.now();
    const counts = this.#getCounts(service);
    const isUrgent = priority <= counts.highestPriority;
    if (!this.#hasAllowance(counts, isUrgent, now)) return false;
    counts.retries += 1;
    counts.localRetries.add(1, now);
    counts.unpropagatedRetries.add(1, now);
    return true;
  }

  listUsage(): readonly Usage[] {
    return [...this.#services].map(([name, { requests, retries }]) => ({
      name,
      admitted: retries,
      asked: requests,
    }));
  }

  recordOthers(others: readonly Usage[], isFirst: boolean): void {
    const now = this.#deps.clock.now();
    if (isFirst) this.#recordMissed(now);
    this.#receivedAt = now;
    for (const delta of this.#deltas.listDeltas(others, isFirst)) {
      const counts = this.#getCounts(delta.name);
      counts.remoteRetries.add(delta.admitted, now);
      counts.remoteRequests.add(delta.asked, now);
    }
  }

  /** Assumes that the other VMs' rates stayed the same while no hub reported. */
  #recordMissed(now: number): void {
    const missedMs = now - this.#receivedAt;
    if (missedMs > this.#deps.windowMs) return;
    for (const counts of this.#services.values()) {
      for (const others of [counts.remoteRetries, counts.remoteRequests]) {
        const perMs = others.getTotal(now) / this.#deps.windowMs;
        others.add(perMs * missedMs, now);
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
  #hasAllowance(
    counts: ServiceCounts,
    isUrgent: boolean,
    now: number,
  ): boolean {
    const { limit, remaining } = this.#computeAllowance(counts, now);
    if (remaining < 1) return false;
    if (this.#isIsolated(now)) return true;
    const unpropagated = counts.unpropagatedRetries.getTotal(now);
    const isAmple = remaining >= limit * AMPLE_RATIO;
    if (isAmple && unpropagated < counts.unpropagatedRequests.getTotal(now)) {
      return true;
    }
    if (!isAmple && !isUrgent) return false;
    const vms = this.#deps.countVms();
    const share = (remaining + unpropagated) / vms;
    return unpropagated + 1 <= (remaining >= vms ? Math.max(1, share) : share);
  }

  /**
   * Computes this window's limit and remainder: those of the fleet, or only of
   * this VM while it gets no counts of the others.
   */
  #computeAllowance(counts: ServiceCounts, now: number): Allowance {
    const localRequests = counts.localRequests.getTotal(now);
    const localRetries = counts.localRetries.getTotal(now);
    const slack = this.#computeSlack(now);
    const ratio = this.#deps.ratio * USABLE_RATIO;
    if (this.#isIsolated(now)) {
      const limit = ratio * localRequests + slack / this.#deps.countVms();
      return { limit, remaining: limit - localRetries };
    }
    const requests = localRequests + counts.remoteRequests.getTotal(now);
    const retries = localRetries + counts.remoteRetries.getTotal(now);
    const limit = ratio * requests + slack;
    return { limit, remaining: limit - retries };
  }

  /**
   * Computes the retries allowed beyond the ratio.
   *
   * A VM that has just started does not know what was used before, which may be
   * all of the slack if every VM was restarted, nor what the others use until
   * their counts arrive. So its slack grows over one window.
   */
  #computeSlack(now: number): number {
    const { slack, windowMs } = this.#deps;
    const observedMs = now - this.#startedAt - ISOLATION_TIMEOUT_MS;
    const observedRatio = Math.min(1, Math.max(0, observedMs / windowMs));
    return slack * USABLE_RATIO * observedRatio;
  }

  #isIsolated(now: number): boolean {
    return now - this.#receivedAt > ISOLATION_TIMEOUT_MS;
  }

  #getCounts(service: ServiceId): ServiceCounts {
    const existing = this.#services.get(service);
    if (existing !== undefined) return existing;
    const { windowMs } = this.#deps;
    const created = {
      requests: 0,
      retries: 0,
      localRequests: new SlidingCount(windowMs),
      localRetries: new SlidingCount(windowMs),
      unpropagatedRequests: new SlidingCount(PROPAGATION_MS),
      unpropagatedRetries: new SlidingCount(PROPAGATION_MS),
      remoteRequests: new SlidingCount(windowMs),
      remoteRetries: new SlidingCount(windowMs),
      highestPriority: Infinity,
      highestPriorityAt: -Infinity,
    };
    this.#services.set(service, created);
    return created;
  }
}
