/** Prints results and maps them to exit codes. */
import process from "node:process";
import { OutputFormat } from "../settings/mod.ts";
import { PublishKind } from "./publisher.ts";
import type { PublishResult } from "./publisher.ts";

/** Exit codes of the tool; docs/OPERATIONS.md lists them. */
export enum ExitCode {
  Done = 0,
  Failed = 1,
  Usage = 2,
  Conflict = 3,
  Unknown = 4,
  NotInForce = 5,
}

/** Returns the exit code for the result of a change. */
export function getExitCode(result: PublishResult): ExitCode {
  switch (result.kind) {
    case PublishKind.Accepted:
      return ExitCode.Done;
    case PublishKind.Conflict:
      return ExitCode.Conflict;
    case PublishKind.Ineffective:
    case PublishKind.Refused:
      return ExitCode.Failed;
    case PublishKind.Unknown:
      return ExitCode.Unknown;
  }
}

/** Formats the result of a change as one line. */
export function formatResult(result: PublishResult): string {
  switch (result.kind) {
    case PublishKind.Accepted:
      return `accepted at offset ${result.offset}`;
    case PublishKind.Conflict:
      return `conflict: ${result.reason}`;
    case PublishKind.Ineffective:
      return `no effect: ${result.reason}`;
    case PublishKind.Refused:
      return `refused: ${result.reason}`;
    case PublishKind.Unknown:
      return `unknown: ${result.reason}; record ${result.record}`;
  }
}

/** Prints `value` as JSON, or prints `text`, depending on `format`. */
export function printValue(
  format: OutputFormat,
  value: unknown,
  text: string,
): void {
  switch (format) {
    case OutputFormat.Json:
      process.stdout.write(JSON.stringify(value) + "\n");
      return;
    case OutputFormat.Text:
      process.stdout.write(text + "\n");
  }
}

/** Formats a value as lines of names and values, indented by depth. */
export function formatTree(value: unknown, indent = ""): string {
  if (value === null || typeof value !== "object") {
    return `${indent}${String(value)}`;
  }
  const lines: string[] = [];
  for (const [name, child] of Object.entries(value)) {
    if (child === null || typeof child !== "object") {
      lines.push(`${indent}${name}: ${String(child)}`);
      continue;
    }
    lines.push(`${indent}${name}:`);
    if (Object.keys(child).length > 0) {
      lines.push(formatTree(child, `${indent}  `));
    }
  }
  return lines.join("\n");
}
