/**
 * Marks the tests that KNOWN-RED.txt lists; they run, but their failures don't
 * fail the test run.
 */
import { readFileSync } from "node:fs";

const LISTED_TESTS = new Set(
  readFileSync("KNOWN-RED.txt", "utf8").split("\n")
    .filter((line) => line.startsWith("test: "))
    .map((line) => line.slice("test: ".length)),
);

/** Returns the options of the test `name`: `todo` if it is listed. */
export function getKnownRedOptions(name: string): { todo?: string } {
  return LISTED_TESTS.has(name) ? { todo: "listed in KNOWN-RED.txt" } : {};
}
