/** Typical outcomes of the servers of one service, as one VM observes them. */
import type { ServerId } from "../../model/mod.ts";
import type { Hypotheses } from "./sequential_test.ts";

/** Outcomes of one server, decayed with time. */
interface Counts {
  total: number;
  failed: number;
  slow: number;
  updatedAt: number;
}

/** Time constant of the decay of counts. */
const DECAY_MS = 30_000;
/** Number of the newest latencies whose median is computed. */
const MAX_LATENCIES = 64;
/** Number of latencies from which the slow limit is computed. */
const MIN_LATENCIES = 8;
/** A latency is slow above this multiple of the median plus the margin. */
const SLOW_FACTOR = 4;
/** Margin above the multiple of the median. */
const SLOW_MARGIN_MS = 5;
/** Good outcomes added to each total, to stabilize shares of few outcomes. */
const PRIOR_TOTAL = 20;
/** Minimum share of failures that is assumed of a healthy server. */
const FAILED_SHARE_MIN = 0.001;
/** Maximum share of failures that is assumed of a healthy server. */
const FAILED_SHARE_MAX = 0.5;
/** Difference in failures between a faulty and a healthy server, as a share. */
const FAILED_SHARE_STEP = 0.2;
/** Minimum share of slow responses that is assumed of a healthy server. */
const SLOW_SHARE_MIN = 0.03;
/** Maximum share of slow responses that is assumed of a healthy server. */
const SLOW_SHARE_MAX = 0.5;
/** Difference in slow responses between the two, as a share. */
const SLOW_SHARE_STEP = 0.45;

/** Collects outcomes of a service's servers to compare each with the others. */
export class Baseline {
  readonly #counts = new Map<ServerId, Counts>();
  readonly #latencies: number[] = [];
  #nextIndex = 0;
  #slowLimitMs = Infinity;

  /** Latency in milliseconds above which a response is slow. */
  get slowLimitMs(): number {
    return this.#slowLimitMs;
  }

  /** Adds outcomes of one server. */
  add(server: ServerId, outcomes: Outcomes, now: number): void {
    const counts = this.#getCounts(server, now);
    counts.total += outcomes.total;
    counts.failed += outcomes.failed;
    counts.slow += outcomes.slow;
  }

  /** Adds the latency of a response, in milliseconds. */
  addLatency(ms: number): void {
    this.#latencies[this.#nextIndex] = ms;
    this.#nextIndex = (this.#nextIndex + 1) % MAX_LATENCIES;
    if (this.#latencies.length < MIN_LATENCIES) return;
    const sorted = this.#latencies.toSorted((left, right) => left - right);
    const median = sorted[Math.floor(sorted.length / 2)] ?? 0;
    this.#slowLimitMs = median * SLOW_FACTOR + SLOW_MARGIN_MS;
  }

  /** Returns the shares of failures between which a server's test decides. */
  getFailureHypotheses(server: ServerId, now: number): Hypotheses {
    const { total, failed } = this.#sumOthers(server, now);
    const share = failed / (total + PRIOR_TOTAL);
    const healthy = Math.min(
      FAILED_SHARE_MAX,
      Math.max(FAILED_SHARE_MIN, share),
    );
    return { healthy, faulty: healthy + FAILED_SHARE_STEP };
  }

  /** Returns the shares of slow responses between which a test decides. */
  getSlowHypotheses(server: ServerId, now: number): Hypotheses {
    const { total, slow } = this.#sumOthers(server, now);
    const share = slow / (total + PRIOR_TOTAL);
    const healthy = Math.min(SLOW_SHARE_MAX, Math.max(SLOW_SHARE_MIN, share));
    return { healthy, faulty: healthy + SLOW_SHARE_STEP };
  }

  /** Removes the counts of all servers except the given ones. */
  removeExcept(servers: ReadonlySet<ServerId>): void {
    for (const server of this.#counts.keys()) {
      if (!servers.has(server)) this.#counts.delete(server);
    }
  }

  #sumOthers(server: ServerId, now: number): Outcomes {
    const sum = { total: 0, failed: 0, slow: 0 };
    for (const id of this.#counts.keys()) {
      if (id === server) continue;
      const counts = this.#getCounts(id, now);
      sum.total += counts.total;
      sum.failed += counts.failed;
      sum.slow += counts.slow;
    }
    return sum;
  }

  #getCounts(server: ServerId, now: number): Counts {
    const counts = this.#counts.get(server) ??
      { total: 0, failed: 0, slow: 0, updatedAt: now };
    const weight = Math.exp(-(now - counts.updatedAt) / DECAY_MS);
    counts.total *= weight;
    counts.failed *= weight;
    counts.slow *= weight;
    counts.updatedAt = now;
    this.#counts.set(server, counts);
    return counts;
  }
}

/** Numbers of attempts at one server, by outcome. */
export interface Outcomes {
  readonly total: number;
  readonly failed: number;
  readonly slow: number;
}
