/**
 * Handles signals from the start of the process.
 *
 * The default action of SIGHUP, SIGTERM and SIGINT terminates a process. The
 * platform may send them while the daemon's modules are still being loaded, so
 * this module runs before that. Signals may come in series: the first one that
 * asks for a stop starts the planned stop, and later ones are only reported,
 * because ending the process at once would cut the requests in progress.
 */
import process from "node:process";

/** Signals that ask for a planned stop. */
const STOP_SIGNALS = ["SIGTERM", "SIGINT"] as const;

/** A signal that asks for a planned stop. */
export type StopSignal = typeof STOP_SIGNALS[number];

let reloadHandler: () => void = () => {};
let repeatedStopHandler: (signal: StopSignal) => void = () => {};
let isStopRequested = false;
let completeStopRequest: (signal: StopSignal) => void = () => {};

/** Resolves to the first signal that asks for a stop. */
export const stopRequested = new Promise<StopSignal>((resolve) => {
  completeStopRequest = resolve;
});

process.on("SIGHUP", () => reloadHandler());
for (const signal of STOP_SIGNALS) {
  process.on(signal, () => startStop(signal));
}

/** Starts the planned stop as if `signal` had been received. */
export function startStop(signal: StopSignal): void {
  if (isStopRequested) return repeatedStopHandler(signal);
  isStopRequested = true;
  completeStopRequest(signal);
}

/** Sets the handler of SIGHUP; until then the signal is ignored. */
export function setReloadHandler(handler: () => void): void {
  reloadHandler = handler;
}

/** Sets the handler of stop signals after the first one. */
export function setRepeatedStopHandler(
  handler: (signal: StopSignal) => void,
): void {
  repeatedStopHandler = handler;
}
