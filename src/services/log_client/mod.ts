/** The platform's append-only log, as the rest of the project sees it. */
import type { ConfigurationRecord, LogEntry, Offset } from "../../model/mod.ts";

/** How an append ended. */
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

/** How a read ended. */
export enum ReadKind {
  Entries = "entries",
  /** The log no longer holds the first offset asked for. */
  Trimmed = "trimmed",
  Failed = "failed",
}

/** Result of a read. */
export type ReadResult =
  | {
    readonly kind: ReadKind.Entries;
    readonly entries: readonly LogEntry[];
    /** Offset of the newest entry in the log; 0 when it is empty. */
    readonly head: Offset;
    /** Offset of the oldest entry that the log still holds. */
    readonly first: Offset;
  }
  | {
    readonly kind: ReadKind.Trimmed;
    readonly first: Offset;
    readonly head: Offset;
  }
  | { readonly kind: ReadKind.Failed; readonly reason: string };

/** What to read from the log. */
export interface ReadRequest {
  /** First offset wanted. */
  readonly from: Offset;
  /** Most entries wanted. */
  readonly limit: number;
  /** Longest time in milliseconds to wait for a first entry. */
  readonly waitMs: number;
}

/** Reads from and appends to the platform's log; never throws. */
export interface LogClient {
  /** Appends one record. */
  append(record: ConfigurationRecord): Promise<AppendResult>;
  /** Reads entries in order. */
  read(request: ReadRequest, signal?: AbortSignal): Promise<ReadResult>;
}
