/**
 * Catches SIGHUP from the first moment on.
 *
 * Its default action ends a process. The platform may send it while the modules
 * of the daemon are still being loaded, so this one runs before they are read.
 */
import process from "node:process";

let reload: () => void = () => {};

process.on("SIGHUP", () => reload());

/** Sets what is done about SIGHUP; until then it is ignored. */
export function setReloadHandler(handler: () => void): void {
  reload = handler;
}
