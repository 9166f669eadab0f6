/** Marks tests that KNOWN-RED.txt lists; they run, and fail without effect. */
import { readFileSync } from "node:fs";

const LISTED = new Set(
  readFileSync("KNOWN-RED.txt", "utf8").split("\n")
    .filter((line) => line.startsWith("test: "))
    .map((line) => line.slice("test: ".length)),
);

/** Gets the options of the test called `name`: none, unless it is listed. */
export function getKnownRed(name: string): { todo?: string } {
  return LISTED.has(name) ? { todo: "listed in KNOWN-RED.txt" } : {};
}
