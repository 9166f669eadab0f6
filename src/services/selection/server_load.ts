/** Load of one backend server as one VM knows it. */
import type { LoadReport } from "../forwarding/upstream.ts";

/** Weight of the newest latency in the moving average. */
const LATENCY_WEIGHT = 0.1;
/** Time constant after which old experience counts no more. */
const FADE_MS = 3_000;
/** Part of a latency that a server with all slots but one in use adds. */
const BUSY_RATIO = 0.5;
/** Time for which a server that shed a request is taken to be full. */
const FULL_MS = 300;

/** What an attempt told, and when. */
export interface TimedReport {
  /** Time until the answer was whole; undefined if it tells nothing. */
  readonly latencyMs: number | undefined;
  readonly load: LoadReport | undefined;
  /** Whether the server had no room for the request. */
  readonly isShed: boolean;
  /** Latency that is usual for the service, in milliseconds. */
  readonly usualMs: number;
  /** Monotonic time in milliseconds. */
  readonly at: number;
}

/** Combines own requests in flight, recent latency and reports of others. */
export class ServerLoad {
  inFlight = 0;
  #latencyMs = 0;
  #latencyAt = -Infinity;
  #fullUntil = -Infinity;
  /** Requests at the server beyond this VM's own, by its newest report. */
  #foreign = 0;
  #foreignAt = -Infinity;

  /** Records that an attempt starts. */
  recordStart(): void {
    this.inFlight += 1;
  }

  /** Records that an attempt ended; undefined if no answer came. */
  recordEnd(report: TimedReport | undefined): void {
    const ownAtServer = this.inFlight;
    this.inFlight -= 1;
    if (report === undefined) return;
    if (report.isShed) this.#fullUntil = report.at + FULL_MS;
    this.#recordLatency(report);
    if (report.load === undefined) return;
    const reported = report.load.running + report.load.waiting;
    this.#foreign = Math.max(0, reported - ownAtServer);
    this.#foreignAt = report.at;
  }

  /**
   * Gets the expected latency at `now`, in milliseconds.
   *
   * Experience fades into what is usual for the service: one VM of many sends
   * a server too little for an old latency to say much.
   */
  getLatencyMs(usualMs: number, now: number): number {
    const kept = Math.exp(-(now - this.#latencyAt) / FADE_MS);
    return usualMs + (this.#latencyMs - usualMs) * kept;
  }

  /** Whether one more request would find a free slot, as far as is known. */
  hasRoom(slots: number): boolean {
    return this.inFlight + this.#foreign < slots;
  }

  /**
   * Counts the requests that one more would have to wait for, were each slot to
   * take one after the other; a fraction where not all slots have to.
   */
  countTurns(slots: number, now: number, told: number | undefined): number {
    const ahead = this.inFlight + (told ?? this.#getForeign(now));
    return Math.max(0, ahead + 1 - slots) / slots;
  }

  /**
   * Gets the expected time until one more request would be answered.
   *
   * `told` is the number of requests that the other VMs say they have there;
   * undefined when they do not say it.
   */
  getWaitMs(
    slots: number,
    usualMs: number,
    now: number,
    told: number | undefined,
  ): number {
    const ahead = this.inFlight + (told ?? this.#getForeign(now));
    const load = BUSY_RATIO * ahead / slots +
      this.countTurns(slots, now, told);
    const fullMs = now < this.#fullUntil ? usualMs : 0;
    return this.getLatencyMs(usualMs, now) * (1 + load) + fullMs;
  }

  #getForeign(now: number): number {
    return this.#foreign * Math.exp(-(now - this.#foreignAt) / FADE_MS);
  }

  #recordLatency(report: TimedReport): void {
    if (report.latencyMs === undefined) return;
    const before = this.getLatencyMs(report.usualMs, report.at);
    this.#latencyMs = before + LATENCY_WEIGHT * (report.latencyMs - before);
    this.#latencyAt = report.at;
  }
}
