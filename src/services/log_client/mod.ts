/** Client interface of the platform's append-only log. */
import type { ConfigurationRecord, LogEntry, Offset } from "../../model/mod.ts";

/** Outcome of an append. */
export enum AppendKind {
  Acknowledged = "acknowledged",
  Refused = "refused",
  /** The record may or may not be in the log. */
  Unknown = "unknown",
}

/** Result of an append. */
export type AppendResult =
  | { readonly kind: AppendKind.Acknowledged; readonly offset: Offset }
  | { readonly kind: AppendKind.Refused; readonly reason: string }
  | { readonly kind: AppendKind.Unknown; readonly reason: string };

/** Outcome of a read. */
export enum ReadKind {
  Entries = "entries",
  /** The log no longer contains the entry at the requested offset. */
  Trimmed = "trimmed",
  Failed = "failed",
}

/** Result of a read. */
export type ReadResult =
  | {
    readonly kind: ReadKind.Entries;
    readonly entries: readonly LogEntry[];
    /** Offset of the newest entry in the log; 0 if the log is empty. */
    readonly head: Offset;
    /** Offset of the oldest entry that the log still contains. */
    readonly first: Offset;
  }
  | {
    readonly kind: ReadKind.Trimmed;
    readonly first: Offset;
    readonly head: Offset;
  }
  | { readonly kind: ReadKind.Failed; readonly reason: string };

/** Parameters of a read. */
export interface ReadRequest {
  /** Offset of the first entry to read. */
  readonly from: Offset;
  /** Maximum number of entries to read. */
  readonly limit: number;
  /** Maximum time in milliseconds to wait for the first entry. */
  readonly waitMs: number;
}

/** Reads from and appends to the platform's log; promises never reject. */
export interface LogClient {
  /** Appends one record. */
  append(record: ConfigurationRecord): Promise<AppendResult>;
  /** Reads consecutive entries. */
  read(request: ReadRequest, signal?: AbortSignal): Promise<ReadResult>;
}
