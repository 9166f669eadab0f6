/** Load of one backend server as known to this VM. */
import type { LoadReport } from "../forwarding/upstream.ts";

/** Weight of the newest latency in the moving average. */
const LATENCY_WEIGHT = 0.1;
/** Time constant of the decay of old latencies and load reports, in ms. */
const DECAY_MS = 3_000;
/** Relative increase of the latency while all slots but one are in use. */
const BUSY_RATIO = 0.5;
/** Time for which a server that shed a request is considered full, in ms. */
const FULL_AFTER_SHED_MS = 300;

/** Latency and load observed by an attempt, with the time of observation. */
export interface TimedReport {
  /** Time to the complete response in ms; undefined if not representative. */
  readonly latencyMs: number | undefined;
  readonly load: LoadReport | undefined;
  /** Whether the server shed the request for lack of capacity. */
  readonly isShed: boolean;
  /** Typical latency of the service, in milliseconds. */
  readonly typicalMs: number;
  /** Monotonic time in milliseconds. */
  readonly at: number;
}

/** Combines local in-flight requests, recent latency and reported load. */
export class ServerLoad {
  inFlight = 0;
  #latencyMs = 0;
  #latencyAt = -Infinity;
  #fullUntil = -Infinity;
  /** Requests of other VMs at the server, according to its newest report. */
  #reportedOthers = 0;
  #reportedAt = -Infinity;

  /** Records that an attempt starts. */
  recordStart(): void {
    this.inFlight += 1;
  }

  /** Records that an attempt ended; `report` is undefined without a response. */
  recordEnd(report: TimedReport | undefined): void {
    const localInFlight = this.inFlight;
    this.inFlight -= 1;
    if (report === undefined) return;
    if (report.isShed) this.#fullUntil = report.at + FULL_AFTER_SHED_MS;
    this.#recordLatency(report);
    if (report.load === undefined) return;
    const reported = report.load.running + report.load.waiting;
    this.#reportedOthers = Math.max(0, reported - localInFlight);
    this.#reportedAt = report.at;
  }

  /**
   * Returns the expected latency at `now`, in milliseconds.
   *
   * Recorded latencies decay to the service's typical latency, since one VM of
   * many sends a server too few requests for old latencies to be meaningful.
   */
  getLatencyMs(typicalMs: number, now: number): number {
    const weight = Math.exp(-(now - this.#latencyAt) / DECAY_MS);
    return typicalMs + (this.#latencyMs - typicalMs) * weight;
  }

  /** Whether the server shed a request lately. */
  isFull(now: number): boolean {
    return now < this.#fullUntil;
  }

  /** Whether one more request would get a free slot, as far as is known. */
  hasHeadroom(slots: number): boolean {
    return this.inFlight + this.#reportedOthers < slots;
  }

  /**
   * Returns the queue depth per slot that one more request would find: the
   * number of requests that each slot would run before it, which may be a
   * fraction.
   */
  computeQueueDepth(
    slots: number,
    now: number,
    othersInFlight: number | undefined,
  ): number {
    const ahead = this.inFlight +
      (othersInFlight ?? this.#getReportedOthers(now));
    return Math.max(0, ahead + 1 - slots) / slots;
  }

  /**
   * Returns the expected time until the response to one more request, in
   * milliseconds.
   *
   * `othersInFlight` is the number of in-flight requests that the other VMs
   * report for the server; undefined if they don't report it.
   */
  getWaitMs(
    slots: number,
    typicalMs: number,
    now: number,
    othersInFlight: number | undefined,
  ): number {
    const ahead = this.inFlight +
      (othersInFlight ?? this.#getReportedOthers(now));
    const load = BUSY_RATIO * ahead / slots +
      this.computeQueueDepth(slots, now, othersInFlight);
    const fullMs = this.isFull(now) ? typicalMs : 0;
    return this.getLatencyMs(typicalMs, now) * (1 + load) + fullMs;
  }

  #getReportedOthers(now: number): number {
    return this.#reportedOthers *
      Math.exp(-(now - this.#reportedAt) / DECAY_MS);
  }

  #recordLatency(report: TimedReport): void {
    if (report.latencyMs === undefined) return;
    const before = this.getLatencyMs(report.typicalMs, report.at);
    this.#latencyMs = before + LATENCY_WEIGHT * (report.latencyMs - before);
    this.#latencyAt = report.at;
  }
}
