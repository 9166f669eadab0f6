/** Creates changes of the configuration from the flags of commands. */
import { createHash, randomBytes } from "node:crypto";
import * as z from "zod";
import {
  Idempotency,
  PresetName,
  RecordKind,
  RouteAccess,
  ServerPhase,
} from "../model/mod.ts";
import type { Change } from "../model/mod.ts";

const KEY_BYTES = 24;

const numberSchema = z.coerce.number();
const teamSchema = z.object({
  id: z.string(),
  cell: z.string(),
  rate: numberSchema,
  burst: numberSchema,
});
const serverSchema = z.object({
  id: z.string(),
  service: z.string(),
  host: z.string(),
  port: numberSchema,
  failureDomain: z.string(),
  slots: numberSchema,
  phase: z.enum(ServerPhase),
});
const routeSchema = z.object({
  id: z.string(),
  method: z.string(),
  path: z.string(),
  service: z.string(),
  access: z.enum(RouteAccess),
  idempotency: z.enum(Idempotency),
  deadlineMs: numberSchema,
  floor: numberSchema,
});
const presetSchema = z.object({
  name: z.enum(PresetName),
  rateFactor: numberSchema,
  deadlineFactor: numberSchema,
  retries: z.boolean(),
});

/** Flags of a command as parsed by yargs. */
export type CommandFlags = Readonly<Record<string, unknown>>;

/** A new API key; its secret is shown only once and never logged. */
export interface IssuedKey {
  readonly secret: string;
  readonly change: Change;
}

/** Creates the change for `team create` and `limit set`. */
export function createTeamChange(flags: CommandFlags): Change {
  const { id, cell, rate, burst } = teamSchema.parse(flags);
  return {
    kind: RecordKind.TeamSet,
    team: { id, cell, ratePerSecond: rate, burst },
  };
}

/** Creates the change for `server set`. */
export function createServerChange(flags: CommandFlags): Change {
  return { kind: RecordKind.ServerSet, server: serverSchema.parse(flags) };
}

/** Creates the change for `route set`. */
export function createRouteChange(flags: CommandFlags): Change {
  return { kind: RecordKind.RouteSet, route: routeSchema.parse(flags) };
}

/** Creates the change for `preset set`. */
export function createPresetChange(flags: CommandFlags): Change {
  return { kind: RecordKind.PresetSet, preset: presetSchema.parse(flags) };
}

/** Creates the change for `key issue`, with a new random key. */
export function createKeyChange(team: string): IssuedKey {
  const secret = `rbw_${randomBytes(KEY_BYTES).toString("base64url")}`;
  return {
    secret,
    change: {
      kind: RecordKind.KeyIssue,
      digest: computeSecretDigest(secret),
      team,
    },
  };
}

/** Computes the digest that identifies a key; returns a digest unchanged. */
export function computeSecretDigest(text: string): string {
  if (/^[0-9a-f]{64}$/.test(text)) return text;
  return createHash("sha256").update(text).digest("hex");
}
