/** Where configurations and server entries come from, apart from encoding. */
import type {
  ConfigurationDocument,
  Offset,
  Server,
  ServerId,
} from "../../model/mod.ts";

/** How one read of a source ended. */
export enum FeedReadKind {
  /** Everything from the position that was asked for up to `next`. */
  Updates = "updates",
  /** The source has dropped what was asked for; read the newest instead. */
  Forgotten = "forgotten",
  /** The source refused or did not answer. */
  Unavailable = "unavailable",
}

/** Result of one read. */
export type FeedRead<Update> =
  | {
    readonly kind: FeedReadKind.Updates;
    readonly updates: readonly Update[];
    /** Position to read from next. */
    readonly next: Offset;
    /** Whether `updates` reach what the source held when it answered. */
    readonly isComplete: boolean;
  }
  | { readonly kind: FeedReadKind.Forgotten }
  | { readonly kind: FeedReadKind.Unavailable; readonly reason: string };

/** A stream of updates with positions, of which the newest are kept. */
export interface FeedSource<Update> {
  /** Reads the newest update of each object; never rejects. */
  readNewest(): Promise<FeedRead<Update>>;
  /** Reads from a position, and waits up to `waitMs` for an update. */
  readFrom(position: Offset, waitMs: number): Promise<FeedRead<Update>>;
}

/** Kinds of {@linkcode DocumentUpdate}. */
export enum DocumentUpdateKind {
  Readable = "readable",
  Unreadable = "unreadable",
}

/** A configuration that an operator published. */
export type DocumentUpdate =
  | {
    readonly kind: DocumentUpdateKind.Readable;
    readonly document: ConfigurationDocument;
  }
  | { readonly kind: DocumentUpdateKind.Unreadable; readonly reason: string };

/** Kinds of {@linkcode ServerUpdate}. */
export enum ServerUpdateKind {
  Listed = "listed",
  Removed = "removed",
  /** The entry names no server that could be used. */
  Unreadable = "unreadable",
}

/** Who told this VM of a change of the servers. */
export enum ServerOrigin {
  /** The store, in a read of this VM's own. */
  Store = "store",
  /** The hub, when it learned of the change itself. */
  Hub = "hub",
  /** The hub, with all of its servers. */
  HubList = "hub_list",
  /** Time alone: an entry did not come back after an outage. */
  Outage = "outage",
}

/** Orders what a server wrote of itself. */
export interface ServerVersion {
  /** Start of the server, in milliseconds since 1970; 0 if it does not say. */
  readonly startedAt: number;
  /** Grows with each entry of one start. */
  readonly sequence: number;
}

/** A server's own word on itself. */
export interface ServerEntry extends ServerVersion {
  readonly server: Omit<Server, "revision" | "listedAt">;
}

/** A server's entry with the offset of the record that holds it. */
export interface ServerListing {
  readonly offset: Offset;
  readonly entry: ServerEntry;
}

/** A change of one server's entry. */
export type ServerUpdate =
  | ({ readonly kind: ServerUpdateKind.Listed } & ServerListing)
  | {
    readonly kind: ServerUpdateKind.Removed;
    readonly offset: Offset;
    readonly id: ServerId;
  }
  | {
    readonly kind: ServerUpdateKind.Unreadable;
    readonly offset: Offset;
    readonly id: ServerId;
    readonly reason: string;
  };
