/** Load of one backend server as one VM knows it. */
import type { AttemptReport } from "./mod.ts";

/** Weight of the newest latency in the moving average. */
const LATENCY_WEIGHT = 0.2;
/** Latency assumed of a server without any experience, in milliseconds. */
const INITIAL_LATENCY_MS = 1;

/** Combines own requests in flight, recent latency and the server's report. */
export class ServerLoad {
  inFlight = 0;
  latencyMs = INITIAL_LATENCY_MS;
  /** Requests at the server beyond this VM's own, by its newest report. */
  #foreign = 0;

  /** Records that an attempt starts. */
  recordStart(): void {
    this.inFlight += 1;
  }

  /** Records that an attempt ended; undefined if no answer came. */
  recordEnd(report: AttemptReport | undefined): void {
    const ownAtServer = this.inFlight;
    this.inFlight -= 1;
    if (report === undefined) return;
    this.latencyMs += LATENCY_WEIGHT * (report.latencyMs - this.latencyMs);
    if (report.load === undefined) return;
    const reported = report.load.running + report.load.waiting;
    this.#foreign = Math.max(0, reported - ownAtServer);
  }

  /** Expected time in milliseconds until one more request would be answered. */
  getWaitMs(slots: number): number {
    const ahead = this.inFlight + this.#foreign;
    return this.latencyMs * (1 + ahead / slots);
  }
}
