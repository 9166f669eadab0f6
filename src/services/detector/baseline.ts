/** What is usual for the servers of one service, as one VM sees it. */
import type { ServerId } from "../../model/mod.ts";
import type { Hypotheses } from "./sequential_test.ts";

/** Outcomes of one server that fade with time. */
interface Counts {
  total: number;
  failed: number;
  slow: number;
  updatedAt: number;
}

const FADE_MS = 30_000;
const LATENCIES_KEPT = 64;
const LATENCIES_NEEDED = 8;
/** A latency is slow above this multiple of the median, plus the margin. */
const SLOW_FACTOR = 4;
const SLOW_MARGIN_MS = 5;
/** Outcomes assumed healthy before there are any, so that shares are steady. */
const PRIOR_TOTAL = 20;
const FAILED_MIN = 0.001;
const FAILED_MAX = 0.5;
const FAILED_STEP = 0.2;
const SLOW_MIN = 0.03;
const SLOW_MAX = 0.5;
const SLOW_STEP = 0.45;

/** Pools the outcomes of a service's servers. */
export class Baseline {
  readonly #counts = new Map<ServerId, Counts>();
  readonly #latencies: number[] = [];
  #next = 0;
  #slowLimitMs = Infinity;

  /** Latency in milliseconds above which an answer is slow. */
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

  /** Adds the latency of an answer, in milliseconds. */
  addLatency(ms: number): void {
    this.#latencies[this.#next] = ms;
    this.#next = (this.#next + 1) % LATENCIES_KEPT;
    if (this.#latencies.length < LATENCIES_NEEDED) return;
    const sorted = this.#latencies.toSorted((left, right) => left - right);
    const median = sorted[Math.floor(sorted.length / 2)] ?? 0;
    this.#slowLimitMs = median * SLOW_FACTOR + SLOW_MARGIN_MS;
  }

  /** Gets the shares of failures to tell apart at one server. */
  getFailureHypotheses(server: ServerId, now: number): Hypotheses {
    const { total, failed } = this.#sumSiblings(server, now);
    const share = failed / (total + PRIOR_TOTAL);
    const healthy = Math.min(FAILED_MAX, Math.max(FAILED_MIN, share));
    return { healthy, faulty: healthy + FAILED_STEP };
  }

  /** Gets the shares of slow answers to tell apart at one server. */
  getSlowHypotheses(server: ServerId, now: number): Hypotheses {
    const { total, slow } = this.#sumSiblings(server, now);
    const share = slow / (total + PRIOR_TOTAL);
    const healthy = Math.min(SLOW_MAX, Math.max(SLOW_MIN, share));
    return { healthy, faulty: healthy + SLOW_STEP };
  }

  /** Forgets servers that are gone. */
  keepOnly(servers: ReadonlySet<ServerId>): void {
    for (const server of this.#counts.keys()) {
      if (!servers.has(server)) this.#counts.delete(server);
    }
  }

  #sumSiblings(server: ServerId, now: number): Outcomes {
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
    const kept = Math.exp(-(now - counts.updatedAt) / FADE_MS);
    counts.total *= kept;
    counts.failed *= kept;
    counts.slow *= kept;
    counts.updatedAt = now;
    this.#counts.set(server, counts);
    return counts;
  }
}

/** Outcomes of attempts at one server. */
export interface Outcomes {
  readonly total: number;
  readonly failed: number;
  readonly slow: number;
}
