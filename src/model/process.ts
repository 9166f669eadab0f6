/** Enums about a process itself. */

/** Form of log lines. */
export enum LogFormat {
  Json = "json",
  Text = "text",
}

/** Severity of log lines. */
export enum LogLevel {
  Error = "error",
  Warn = "warn",
  Info = "info",
  Debug = "debug",
}

/** Where a daemon is in its life. */
export enum VmPhase {
  Starting = "starting",
  Serving = "serving",
  Leaving = "leaving",
}
