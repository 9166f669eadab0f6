/** Appends an operator's change to the log and reads back its result. */
import { randomUUID } from "node:crypto";
import { LOG_READ_LIMIT_ENTRIES, RECORD_VERSION } from "../constants.ts";
import { VerdictKind } from "../model/mod.ts";
import type {
  Change,
  ConfigurationRecord,
  Offset,
  Verdict,
} from "../model/mod.ts";
import { checkRecord } from "../protocols/log/record_codec.ts";
import type { Clock } from "../services/clock/mod.ts";
import { Configuration, getRevision } from "../services/configuration/mod.ts";
import { AppendKind, ReadKind } from "../services/log_client/mod.ts";
import type { LogClient } from "../services/log_client/mod.ts";
import { loadFromLog } from "../services/log_reader/recovery.ts";

const MAX_READ_BACK_ATTEMPTS = 8;
const READ_BACK_DELAY_MS = 250;

/** Result of a change, as far as it is known. */
export enum PublishKind {
  Accepted = "accepted",
  Conflict = "conflict",
  /** The change is in the log but has no effect. */
  Ineffective = "ineffective",
  /** The change was not appended. */
  Refused = "refused",
  /** The change may still come into force; its record id identifies it. */
  Unknown = "unknown",
}

/** Result of a change. */
export type PublishResult =
  | {
    readonly kind: PublishKind.Accepted;
    readonly record: string;
    readonly offset: Offset;
  }
  | {
    readonly kind: PublishKind.Conflict;
    readonly record: string;
    readonly reason: string;
  }
  | {
    readonly kind: PublishKind.Ineffective;
    readonly record: string;
    readonly reason: string;
  }
  | { readonly kind: PublishKind.Refused; readonly reason: string }
  | {
    readonly kind: PublishKind.Unknown;
    readonly record: string;
    readonly reason: string;
  };

/** Dependencies of {@linkcode publishChange}. */
export interface PublisherDependencies {
  readonly log: LogClient;
  readonly clock: Clock;
}

/** Thrown if the configuration can't be read; nothing has been appended. */
export class ReadFailedError extends Error {
  /** Creates an error with the reason that the log client reported. */
  constructor(reason: string) {
    super(`cannot read the log: ${reason}`);
    this.name = "ReadFailedError";
  }
}

/**
 * Reads the complete configuration of all cells.
 *
 * Throws {@linkcode ReadFailedError} if the log can't be read to its head.
 */
export async function readConfiguration(
  deps: PublisherDependencies,
): Promise<Configuration> {
  const configuration = new Configuration(undefined, deps.clock);
  const reason = await updateConfiguration(deps.log, configuration);
  if (reason !== undefined) throw new ReadFailedError(reason);
  return configuration;
}

/**
 * Appends a change based on `configuration` and reads back its verdict.
 *
 * The record is appended only once. If the response is lost, the verdict is
 * still found by the record id.
 */
export async function publishChange(
  deps: PublisherDependencies,
  configuration: Configuration,
  change: Change,
): Promise<PublishResult> {
  const record: ConfigurationRecord = {
    version: RECORD_VERSION,
    id: randomUUID(),
    base: getRevision(configuration.state, change),
    change,
  };
  const errors = checkRecord(record);
  if (errors.length > 0) {
    return { kind: PublishKind.Refused, reason: errors.join("; ") };
  }
  const appended = await deps.log.append(record);
  if (appended.kind === AppendKind.Refused) {
    return { kind: PublishKind.Refused, reason: appended.reason };
  }
  return await readBack(deps, configuration, record.id);
}

/** Reads the log until it contains the record or no attempt is left. */
async function readBack(
  deps: PublisherDependencies,
  configuration: Configuration,
  id: string,
): Promise<PublishResult> {
  let reason = "the record is not in the log yet";
  for (let attempt = 0; attempt < MAX_READ_BACK_ATTEMPTS; attempt += 1) {
    const failure = await updateConfiguration(deps.log, configuration);
    const verdict = configuration.getVerdict(id);
    if (verdict !== undefined) return createResult(id, verdict);
    reason = failure ?? reason;
    await deps.clock.sleep(READ_BACK_DELAY_MS);
  }
  return { kind: PublishKind.Unknown, record: id, reason };
}

function createResult(record: string, verdict: Verdict): PublishResult {
  switch (verdict.kind) {
    case VerdictKind.Accepted:
      return { kind: PublishKind.Accepted, record, offset: verdict.revision };
    case VerdictKind.Conflict:
      return {
        kind: PublishKind.Conflict,
        record,
        reason: `another change came first; revision is now ${verdict.current}`,
      };
    case VerdictKind.Duplicate:
      return {
        kind: PublishKind.Ineffective,
        record,
        reason: "the record id has already been used",
      };
    case VerdictKind.Skipped:
      return { kind: PublishKind.Ineffective, record, reason: verdict.reason };
  }
}

/** Applies the log up to its head; resolves to the reason if that fails. */
async function updateConfiguration(
  log: LogClient,
  configuration: Configuration,
): Promise<string | undefined> {
  while (true) {
    const result = await log.read({
      from: configuration.offset + 1,
      limit: LOG_READ_LIMIT_ENTRIES,
      waitMs: 0,
    });
    switch (result.kind) {
      case ReadKind.Failed:
        return result.reason;
      case ReadKind.Trimmed: {
        const { signal } = new AbortController();
        const deps = { log, configuration };
        if (await loadFromLog(deps, result.first, signal)) break;
        return "it was trimmed and contains no complete snapshot";
      }
      case ReadKind.Entries:
        for (const entry of result.entries) configuration.apply(entry);
        if (configuration.offset >= result.head) return undefined;
    }
  }
}
