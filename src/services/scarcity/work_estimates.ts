/** Work that requests need, from the processing times of earlier ones. */
import type { RouteId } from "../../model/mod.ts";

/** Weight of the newest processing time. */
const NEWEST_WEIGHT = 0.06;
/** Number of samples up to which all have the same weight. */
const EQUAL_SAMPLES = 30;

/** Minimum share of a latency that is work. */
const MIN_WORK_RATIO = 0.1;

/** Expected work of a request, in slot-milliseconds. */
export interface WorkEstimate {
  /** Moving average; 0 without samples. */
  readonly meanMs: number;
  /** Moving average of the deviation from the mean. */
  readonly spreadMs: number;
}

interface Average {
  meanMs: number;
  spreadMs: number;
  samples: number;
}

const NO_SAMPLES: WorkEstimate = { meanMs: 0, spreadMs: 0 };

/** Estimates the work of one service's requests by route. */
export class WorkEstimates {
  readonly #routes = new Map<RouteId, Average>();
  readonly #all: Average = { meanMs: 0, spreadMs: 0, samples: 0 };

  /**
   * Records the latency of a request; `queueRatio` is the expected wait for a
   * slot relative to the work of a request.
   *
   * What a VM knows of one server is out of date, so that a request that seems
   * to get a free slot often waits. The mean wait at all servers is known
   * better, and is subtracted: all slots together process as many requests in
   * the latency of one as are in flight.
   */
  record(route: RouteId, latencyMs: number, queueRatio: number): void {
    addSample(this.#all, latencyMs / (1 + queueRatio));
    const average = this.#routes.get(route) ??
      { meanMs: 0, spreadMs: 0, samples: 0 };
    this.#routes.set(route, average);
    const workMs = latencyMs - queueRatio * this.#all.meanMs;
    addSample(average, Math.max(latencyMs * MIN_WORK_RATIO, workMs));
  }

  /** Returns the estimate for a route; for an unknown one, that of all. */
  get(route: RouteId): WorkEstimate {
    return this.#routes.get(route) ?? this.#all;
  }

  /** Returns the estimate for all requests of the service. */
  getAll(): WorkEstimate {
    return this.#all.samples > 0 ? this.#all : NO_SAMPLES;
  }
}

function addSample(average: Average, latencyMs: number): void {
  average.samples += 1;
  const weight = Math.max(
    NEWEST_WEIGHT,
    1 / Math.min(average.samples, EQUAL_SAMPLES),
  );
  const deviation = average.samples > 1
    ? Math.abs(latencyMs - average.meanMs)
    : 0;
  average.meanMs += weight * (latencyMs - average.meanMs);
  average.spreadMs += weight * (deviation - average.spreadMs);
}
