/** Sources of configurations and server entries, independent of encoding. */
import type {
  ConfigurationDocument,
  Offset,
  Server,
  ServerId,
} from "../../model/mod.ts";

/** Outcome of one read of a source. */
export enum FeedReadKind {
  /** The updates from the requested position up to `next`. */
  Updates = "updates",
  /** The position is below the retained range; read the newest instead. */
  OutOfRange = "forgotten",
  /**
   * The store was restored from an old copy and the position is of an earlier
   * era; read the newest instead, after a delay that spreads such reads.
   */
  EraChanged = "era_changed",
  /** The source rejected the read or did not respond. */
  Unavailable = "unavailable",
}

/** Result of one read. */
export type FeedRead<Update> =
  | {
    readonly kind: FeedReadKind.Updates;
    readonly updates: readonly Update[];
    /** Position of the next read. */
    readonly next: Offset;
    /** Whether the source contained no further updates when it responded. */
    readonly isComplete: boolean;
  }
  | { readonly kind: FeedReadKind.OutOfRange }
  | { readonly kind: FeedReadKind.EraChanged }
  | { readonly kind: FeedReadKind.Unavailable; readonly reason: string };

/** A stream of updates with positions; only the newest are retained. */
export interface FeedSource<Update> {
  /** Reads the newest update of each object; never rejects. */
  readNewest(): Promise<FeedRead<Update>>;
  /**
   * Reads from a position; waits up to `waitMs` for an update. Ends at once
   * when the store has a new era, in which the position is not valid.
   */
  readFrom(position: Offset, waitMs: number): Promise<FeedRead<Update>>;
}

/** A new era of the store, which was restored from an old copy. */
export interface EraChange {
  readonly earlier: number;
  readonly era: number;
}

/** Called with each new era. */
export type EraListener = (change: EraChange) => void;

/** Reports new eras of the store. */
export interface EraSource {
  /** Adds a function to call as soon as any answer shows a new era. */
  addListener(listener: EraListener): void;
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
    readonly offset: Offset;
    readonly document: ConfigurationDocument;
  }
  | {
    readonly kind: DocumentUpdateKind.Unreadable;
    readonly offset: Offset;
    readonly reason: string;
  };

/** Kinds of {@linkcode EvacuationUpdate}. */
export enum EvacuationUpdateKind {
  /** No request may be sent to the servers of the domain. */
  Evacuated = "evacuated",
  /** The servers of the domain are in use again. */
  Restored = "restored",
}

/** An evacuation of a failure domain, or its end. */
export type EvacuationUpdate =
  | {
    readonly kind: EvacuationUpdateKind.Evacuated;
    readonly offset: Offset;
    readonly domain: string;
  }
  | {
    readonly kind: EvacuationUpdateKind.Restored;
    readonly offset: Offset;
    readonly domain: string;
  };

/** What an operator writes to the store. */
export type OperatorUpdate = DocumentUpdate | EvacuationUpdate;

/** Kinds of {@linkcode ServerUpdate}. */
export enum ServerUpdateKind {
  Listed = "listed",
  Removed = "removed",
  /** The entry does not describe a usable server. */
  Unreadable = "unreadable",
}

/** Where this VM learned of a change of the servers. */
export enum ServerOrigin {
  /** A read of the store by this VM. */
  Store = "store",
  /** A message of the hub about a single change. */
  Hub = "hub",
  /** A message of a follower that knows of a removal. */
  Follower = "follower",
  /** The hub's list of all servers. */
  HubList = "hub_list",
  /** An entry that was not written again in time after an outage. */
  Outage = "outage",
}

/** Version by which the entries of one server are ordered. */
export interface ServerVersion {
  /** Start of the server, in milliseconds since 1970; 0 if unknown. */
  readonly startedAt: number;
  /** Increases with each entry since that start. */
  readonly sequence: number;
}

/** An entry that a server wrote about itself. */
export interface ServerEntry extends ServerVersion {
  readonly server: Omit<Server, "revision" | "listedAt" | "startedAt">;
}

/** A server's entry with the offset of its record. */
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
