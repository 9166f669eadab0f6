/** Scoped loggers: short sentences with a fixed prefix for each part. */
import process from "node:process";
import winston from "winston";
import { LogFormat } from "../../model/mod.ts";
import type { LogLevel } from "../../model/mod.ts";
import { BoundedOutput } from "./bounded_output.ts";
import { LineLimit } from "./line_limit.ts";

/**
 * What a line tells besides its sentence: ids, inputs, ages, outcomes.
 *
 * The names of what every line bears are not to be had: one of the two values
 * would be lost.
 */
export type LogFields =
  & Readonly<Record<string, string | number | boolean>>
  & {
    readonly level?: never;
    readonly message?: never;
    readonly timestamp?: never;
    readonly vm?: never;
  };

/** Writes log lines of one part. */
export interface Logger {
  /** Writes detail that only matters when looking for a fault. */
  debug(message: string, fields?: LogFields): void;
  /** Writes a normal event; too many in a second are counted instead. */
  info(message: string, fields?: LogFields): void;
  /** Writes an event that needs no action now but may soon. */
  warn(message: string, fields?: LogFields): void;
  /** Writes a fault. */
  error(message: string, fields?: LogFields): void;
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
    createLogger: (part) => createPartLogger(root, limit, part),
  };
}

function createPartLogger(
  root: winston.Logger,
  limit: LineLimit,
  part: string,
): Logger {
  const prefix = `[${part}] `;
  return {
    debug: (message, fields) => {
      if (!root.isDebugEnabled() || !limit.take()) return;
      root.debug(prefix + message, fields);
    },
    info: (message, fields) => {
      if (!limit.take()) return;
      const suppressed = limit.takeSuppressed();
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

/** Describes anything thrown, for a log line. */
export function formatCause(cause: unknown): string {
  return cause instanceof Error ? cause.message : String(cause);
}
