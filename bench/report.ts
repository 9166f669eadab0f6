/** Output of benchmarks: tables and latency percentiles. */
import process from "node:process";
import { build } from "hdr-histogram-js";
import type { Histogram } from "hdr-histogram-js";

const US_PER_MS = 1_000;

/** Prints one line. */
export function printLine(line: string): void {
  process.stdout.write(`${line}\n`);
}

/** Prints rows in aligned columns; the first row is the heading. */
export function printTable(rows: readonly (readonly string[])[]): void {
  const widths =
    rows[0]?.map((_cell, column) =>
      Math.max(...rows.map((row) => row[column]?.length ?? 0))
    ) ?? [];
  for (const row of rows) {
    printLine(
      row.map((cell, column) => cell.padEnd(widths[column] ?? 0)).join("  "),
    );
  }
}

/** Histogram of latencies in milliseconds. */
export class LatencyRecorder {
  readonly #histogram: Histogram = build({
    lowestDiscernibleValue: 1,
    highestTrackableValue: 600_000_000,
    numberOfSignificantValueDigits: 3,
  });

  /** Number of latencies recorded. */
  get count(): number {
    return this.#histogram.totalCount;
  }

  /** Records one latency. */
  add(ms: number): void {
    this.#histogram.recordValue(Math.max(0, Math.round(ms * US_PER_MS)));
  }

  /** Returns a percentile (0 to 100) in milliseconds. */
  getPercentile(percentile: number): number {
    return this.#histogram.getValueAtPercentile(percentile) / US_PER_MS;
  }
}
