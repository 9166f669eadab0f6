/**
 * Handles SIGHUP from the start of the process.
 *
 * Its default action terminates a process. The platform may send it while the
 * daemon's modules are still being loaded, so this module runs before that.
 */
import process from "node:process";

let reloadHandler: () => void = () => {};

process.on("SIGHUP", () => reloadHandler());

/** Sets the handler of SIGHUP; until then the signal is ignored. */
export function setReloadHandler(handler: () => void): void {
  reloadHandler = handler;
}
