/** Scoped loggers: short sentences with a fixed prefix for each part. */
import winston from "winston";
import { LogFormat } from "../../model/mod.ts";
import type { LogLevel } from "../../model/mod.ts";

/** Writes log lines of one part. */
export interface Logger {
  /** Writes detail that only matters when looking for a fault. */
  debug(message: string): void;
  /** Writes a normal event. */
  info(message: string): void;
  /** Writes an event that needs no action now but may soon. */
  warn(message: string): void;
  /** Writes a fault. */
  error(message: string): void;
}

/** Makes loggers for parts. */
export interface Logging {
  /** Creates a logger whose lines begin with `[part]`. */
  createLogger(part: string): Logger;
}

/** Options of {@linkcode createLogging}. */
export interface LoggingOptions {
  /** Least severe level that is written. */
  level: LogLevel;
  /** Form of the lines. */
  format: LogFormat;
  /** Name of the VM, written in each line. */
  vm: string;
}

/** Creates the logging service; lines go to standard error. */
export function createLogging(options: LoggingOptions): Logging {
  const root = winston.createLogger({
    level: options.level,
    format: resolveFormat(options),
    transports: [
      new winston.transports.Console({
        stderrLevels: ["error", "warn", "info", "debug"],
      }),
    ],
  });
  return {
    createLogger: (part) => createPartLogger(root, part),
  };
}

function createPartLogger(root: winston.Logger, part: string): Logger {
  const prefix = `[${part}] `;
  return {
    debug: (message) => void root.debug(prefix + message),
    info: (message) => void root.info(prefix + message),
    warn: (message) => void root.warn(prefix + message),
    error: (message) => void root.error(prefix + message),
  };
}

function resolveFormat(options: LoggingOptions): winston.Logform.Format {
  const { combine, timestamp, json, printf } = winston.format;
  switch (options.format) {
    case LogFormat.Json:
      return combine(
        winston.format.label({ label: options.vm }),
        timestamp(),
        json(),
      );
    case LogFormat.Text:
      return combine(
        timestamp(),
        printf((line) =>
          `${line["timestamp"]} ${options.vm} ${line.level} ${line.message}`
        ),
      );
  }
}

/** Describes anything thrown, for a log line. */
export function formatCause(cause: unknown): string {
  return cause instanceof Error ? cause.message : String(cause);
}
