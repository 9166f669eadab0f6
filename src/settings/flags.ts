/** Settings as command-line flags and environment variables. */
import * as z from "zod";
import { ENVIRONMENT_PREFIX } from "../constants.ts";

/** A setting that a flag or an environment variable provides. */
export interface Flag {
  /** Purpose of the setting, shown by `--help`. */
  readonly description: string;
  /** Parses the setting's value from text, or reports why it is invalid. */
  readonly schema: z.ZodType;
  /** Default text; a flag without one is required. */
  readonly fallback?: string;
}

/** A host and a TCP port. */
export interface Address {
  readonly host: string;
  /** 0 to 65535; a listener on port 0 gets a free port from the system. */
  readonly port: number;
}

/** Result of resolving settings. */
export type Resolution<T> =
  | { readonly kind: ResolutionKind.Resolved; readonly settings: T }
  | {
    readonly kind: ResolutionKind.Invalid;
    /** One message per error, each with the name of its flag. */
    readonly errors: readonly string[];
  };

/** Kinds of {@linkcode Resolution}. */
export enum ResolutionKind {
  Resolved = "resolved",
  Invalid = "invalid",
}

const MAX_PORT = 65_535;

/** Parses `host:port`. */
export const addressSchema: z.ZodType<Address> = z.string().transform(
  (text, context) => {
    const match = /^(.+):(\d{1,5})$/.exec(text);
    const port = Number(match?.[2]);
    if (match?.[1] === undefined || port > MAX_PORT) {
      context.addIssue(`"${text}" is not HOST:PORT`);
      return z.NEVER;
    }
    return { host: match[1], port };
  },
);

/** Parses an `http:` URL. */
export const urlSchema: z.ZodType<URL> = z.string().transform(
  (text, context) => {
    if (URL.canParse(text) && new URL(text).protocol === "http:") {
      return new URL(text);
    }
    context.addIssue(`"${text}" is not an http URL`);
    return z.NEVER;
  },
);

/** Parses a name of 1 to 64 lower-case letters, digits, dots and dashes. */
export const nameSchema: z.ZodType<string> = z.string().regex(
  /^[a-z0-9][a-z0-9.-]{0,63}$/,
  "must be 1 to 64 lower-case letters, digits, dots or dashes",
);

/** Parses a comma-separated list of SHA-256 digests. */
export const digestsSchema: z.ZodType<readonly string[]> = z.string().transform(
  (text, context) => {
    const digests = text.split(",").filter((part) => part !== "");
    if (digests.every((digest) => /^[0-9a-f]{64}$/.test(digest))) {
      return digests;
    }
    context.addIssue("must be comma-separated SHA-256 digests in hexadecimal");
    return z.NEVER;
  },
);

/** Parses an integer number of milliseconds, 1 to 9,999,999,999. */
export const millisecondsSchema: z.ZodType<number> = z.string().regex(
  /^\d{1,10}$/,
  "must be an integer number of milliseconds",
).transform(Number).pipe(z.number().min(1));

const MS_PER_SECOND = 1_000;

/** Parses a duration such as `1500`, `1500ms` or `2.5s` to milliseconds. */
export const durationSchema: z.ZodType<number> = z.string().transform(
  (text, context) => {
    const match = /^(\d+(?:\.\d+)?)(ms|s)?$/.exec(text);
    if (match === null) {
      context.addIssue(`"${text}" is not a duration such as 1500ms or 2.5s`);
      return z.NEVER;
    }
    return Number(match[1]) * (match[2] === "s" ? MS_PER_SECOND : 1);
  },
);

/** Parses a comma-separated list; empty items are dropped. */
export const listSchema: z.ZodType<readonly string[]> = z.string().transform(
  (text) => text.split(",").filter((part) => part !== ""),
);

/** Parses a number from 0 to 1. */
export const ratioSchema: z.ZodType<number> = z.string()
  .regex(/^\d*\.?\d+$/, "must be a number from 0 to 1")
  .transform(Number).pipe(z.number().min(0).max(1));

/** Parses a non-negative number. */
export const countSchema: z.ZodType<number> = z.string()
  .regex(/^\d*\.?\d+$/, "must be a non-negative number")
  .transform(Number);

/** Parses a positive integer of up to six digits. */
export const positiveIntegerSchema: z.ZodType<number> = z.string()
  .regex(/^\d{1,6}$/, "must be a positive integer")
  .transform(Number).pipe(z.number().min(1));

/** Parses a non-negative number; undefined if the text is empty. */
export const optionalCountSchema: z.ZodType<number | undefined> = z.string()
  .regex(/^(\d*\.?\d+)?$/, "must be a non-negative number")
  .transform((text) => text === "" ? undefined : Number(text));

/** Returns the name of the environment variable for the flag `name`. */
export function formatVariable(name: string): string {
  return `${ENVIRONMENT_PREFIX}_${name.replaceAll("-", "_").toUpperCase()}`;
}

/**
 * Parses the text of all flags and returns the values by flag name.
 *
 * If any flag is invalid, returns the errors of all flags instead.
 */
export function resolveFlags(
  flags: Readonly<Record<string, Flag>>,
  input: Readonly<Record<string, unknown>>,
): Resolution<Record<string, unknown>> {
  const settings: Record<string, unknown> = {};
  const errors: string[] = [];
  for (const [name, flag] of Object.entries(flags)) {
    const text = input[name] ?? flag.fallback;
    if (text === undefined) {
      errors.push(`--${name}: is required (or ${formatVariable(name)})`);
      continue;
    }
    const parsed = flag.schema.safeParse(String(text));
    if (parsed.success) settings[name] = parsed.data;
    else {
      for (const issue of parsed.error.issues) {
        errors.push(`--${name}: ${issue.message}`);
      }
    }
  }
  return errors.length === 0
    ? { kind: ResolutionKind.Resolved, settings }
    : { kind: ResolutionKind.Invalid, errors };
}
