import assert from "node:assert/strict";
import { spawn } from "node:child_process";
import { once } from "node:events";
import process from "node:process";
import { test } from "node:test";
import { fileURLToPath } from "node:url";

/** Exit code of a daemon that is started without settings. */
const EXIT_USAGE = 2;
/** Loader hook that sends SIGHUP to its own process on the import of yargs. */
const HOOK = `
import process from "node:process";
export async function resolve(specifier, context, next) {
  if (specifier === "yargs") {
    process.kill(process.pid, "SIGHUP");
    await new Promise((resolve) => setTimeout(resolve, 100));
  }
  return next(specifier, context);
}`;
const REGISTER = `
import { register } from "node:module";
register(${JSON.stringify(formatUrl(HOOK))});`;

function formatUrl(source: string): string {
  return `data:text/javascript,${encodeURIComponent(source)}`;
}

test("SIGHUP is handled as soon as the signals module is loaded", async () => {
  const { setReloadHandler } = await import("./signals.ts");
  const reloaded = new Promise<void>((resolve) => setReloadHandler(resolve));
  // A pending promise alone would not keep the process alive.
  const timer = setInterval(() => {}, 1_000);
  process.kill(process.pid, "SIGHUP");
  await reloaded;
  clearInterval(timer);
});

test("SIGHUP while modules are loaded does not terminate the daemon", async () => {
  const main = fileURLToPath(new URL("./main.js", import.meta.url));
  const daemon = spawn(
    process.execPath,
    ["--import", formatUrl(REGISTER), main],
    { stdio: "ignore" },
  );
  const [code, signal] = await once(daemon, "exit");
  assert.deepEqual([code, signal], [EXIT_USAGE, null]);
});
