/** Records of the log: a discriminated union of all changes. */
import type {
  Key,
  Preset,
  PresetName,
  QuotaShard,
  Route,
  Server,
  Service,
  Team,
} from "./configuration.ts";
import type {
  CellId,
  Incarnation,
  KeyDigest,
  Offset,
  RecordId,
  Revision,
  RouteId,
  ServerId,
  ShardEpoch,
  ShardIndex,
  TeamId,
  VmName,
} from "./ids.ts";

/** Kinds of {@linkcode Change}. */
export enum RecordKind {
  TeamSet = "team_set",
  TeamRemove = "team_remove",
  KeyIssue = "key_issue",
  KeyWithdraw = "key_withdraw",
  ServiceSet = "service_set",
  ServerSet = "server_set",
  ServerRemove = "server_remove",
  RouteSet = "route_set",
  RouteRemove = "route_remove",
  PresetSet = "preset_set",
  PresetSwitch = "preset_switch",
  DomainEvacuate = "domain_evacuate",
  DomainRestore = "domain_restore",
  ShardClaim = "seat_claim",
  ShardRelease = "seat_release",
  SnapshotChunk = "snapshot_chunk",
}

/** An object without its revision, which is the offset of its record. */
export type WithoutRevision<T extends { revision: Revision }> = Omit<
  T,
  "revision"
>;

/** The change that a record makes. */
export type Change =
  | { readonly kind: RecordKind.TeamSet; readonly team: WithoutRevision<Team> }
  | { readonly kind: RecordKind.TeamRemove; readonly team: TeamId }
  | {
    readonly kind: RecordKind.KeyIssue;
    readonly digest: KeyDigest;
    readonly team: TeamId;
  }
  | { readonly kind: RecordKind.KeyWithdraw; readonly digest: KeyDigest }
  | {
    readonly kind: RecordKind.ServiceSet;
    readonly service: WithoutRevision<Service>;
  }
  | {
    readonly kind: RecordKind.ServerSet;
    readonly server: WithoutRevision<Server>;
  }
  | { readonly kind: RecordKind.ServerRemove; readonly server: ServerId }
  | {
    readonly kind: RecordKind.RouteSet;
    readonly route: WithoutRevision<Route>;
  }
  | { readonly kind: RecordKind.RouteRemove; readonly route: RouteId }
  | {
    readonly kind: RecordKind.PresetSet;
    readonly preset: WithoutRevision<Preset>;
  }
  | { readonly kind: RecordKind.PresetSwitch; readonly preset: PresetName }
  | { readonly kind: RecordKind.DomainEvacuate; readonly domain: string }
  | { readonly kind: RecordKind.DomainRestore; readonly domain: string }
  | { readonly kind: RecordKind.ShardClaim; readonly claim: ShardClaim }
  | {
    readonly kind: RecordKind.ShardRelease;
    readonly cell: CellId;
    readonly seat: ShardIndex;
    readonly epoch: ShardEpoch;
  }
  | {
    readonly kind: RecordKind.SnapshotChunk;
    readonly chunk: SnapshotChunk;
  };

/** A VM's claim of a quota shard, whether free or owned. */
export interface ShardClaim {
  readonly cell: CellId;
  readonly seat: ShardIndex;
  /** One more than the shard epoch that the claim ends. */
  readonly epoch: ShardEpoch;
  readonly vm: VmName;
  readonly incarnation: Incarnation;
}

/** One part of a snapshot, which is complete when all parts have been read. */
export interface SnapshotChunk {
  readonly snapshot: string;
  readonly scope: SnapshotScope;
  /** The snapshot includes the effects of all entries up to this offset. */
  readonly offset: Offset;
  /** Index of this part, from 0. */
  readonly index: number;
  /** Number of parts. */
  readonly total: number;
  readonly items: readonly SnapshotItem[];
}

/** Kinds of {@linkcode SnapshotScope}. */
export enum SnapshotScopeKind {
  /** Services, servers, routes, presets and evacuated failure domains. */
  Fleet = "fleet",
  /** The teams and keys of one cell. */
  Cell = "cell",
}

/** The objects that a snapshot contains. */
export type SnapshotScope =
  | { readonly kind: SnapshotScopeKind.Fleet }
  | { readonly kind: SnapshotScopeKind.Cell; readonly cell: CellId };

/** Kinds of {@linkcode SnapshotItem}. */
export enum SnapshotItemKind {
  Team = "team",
  Key = "key",
  Service = "service",
  Server = "server",
  Route = "route",
  Preset = "preset",
  PresetInForce = "preset_in_force",
  Evacuation = "evacuation",
  QuotaShard = "seat",
  AppliedId = "applied_id",
}

/** One object in a snapshot. */
export type SnapshotItem =
  | { readonly kind: SnapshotItemKind.Team; readonly team: Team }
  | { readonly kind: SnapshotItemKind.Key; readonly key: Key }
  | { readonly kind: SnapshotItemKind.Service; readonly service: Service }
  | { readonly kind: SnapshotItemKind.Server; readonly server: Server }
  | { readonly kind: SnapshotItemKind.Route; readonly route: Route }
  | { readonly kind: SnapshotItemKind.Preset; readonly preset: Preset }
  | {
    readonly kind: SnapshotItemKind.PresetInForce;
    readonly preset: PresetName;
    readonly revision: Revision;
  }
  | {
    readonly kind: SnapshotItemKind.Evacuation;
    readonly domain: string;
    readonly revision: Revision;
  }
  | { readonly kind: SnapshotItemKind.QuotaShard; readonly seat: QuotaShard }
  | { readonly kind: SnapshotItemKind.AppliedId; readonly id: RecordId };

/** A record as its author wrote it. */
export interface ConfigurationRecord {
  /** Version of the record format. */
  readonly version: number;
  readonly id: RecordId;
  /** Revision that the changed object must have for the record to apply. */
  readonly base: Revision;
  readonly change: Change;
}

/** Whether an entry could be decoded. */
export enum EntryKind {
  Record = "record",
  Malformed = "malformed",
}

/** An entry as read from the log. */
export type LogEntry =
  | {
    readonly kind: EntryKind.Record;
    readonly offset: Offset;
    readonly record: ConfigurationRecord;
  }
  | {
    readonly kind: EntryKind.Malformed;
    readonly offset: Offset;
    readonly reason: string;
  };

/** Kinds of {@linkcode Verdict}. */
export enum VerdictKind {
  Accepted = "accepted",
  Conflict = "conflict",
  Duplicate = "duplicate",
  Skipped = "skipped",
}

/** Result of applying a record; depends only on the log, so all VMs agree. */
export type Verdict =
  | { readonly kind: VerdictKind.Accepted; readonly revision: Revision }
  | { readonly kind: VerdictKind.Conflict; readonly current: Revision }
  | { readonly kind: VerdictKind.Duplicate }
  | { readonly kind: VerdictKind.Skipped; readonly reason: string };
