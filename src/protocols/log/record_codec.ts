/** Encodes the log's records as JSON, and validates them when decoding. */
import * as z from "zod";
import { SHARDS_PER_CELL } from "../../constants.ts";
import {
  EntryKind,
  Idempotency,
  KeyPhase,
  PresetName,
  RecordKind,
  RouteAccess,
  ServerPhase,
  ShardPhase,
  SnapshotItemKind,
  SnapshotScopeKind,
} from "../../model/mod.ts";
import type {
  ConfigurationRecord,
  LogEntry,
  Offset,
  SnapshotItem,
} from "../../model/mod.ts";

const MAX_PORT = 65_535;
const MAX_DEADLINE_MS = 600_000;
const MAX_FACTOR = 100;

const id = z.string().regex(/^[a-z0-9][a-z0-9.-]{0,63}$/);
const digest = z.string().regex(/^[0-9a-f]{64}$/);
const revision = z.int().min(0);
const positive = z.number().positive();

const team = {
  id,
  cell: id,
  ratePerSecond: positive,
  burst: z.number().min(1),
};
const service = { id };
const server = {
  id,
  service: id,
  host: z.string().min(1).max(255),
  port: z.int().min(1).max(MAX_PORT),
  failureDomain: id,
  slots: z.int().min(1),
  phase: z.enum(ServerPhase),
};
const route = {
  id,
  method: z.string().regex(/^(\*|[A-Z]+)$/),
  path: z.string().regex(/^\/([^?#\s]*[^/?#\s])?$/),
  service: id,
  access: z.enum(RouteAccess),
  idempotency: z.enum(Idempotency),
  deadlineMs: positive.max(MAX_DEADLINE_MS),
  floor: z.number().min(0).max(1),
};
const preset = {
  name: z.enum(PresetName),
  rateFactor: positive.max(MAX_FACTOR),
  deadlineFactor: positive.max(MAX_FACTOR),
  retries: z.boolean(),
};
const shardClaim = {
  cell: id,
  seat: z.int().min(0).max(SHARDS_PER_CELL - 1),
  epoch: z.int().min(1),
  vm: id,
  incarnation: z.int().min(0),
};
const shard = {
  cell: id,
  index: z.int().min(0).max(SHARDS_PER_CELL - 1),
  epoch: z.int().min(0),
  phase: z.enum(ShardPhase),
  vm: z.string(),
  incarnation: z.int().min(0),
  isTakeover: z.boolean(),
};
const key = { digest, team: id, phase: z.enum(KeyPhase) };

function createRevisedSchema<Shape extends z.ZodRawShape>(
  shape: Shape,
): z.ZodObject<Shape & { revision: typeof revision }> {
  return z.object({ ...shape, revision }) as z.ZodObject<
    Shape & { revision: typeof revision }
  >;
}

const snapshotItem = z.discriminatedUnion("kind", [
  z.object({
    kind: z.literal(SnapshotItemKind.Team),
    team: createRevisedSchema(team),
  }),
  z.object({
    kind: z.literal(SnapshotItemKind.Key),
    key: createRevisedSchema(key),
  }),
  z.object({
    kind: z.literal(SnapshotItemKind.Service),
    service: createRevisedSchema(service),
  }),
  z.object({
    kind: z.literal(SnapshotItemKind.Server),
    server: createRevisedSchema(server),
  }),
  z.object({
    kind: z.literal(SnapshotItemKind.Route),
    route: createRevisedSchema(route),
  }),
  z.object({
    kind: z.literal(SnapshotItemKind.Preset),
    preset: createRevisedSchema(preset),
  }),
  z.object({
    kind: z.literal(SnapshotItemKind.PresetInForce),
    preset: z.enum(PresetName),
    revision,
  }),
  z.object({
    kind: z.literal(SnapshotItemKind.Evacuation),
    domain: id,
    revision,
  }),
  z.object({
    kind: z.literal(SnapshotItemKind.QuotaShard),
    seat: createRevisedSchema(shard),
  }),
  z.object({ kind: z.literal(SnapshotItemKind.AppliedId), id: z.string() }),
]);

const snapshotScope = z.discriminatedUnion("kind", [
  z.object({ kind: z.literal(SnapshotScopeKind.Fleet) }),
  z.object({ kind: z.literal(SnapshotScopeKind.Cell), cell: id }),
]);

const snapshotChunk = z.object({
  snapshot: z.string().min(1),
  scope: snapshotScope,
  offset: z.int().min(0),
  index: z.int().min(0),
  total: z.int().min(1),
  items: z.array(snapshotItem),
});

const change = z.discriminatedUnion("kind", [
  z.object({ kind: z.literal(RecordKind.TeamSet), team: z.object(team) }),
  z.object({ kind: z.literal(RecordKind.TeamRemove), team: id }),
  z.object({ kind: z.literal(RecordKind.KeyIssue), digest, team: id }),
  z.object({ kind: z.literal(RecordKind.KeyWithdraw), digest }),
  z.object({
    kind: z.literal(RecordKind.ServiceSet),
    service: z.object(service),
  }),
  z.object({ kind: z.literal(RecordKind.ServerSet), server: z.object(server) }),
  z.object({ kind: z.literal(RecordKind.ServerRemove), server: id }),
  z.object({ kind: z.literal(RecordKind.RouteSet), route: z.object(route) }),
  z.object({ kind: z.literal(RecordKind.RouteRemove), route: id }),
  z.object({ kind: z.literal(RecordKind.PresetSet), preset: z.object(preset) }),
  z.object({
    kind: z.literal(RecordKind.PresetSwitch),
    preset: z.enum(PresetName),
  }),
  z.object({ kind: z.literal(RecordKind.DomainEvacuate), domain: id }),
  z.object({ kind: z.literal(RecordKind.DomainRestore), domain: id }),
  z.object({
    kind: z.literal(RecordKind.ShardClaim),
    claim: z.object(shardClaim),
  }),
  z.object({
    kind: z.literal(RecordKind.ShardRelease),
    cell: id,
    seat: shardClaim.seat,
    epoch: shardClaim.epoch,
  }),
  z.object({
    kind: z.literal(RecordKind.SnapshotChunk),
    chunk: snapshotChunk,
  }),
]);

const recordSchema: z.ZodType<ConfigurationRecord> = z.object({
  version: z.int().min(1),
  id: z.string().min(1).max(128),
  base: revision,
  change,
});

/** Validates the snapshot items of a peer; undefined if any is invalid. */
export function decodeSnapshotItems(
  value: unknown,
): SnapshotItem[] | undefined {
  const parsed = z.array(snapshotItem).safeParse(value);
  return parsed.success ? parsed.data : undefined;
}

/** Encodes a record as the JSON text of a log entry. */
export function encodeRecord(record: ConfigurationRecord): string {
  return JSON.stringify(record);
}

/** Decodes the text of a log entry; invalid text yields a malformed entry. */
export function decodeEntry(offset: Offset, text: string): LogEntry {
  let value: unknown;
  try {
    value = JSON.parse(text);
  } catch {
    return { kind: EntryKind.Malformed, offset, reason: "not JSON" };
  }
  const parsed = recordSchema.safeParse(value);
  if (parsed.success) {
    return { kind: EntryKind.Record, offset, record: parsed.data };
  }
  const issue = parsed.error.issues[0];
  const reason = `${issue?.path.join(".")}: ${issue?.message}`;
  return { kind: EntryKind.Malformed, offset, reason };
}

/**
 * Validates a record before it is appended.
 *
 * Returns one line per error; the list is empty if the record is valid.
 */
export function checkRecord(record: ConfigurationRecord): string[] {
  const parsed = recordSchema.safeParse(record);
  if (parsed.success) return [];
  return parsed.error.issues.map((issue) =>
    `${issue.path.join(".")}: ${issue.message}`
  );
}
