/** Messages between the daemons of a cell, independent of their encoding. */
import type {
  CellId,
  Incarnation,
  LogEntry,
  Offset,
  RecordId,
  ServerId,
  ShardEpoch,
  ShardIndex,
  SnapshotItem,
  TeamId,
  VmName,
  VmPhase,
} from "../../model/mod.ts";

/** Kinds of messages between daemons; the numbers are sent on the wire. */
export enum PeerMessageKind {
  Hello = 0,
  Heartbeat = 1,
  EntriesRequest = 2,
  Entries = 3,
  Snapshot = 4,
  ShardOffer = 5,
  ShardOfferResponse = 6,
  BorrowRequest = 7,
  BorrowResponse = 8,
  Evidence = 9,
}

/** First message on a connection, in both directions. */
export interface Hello {
  readonly kind: PeerMessageKind.Hello;
  readonly vm: VmName;
  readonly incarnation: Incarnation;
  readonly cell: CellId;
  readonly failureDomain: string;
  /** `host:port` on which the sender accepts callers. */
  readonly callerAddress: string;
  /** The sender itself and all peers that it knows. */
  readonly peers: readonly KnownPeer[];
}

/** A daemon and its address for peers. */
export interface KnownPeer {
  readonly vm: VmName;
  /** `host:port`. */
  readonly address: string;
}

/** A quota shard that its owner may use. */
export interface OwnedShard {
  readonly index: ShardIndex;
  /** Fencing token of the claim under which the shard is owned. */
  readonly epoch: ShardEpoch;
}

/** Status report, sent to each peer at a fixed interval. */
export interface Heartbeat {
  readonly kind: PeerMessageKind.Heartbeat;
  /** Sender's monotonic time in whole milliseconds. */
  readonly sentAt: number;
  /** Newest `sentAt` received from this message's receiver; -1 if none was. */
  readonly heardAt: number;
  /** Newest log offset that the sender has applied. */
  readonly offset: Offset;
  readonly phase: VmPhase;
  /** Whether the sender serves routes that are bound to a team. */
  readonly isFresh: boolean;
  readonly isOverloaded: boolean;
  /** Quota shards that the sender owns. */
  readonly seats: readonly OwnedShard[];
}

/** Requests the entries of the log from an offset on. */
export interface EntriesRequest {
  readonly kind: PeerMessageKind.EntriesRequest;
  readonly from: Offset;
}

/** Consecutive entries of the log, in order. */
export interface Entries {
  readonly kind: PeerMessageKind.Entries;
  readonly entries: readonly LogEntry[];
}

/** One part of a snapshot of the sender's configuration. */
export interface SnapshotPart {
  readonly kind: PeerMessageKind.Snapshot;
  /** Offset up to which the snapshot includes the log. */
  readonly offset: Offset;
  /** Index of this part, from 0. */
  readonly index: number;
  /** Number of parts. */
  readonly total: number;
  readonly items: readonly SnapshotItem[];
  /** Ids of the newest applied records, for the detection of duplicates. */
  readonly appliedIds: readonly RecordId[];
}

/** Tokens of one team in a quota shard. */
export interface ShardBucket {
  readonly team: TeamId;
  readonly tokens: number;
}

/** Transfers a quota shard; the sender has stopped using it. */
export interface ShardOffer {
  readonly kind: PeerMessageKind.ShardOffer;
  /** Id that is unique within the sender's incarnation. */
  readonly transfer: number;
  /** The only incarnation of the receiver that may accept the shard. */
  readonly receiver: Incarnation;
  readonly seat: OwnedShard;
  /** Log offset that the receiver must have applied; the sender has. */
  readonly offset: Offset;
  /** Time since the shard was empty, in milliseconds. */
  readonly ageMs: number;
  /**
   * Teams without a bucket have refilled for `ageMs` if their limits were last
   * changed up to this offset.
   */
  readonly trustedOffset: Offset;
  readonly buckets: readonly ShardBucket[];
}

/** Response to an offer; a repeated offer gets the same response. */
export interface ShardOfferResponse {
  readonly kind: PeerMessageKind.ShardOfferResponse;
  /** Id of the transfer. */
  readonly transfer: number;
  /** Whether the receiver of the offer owns the shard now. */
  readonly isTaken: boolean;
}

/** Requests tokens of one team from a peer. */
export interface BorrowRequest {
  readonly kind: PeerMessageKind.BorrowRequest;
  readonly id: number;
  readonly team: TeamId;
  readonly tokens: number;
}

/** Response to a request for tokens; the lender has deducted them. */
export interface BorrowResponse {
  readonly kind: PeerMessageKind.BorrowResponse;
  readonly id: number;
  readonly tokens: number;
  /** Time in milliseconds, from the request on, until the tokens expire. */
  readonly lifetimeMs: number;
}

/** Outcomes of a VM's requests to a backend server since its last report. */
export interface ServerEvidence {
  readonly server: ServerId;
  readonly successes: number;
  readonly failures: number;
  readonly slow: number;
  /** Whether its responses say that it is leaving. */
  readonly isDraining: boolean;
  /** The start that is leaving, if servers report their starts. */
  readonly leavingStart?: number | undefined;
}

/** Evidence on the health of backend servers, pooled by all VMs. */
export interface Evidence {
  readonly kind: PeerMessageKind.Evidence;
  readonly servers: readonly ServerEvidence[];
}

/** A message between daemons. */
export type PeerMessage =
  | Hello
  | Heartbeat
  | EntriesRequest
  | Entries
  | SnapshotPart
  | ShardOffer
  | ShardOfferResponse
  | BorrowRequest
  | BorrowResponse
  | Evidence;
