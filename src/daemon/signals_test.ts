import assert from "node:assert/strict";
import { readFileSync } from "node:fs";
import process from "node:process";
import { test } from "node:test";

test("SIGHUP is caught as soon as the module of signals is loaded", async () => {
  const { setReloadHandler } = await import("./signals.ts");
  const reloaded = new Promise<void>((resolve) => setReloadHandler(resolve));
  // A pending promise alone would not keep the process alive.
  const timer = setInterval(() => {}, 1_000);
  process.kill(process.pid, "SIGHUP");
  await reloaded;
  clearInterval(timer);
});

test("the daemon loads the module of signals before all others", () => {
  const main = readFileSync(new URL("./main.js", import.meta.url), "utf8");
  const [first] = main.match(/^import .*$/m) ?? [];
  assert.match(first ?? "", /signals/);
});
