/** Declares settings once, for flags, environment variables and checks. */
import * as z from "zod";
import { ENVIRONMENT_PREFIX } from "../constants.ts";

/** A setting as the command line and the environment name it. */
export interface Flag {
  /** What the setting is for; shown by `--help`. */
  readonly description: string;
  /** Turns the given text into the setting's value, or says what is wrong. */
  readonly schema: z.ZodType;
  /** Text taken when none is given; a flag without one is required. */
  readonly fallback?: string;
}

/** A host and a TCP port. */
export interface Address {
  readonly host: string;
  /** 0 to 65535; 0 lets the system pick one. */
  readonly port: number;
}

/** Result of resolving settings. */
export type Resolution<T> =
  | { readonly kind: ResolutionKind.Resolved; readonly settings: T }
  | {
    readonly kind: ResolutionKind.Invalid;
    /** One line a fault, each with the flag's name. */
    readonly faults: readonly string[];
  };

/** Whether settings could be resolved. */
export enum ResolutionKind {
  Resolved = "resolved",
  Invalid = "invalid",
}

const MAX_PORT = 65_535;

/** Reads `host:port`. */
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

/** Reads an `http:` URL. */
export const urlSchema: z.ZodType<URL> = z.string().transform(
  (text, context) => {
    if (URL.canParse(text) && new URL(text).protocol === "http:") {
      return new URL(text);
    }
    context.addIssue(`"${text}" is not an http URL`);
    return z.NEVER;
  },
);

/** Reads a name of lower-case letters, digits, dots and dashes. */
export const nameSchema: z.ZodType<string> = z.string().regex(
  /^[a-z0-9][a-z0-9.-]{0,63}$/,
  "must be 1 to 64 lower-case letters, digits, dots or dashes",
);

/** Reads a list of SHA-256 digests, separated by commas. */
export const digestsSchema: z.ZodType<readonly string[]> = z.string().transform(
  (text, context) => {
    const digests = text.split(",").filter((part) => part !== "");
    if (digests.every((digest) => /^[0-9a-f]{64}$/.test(digest))) {
      return digests;
    }
    context.addIssue("must be SHA-256 digests in hexadecimal, by commas");
    return z.NEVER;
  },
);

/** Reads a whole number of milliseconds, 1 to 9,999,999,999. */
export const millisecondsSchema: z.ZodType<number> = z.string().regex(
  /^\d{1,10}$/,
  "must be a whole number of milliseconds",
).transform(Number).pipe(z.number().min(1));

const MS_PER_SECOND = 1_000;

/** Reads a time such as `1500`, `1500ms` or `2.5s`, as milliseconds. */
export const durationSchema: z.ZodType<number> = z.string().transform(
  (text, context) => {
    const match = /^(\d+(?:\.\d+)?)(ms|s)?$/.exec(text);
    if (match === null) {
      context.addIssue(`"${text}" is no time`);
      return z.NEVER;
    }
    return Number(match[1]) * (match[2] === "s" ? MS_PER_SECOND : 1);
  },
);

/** Reads words separated by commas; none is an empty list. */
export const listSchema: z.ZodType<readonly string[]> = z.string().transform(
  (text) => text.split(",").filter((part) => part !== ""),
);

/** Reads a number from 0 to 1. */
export const ratioSchema: z.ZodType<number> = z.string()
  .regex(/^\d*\.?\d+$/, "must be a number from 0 to 1")
  .transform(Number).pipe(z.number().min(0).max(1));

/** Reads a number that is not negative. */
export const countSchema: z.ZodType<number> = z.string()
  .regex(/^\d*\.?\d+$/, "must be a number")
  .transform(Number);

/** Formats the environment variable that carries the flag called `name`. */
export function formatVariable(name: string): string {
  return `${ENVIRONMENT_PREFIX}_${name.replaceAll("-", "_").toUpperCase()}`;
}

/**
 * Checks the text of every flag and returns the values by flag name.
 *
 * Returns all faults at once when there are any.
 */
export function resolveFlags(
  flags: Readonly<Record<string, Flag>>,
  given: Readonly<Record<string, unknown>>,
): Resolution<Record<string, unknown>> {
  const settings: Record<string, unknown> = {};
  const faults: string[] = [];
  for (const [name, flag] of Object.entries(flags)) {
    const text = given[name] ?? flag.fallback;
    if (text === undefined) {
      faults.push(`--${name}: is required (or ${formatVariable(name)})`);
      continue;
    }
    const parsed = flag.schema.safeParse(String(text));
    if (parsed.success) settings[name] = parsed.data;
    else {
      for (const issue of parsed.error.issues) {
        faults.push(`--${name}: ${issue.message}`);
      }
    }
  }
  return faults.length === 0
    ? { kind: ResolutionKind.Resolved, settings }
    : { kind: ResolutionKind.Invalid, faults };
}
