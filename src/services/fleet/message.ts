/** Messages between VMs: a tagged union over what they tell each other. */
import type {
  ConfigurationDocument,
  Incarnation,
  Offset,
  ServerId,
  TeamId,
  VmName,
  VmPhase,
} from "../../model/mod.ts";
import type { ServerEvidence } from "../membership/peer_message.ts";
import type { GoneServer } from "../feed/server_registry.ts";
import type { ServerListing } from "../feed/source.ts";
import type { TokenAsk, TokenGrant } from "../quota/token_exchange.ts";

/** What a message is; short, since it is sent with each. */
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
  TokenAsk = "k",
  TokenGrant = "g",
  TokenReturned = "b",
}

/** What a VM is to the others of its failure domain. */
export enum FleetRole {
  /** It looks for a hub, and reads the store meanwhile. */
  Searching = "searching",
  /** It gets what it knows from a hub. */
  Follower = "follower",
  /** It reads the store for its failure domain and speaks to other hubs. */
  Hub = "hub",
}

/** A VM as it announces itself. */
export interface VmEntry {
  readonly name: VmName;
  readonly incarnation: Incarnation;
  readonly failureDomain: string;
  /** `host:port` on which callers connect. */
  readonly callerAddress: string;
  /** `host:port` on which other VMs connect. */
  readonly peerAddress: string;
  /**
   * What the VM can carry, as cores times Mbit/s; only compared with others. A
   * hub sends to every VM of its domain, which a small one can't keep up with.
   */
  readonly capacity: number;
}

/** What a VM knows already, so that its hub need not send it again. */
export interface KnownState {
  /** Version of its configuration; 0 for none. */
  readonly version: Offset;
  /** Digest of its servers. */
  readonly serversDigest: number;
}

/** A VM that lives, as the fleet tells it. */
export interface LiveVm {
  readonly name: VmName;
  readonly failureDomain: string;
  readonly callerAddress: string;
  readonly phase: VmPhase;
}

/** What is counted; the first character of a {@linkcode Usage}'s name. */
export enum UsageKind {
  /** Requests to a service, and second attempts at it. */
  Retries = "r",
}

/** What was asked for and admitted of one thing; counts since a start. */
export interface Usage {
  /** Service; among other VMs, behind its {@linkcode UsageKind}. */
  readonly name: string;
  /** Requests or second attempts admitted, less those given back. */
  readonly admitted: number;
  /** Requests that arrived, refused ones included. */
  readonly asked: number;
}

/** Opens a link. */
export interface Hello {
  readonly kind: FleetMessageKind.Hello;
  readonly vm: VmEntry;
  readonly role: FleetRole;
  readonly known: KnownState;
}

/** Shows that the sender lives, and what its role is now. */
export interface Alive {
  readonly kind: FleetMessageKind.Alive;
  readonly role: FleetRole;
}

/** Requests in flight at a server. */
export interface InFlight {
  readonly server: ServerId;
  readonly inFlight: number;
}

/** A follower's word to its hub. */
export interface Status {
  readonly kind: FleetMessageKind.Status;
  /** Sender's monotonic time in milliseconds, for the hub to echo. */
  readonly sentAt: number;
  readonly phase: VmPhase;
  /** Age of the newest read of its own that was answered, if there was any. */
  readonly confirmedAgoMs: number | undefined;
  /** Counts that have changed since the last status. */
  readonly usage: readonly Usage[];
  /**
   * Time whose tokens the sender leaves to its hub, in milliseconds; undefined
   * while it keeps its part of them.
   */
  readonly leftMs: number | undefined;
}

/** A confirmation that no newer configuration existed, passed on. */
export interface PassedConfirmation {
  /** `sentAt` of the receiver's newest status. */
  readonly echo: number;
  /** When the confirming read was asked for, counted from that status. */
  readonly askedAfterMs: number;
  /** Newest version at that time. */
  readonly version: Offset;
  /** The same for the newest read of servers; absent before there is one. */
  readonly serversAskedAfterMs?: number | undefined;
}

/** A hub's word to one follower. */
export interface Report {
  readonly kind: FleetMessageKind.Report;
  /** Undefined while the hub has none itself. */
  readonly confirmation: PassedConfirmation | undefined;
  /** Counts of all other VMs together, since the link was opened. */
  readonly others: readonly Usage[];
  /** All VMs that live; undefined when that has not changed. */
  readonly vms: readonly LiveVm[] | undefined;
  /** Digest of the hub's servers. */
  readonly serversDigest: number;
}

/** A hub's word to the hubs of other failure domains. */
export interface DomainReport {
  readonly kind: FleetMessageKind.DomainReport;
  readonly usage: readonly Usage[];
  /** VMs of the domain that live; undefined when that has not changed. */
  readonly vms: readonly LiveVm[] | undefined;
}

/**
 * What the sender's side has in flight: a follower's own, a hub's of all others,
 * or a domain's. Servers alone whose number differs from what was sent before.
 */
export interface LoadChanges {
  readonly kind: FleetMessageKind.Load;
  readonly load: readonly InFlight[];
}

/** VMs that have announced themselves, dead ones included. */
export interface VmsKnown {
  readonly kind: FleetMessageKind.VmsKnown;
  readonly vms: readonly VmEntry[];
}

/** What a VM saw of backend servers, passed on to all VMs. */
export interface FleetEvidence {
  readonly kind: FleetMessageKind.Evidence;
  readonly vm: VmName;
  readonly servers: readonly ServerEvidence[];
}

/** The newest configuration. */
export interface DocumentRelay {
  readonly kind: FleetMessageKind.Document;
  readonly document: ConfigurationDocument;
}

/** All backend servers at an offset of their stream. */
export interface ServersRelay {
  readonly kind: FleetMessageKind.Servers;
  readonly offset: Offset;
  readonly listings: readonly ServerListing[];
}

/** A change of one server's entry. */
export interface ServerSetRelay {
  readonly kind: FleetMessageKind.ServerSet;
  readonly listing: ServerListing;
}

/** A server that is gone. */
export interface ServerRemovedRelay {
  readonly kind: FleetMessageKind.ServerRemoved;
  readonly server: GoneServer;
}

/** Asks a hub for tokens of a team. */
export interface TokenAskMessage {
  readonly kind: FleetMessageKind.TokenAsk;
  readonly ask: TokenAsk;
}

/** Tokens that the sender has set aside for the receiver. */
export interface TokenGrantMessage {
  readonly kind: FleetMessageKind.TokenGrant;
  readonly grant: TokenGrant;
}

/** A token of a request that was not run. */
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
  | TokenAskMessage
  | TokenGrantMessage
  | TokenReturnedMessage;
