/** Messages between the VMs of a fleet, independent of their encoding. */
import type {
  ConfigurationDocument,
  Incarnation,
  Offset,
  ServerId,
  TeamId,
  VmName,
  VmPhase,
} from "../../model/mod.ts";
import type { EvacuatedDomain } from "../evacuation/evacuated_domains.ts";
import type { ServerEvidence } from "../membership/peer_message.ts";
import type { ServerTombstone } from "../feed/server_registry.ts";
import type { ServerListing } from "../feed/source.ts";
import type { TokenGrant, TokenRequest } from "../quota/token_exchange.ts";

/** Kind of a message; the values are short since each message contains one. */
export enum FleetMessageKind {
  Hello = "h",
  Alive = "a",
  Status = "s",
  Report = "r",
  DomainReport = "d",
  Load = "o",
  VmsKnown = "v",
  Evidence = "e",
  Document = "c",
  Servers = "l",
  ServerSet = "n",
  ServerRemoved = "x",
  Evacuations = "w",
  TokenRequest = "k",
  TokenGrant = "g",
  TokenReturned = "b",
}

/** Role of a VM in its failure domain. */
export enum FleetRole {
  /** Searches for a hub and reads the store meanwhile. */
  Searching = "searching",
  /** Receives configurations and servers from a hub. */
  Follower = "follower",
  /** Reads the store for its failure domain and reports to other hubs. */
  Hub = "hub",
}

/** Why a VM opens a connection to another one. */
export enum HelloPurpose {
  /** To keep a link, whose kind follows from the roles of both VMs. */
  Link = "link",
  /** To get the other VM's state once. */
  State = "state",
}

/** Directory entry of a VM. */
export interface VmEntry {
  readonly name: VmName;
  readonly incarnation: Incarnation;
  readonly failureDomain: string;
  /** `host:port` for callers. */
  readonly callerAddress: string;
  /** `host:port` for other VMs. */
  readonly peerAddress: string;
  /**
   * Capacity of the VM as cores times Mbit/s, to rank candidates for the hub. A
   * hub sends to every VM of its domain, which overloads a small VM.
   */
  readonly capacity: number;
}

/** Data that a VM already has and its hub need not send again. */
export interface KnownState {
  /** Version of the VM's configuration; 0 for none. */
  readonly version: Offset;
  /** Digest of the VM's list of servers. */
  readonly serversDigest: number;
}

/** A live VM, as reported between VMs. */
export interface LiveVm {
  readonly name: VmName;
  readonly failureDomain: string;
  readonly callerAddress: string;
  readonly phase: VmPhase;
}

/** Changes of a list of live VMs since the last report on the same link. */
export interface LiveVmChanges {
  /** VMs that are new or whose entry has changed. */
  readonly set: readonly LiveVm[];
  /** VMs that are no longer live. */
  readonly removed: readonly VmName[];
}

/** What is counted; the first character of the name in a {@linkcode Usage}. */
export enum UsageKind {
  /** Requests to a service, with its retries and hedges. */
  Retries = "r",
}

/** Counts of one name since the start of the sender. */
export interface Usage {
  /** Service; in messages with its {@linkcode UsageKind} as a prefix. */
  readonly name: string;
  /** Admitted retries and hedges. */
  readonly admitted: number;
  /** Requests that arrived, including refused ones. */
  readonly asked: number;
}

/** First message in both directions on a link. */
export interface Hello {
  readonly kind: FleetMessageKind.Hello;
  readonly vm: VmEntry;
  readonly role: FleetRole;
  readonly known: KnownState;
  readonly purpose: HelloPurpose;
}

/** Heartbeat with the sender's current role. */
export interface Alive {
  readonly kind: FleetMessageKind.Alive;
  readonly role: FleetRole;
}

/** Number of requests in flight at a server. */
export interface InFlight {
  readonly server: ServerId;
  readonly inFlight: number;
}

/** Status that a follower reports to its hub. */
export interface Status {
  readonly kind: FleetMessageKind.Status;
  /** Sender's monotonic time in milliseconds; the hub echoes it. */
  readonly sentAt: number;
  readonly phase: VmPhase;
  /** Age of the sender's newest successful read of the store, if any, in ms. */
  readonly confirmedAgoMs: number | undefined;
  /** Counts that have changed since the last status. */
  readonly usage: readonly Usage[];
  /**
   * Refill time that the sender delegates to its hub, in milliseconds;
   * undefined while the sender refills its own share of the tokens.
   */
  readonly leftMs: number | undefined;
}

/** A hub's confirmation that no newer configuration existed. */
export interface RelayedConfirmation {
  /** `sentAt` of the newest status that the hub received from the follower. */
  readonly echo: number;
  /** Request time of the confirming read, relative to that status, in ms. */
  readonly askedAfterMs: number;
  /** Newest version of the configuration at that time. */
  readonly version: Offset;
  /** Offset up to which the evacuations must be known; -1 if there are none. */
  readonly evacuationsAt: Offset;
  /** The same for the newest read of servers; absent before the first. */
  readonly serversAskedAfterMs?: number | undefined;
}

/** Report of a hub to one follower. */
export interface Report {
  readonly kind: FleetMessageKind.Report;
  /** Undefined until the hub has a confirmation and a status to echo. */
  readonly confirmation: RelayedConfirmation | undefined;
  /** Changed sums of the counts of all other VMs. */
  readonly others: readonly Usage[];
  /** All live VMs, in the first report of a link. */
  readonly vms: readonly LiveVm[] | undefined;
  /** Live VMs that have changed since then; undefined if none has. */
  readonly vmChanges: LiveVmChanges | undefined;
  /** Digest of the hub's list of servers. */
  readonly serversDigest: number;
}

/** Report of a hub to the hub of another failure domain. */
export interface DomainReport {
  readonly kind: FleetMessageKind.DomainReport;
  /** Version of the sender's configuration; 0 for none. */
  readonly version: Offset;
  readonly usage: readonly Usage[];
  /** All live VMs of the domain, in the first report of a link. */
  readonly vms: readonly LiveVm[] | undefined;
  /** Live VMs that have changed since then; undefined if none has. */
  readonly vmChanges: LiveVmChanges | undefined;
}

/**
 * Changed loads. A follower reports its own load; a hub reports the load of all
 * other VMs to a follower, and the load of its domain to other hubs. Contains
 * only servers whose number has changed since the last message.
 */
export interface LoadChanges {
  readonly kind: FleetMessageKind.Load;
  readonly load: readonly InFlight[];
}

/** VMs in the directory, including dead ones. */
export interface VmsKnown {
  readonly kind: FleetMessageKind.VmsKnown;
  readonly vms: readonly VmEntry[];
  /** VMs that were removed from the directory; undefined for none. */
  readonly removed?: readonly VmName[] | undefined;
}

/** A VM's evidence about backend servers, relayed to all VMs. */
export interface FleetEvidence {
  readonly kind: FleetMessageKind.Evidence;
  readonly vm: VmName;
  readonly servers: readonly ServerEvidence[];
}

/** The newest configuration, relayed by the hub. */
export interface DocumentRelay {
  readonly kind: FleetMessageKind.Document;
  readonly document: ConfigurationDocument;
}

/** All backend servers at an offset of their stream, relayed by the hub. */
export interface ServersRelay {
  readonly kind: FleetMessageKind.Servers;
  readonly offset: Offset;
  readonly listings: readonly ServerListing[];
  /** Newest removals, so that no older entry adds those servers again. */
  readonly tombstones: readonly ServerTombstone[];
}

/** A new or changed entry of a server. */
export interface ServerSetRelay {
  readonly kind: FleetMessageKind.ServerSet;
  readonly listing: ServerListing;
}

/** A removed server. */
export interface ServerRemovedRelay {
  readonly kind: FleetMessageKind.ServerRemoved;
  readonly server: ServerTombstone;
}

/** The evacuated failure domains, complete up to an offset. */
export interface EvacuationsRelay {
  readonly kind: FleetMessageKind.Evacuations;
  readonly upTo: Offset;
  readonly domains: readonly EvacuatedDomain[];
}

/** Request to a hub for tokens of a team. */
export interface TokenRequestMessage {
  readonly kind: FleetMessageKind.TokenRequest;
  readonly ask: TokenRequest;
}

/** Response to a token request; the sender has reserved the tokens. */
export interface TokenGrantMessage {
  readonly kind: FleetMessageKind.TokenGrant;
  readonly grant: TokenGrant;
}

/** Refund of a token whose request was not run. */
export interface TokenReturnedMessage {
  readonly kind: FleetMessageKind.TokenReturned;
  readonly team: TeamId;
}

/** A message between VMs. */
export type FleetMessage =
  | Hello
  | Alive
  | Status
  | Report
  | DomainReport
  | LoadChanges
  | VmsKnown
  | FleetEvidence
  | DocumentRelay
  | ServersRelay
  | ServerSetRelay
  | ServerRemovedRelay
  | EvacuationsRelay
  | TokenRequestMessage
  | TokenGrantMessage
  | TokenReturnedMessage;
