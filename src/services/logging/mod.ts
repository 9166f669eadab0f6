/** Logging service: loggers with a fixed prefix for each component. */
import process from "node:process";
import winston from "winston";
import { LogFormat } from "../../model/mod.ts";
import type { LogLevel } from "../../model/mod.ts";
import { BoundedOutput } from "./bounded_output.ts";
import { LineLimit } from "./line_limit.ts";

/**
 * Fields of a log line in addition to its message: ids, inputs, ages, outcomes.
 *
 * The names of the fields that every line has are not allowed, because one of
 * the two values would be lost.
 */
export type LogFields =
  & Readonly<Record<string, string | number | boolean>>
  & {
    readonly level?: never;
    readonly message?: never;
    readonly timestamp?: never;
    readonly vm?: never;
  };

/** Writes the log lines of one component. */
export interface Logger {
  /** Writes details that matter only for debugging; limited like `info`. */
  debug(message: string, fields?: LogFields): void;
  /** Writes a normal event; above a rate limit, events are only counted. */
  info(message: string, fields?: LogFields): void;
  /** Writes an event that needs no action yet but may need it soon. */
  warn(message: string, fields?: LogFields): void;
  /** Writes an error. */
  error(message: string, fields?: LogFields): void;
}

/** Creates the loggers of components. */
export interface Logging {
  /** Creates a logger whose messages begin with the component in brackets. */
  createLogger(component: string): Logger;
}

/** Options of {@linkcode createLogging}. */
export interface LoggingOptions {
  /** Minimum severity of the lines that are written. */
  level: LogLevel;
  /** Format of the lines. */
  format: LogFormat;
  /** Name of the VM, written in each line. */
  vm: string;
}

/** Creates the logging service; lines go to standard output. */
export function createLogging(options: LoggingOptions): Logging {
  const root = winston.createLogger({
    level: options.level,
    format: resolveFormat(options),
    transports: [
      new winston.transports.Stream({
        stream: new BoundedOutput(process.stdout.fd),
      }),
    ],
  });
  const limit = new LineLimit(() => performance.now());
  return {
    createLogger: (component) => createComponentLogger(root, limit, component),
  };
}

function createComponentLogger(
  root: winston.Logger,
  limit: LineLimit,
  component: string,
): Logger {
  const prefix = `[${component}] `;
  return {
    debug: (message, fields) => {
      if (!root.isDebugEnabled() || !limit.acquire()) return;
      root.debug(prefix + message, fields);
    },
    info: (message, fields) => {
      if (!limit.acquire()) return;
      const suppressed = limit.collectSuppressed();
      root.info(
        prefix + message,
        suppressed > 0 ? { ...fields, suppressed } : fields,
      );
    },
    warn: (message, fields) => void root.warn(prefix + message, fields),
    error: (message, fields) => void root.error(prefix + message, fields),
  };
}

function resolveFormat(options: LoggingOptions): winston.Logform.Format {
  const { combine, timestamp, json, printf } = winston.format;
  switch (options.format) {
    case LogFormat.Json:
      return combine(
        winston.format((line) => ({ ...line, vm: options.vm }))(),
        timestamp(),
        json(),
      );
    case LogFormat.Text:
      return combine(
        timestamp(),
        printf(({ timestamp: at, level, message, ...fields }) =>
          `${at} ${options.vm} ${level} ${message}${formatFields(fields)}`
        ),
      );
  }
}

function formatFields(fields: Readonly<Record<string, unknown>>): string {
  return Object.entries(fields)
    .map(([name, value]) => ` ${name}=${value}`)
    .join("");
}

/** Formats a thrown value for a log line. */
export function formatCause(cause: unknown): string {
  return cause instanceof Error ? cause.message : String(cause);
}
