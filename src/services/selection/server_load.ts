/** Load of one backend server as one VM knows it. */
import type { AttemptReport } from "./mod.ts";

/** Weight of the newest latency in the moving average. */
const LATENCY_WEIGHT = 0.2;
/** Time constant after which old experience counts no more. */
const FADE_MS = 3_000;

/** What an attempt told, and when. */
export interface TimedReport extends AttemptReport {
  /** Latency that is usual for the service, in milliseconds. */
  readonly usualMs: number;
  /** Monotonic time in milliseconds. */
  readonly at: number;
}

/** Combines own requests in flight, recent latency and the server's report. */
export class ServerLoad {
  inFlight = 0;
  #latencyMs = 0;
  #updatedAt = -Infinity;
  /** Requests at the server beyond this VM's own, by its newest report. */
  #foreign = 0;

  /** Records that an attempt starts. */
  recordStart(): void {
    this.inFlight += 1;
  }

  /** Records that an attempt ended; undefined if no answer came. */
  recordEnd(report: TimedReport | undefined): void {
    const ownAtServer = this.inFlight;
    this.inFlight -= 1;
    if (report === undefined) return;
    const before = this.getLatencyMs(report.usualMs, report.at);
    this.#latencyMs = before + LATENCY_WEIGHT * (report.latencyMs - before);
    this.#updatedAt = report.at;
    if (report.load === undefined) return;
    const reported = report.load.running + report.load.waiting;
    this.#foreign = Math.max(0, reported - ownAtServer);
  }

  /**
   * Gets the expected latency at `now`, in milliseconds.
   *
   * Experience fades into what is usual for the service: one VM of many sends
   * a server too little for an old latency to say much.
   */
  getLatencyMs(usualMs: number, now: number): number {
    const kept = Math.exp(-(now - this.#updatedAt) / FADE_MS);
    return usualMs + (this.#latencyMs - usualMs) * kept;
  }

  /** Whether one more request would find a free slot, as far as is known. */
  hasRoom(slots: number): boolean {
    return this.inFlight + this.#foreign < slots;
  }

  /** Gets the expected time until one more request would be answered. */
  getWaitMs(slots: number, usualMs: number, now: number): number {
    const age = Math.exp(-(now - this.#updatedAt) / FADE_MS);
    const ahead = this.inFlight + this.#foreign * age;
    return this.getLatencyMs(usualMs, now) * (1 + ahead / slots);
  }
}
