/** Objects that operators configure, as of one offset of the log. */
import type {
  CellId,
  Incarnation,
  KeyDigest,
  Revision,
  RouteId,
  ServerId,
  ServiceId,
  ShardEpoch,
  ShardIndex,
  TeamId,
  VmName,
} from "./ids.ts";

/** Names of the presets. Exactly one preset is in force at any offset. */
export enum PresetName {
  Ordinary = "ordinary",
  Peak = "peak",
  Maintenance = "maintenance",
}

/** Which callers may use a route. */
export enum RouteAccess {
  Open = "open",
  TeamBound = "team_bound",
}

/** Whether a request that may have run can be retried safely. */
export enum Idempotency {
  Idempotent = "idempotent",
  NonIdempotent = "non_idempotent",
}

/** Whether a backend server may receive new requests. */
export enum ServerPhase {
  Active = "active",
  Draining = "draining",
}

/** Whether an API key is valid. */
export enum KeyPhase {
  Issued = "issued",
  Withdrawn = "withdrawn",
}

/** A team and its quota. */
export interface Team {
  readonly id: TeamId;
  /** The cell whose VMs serve the team. */
  readonly cell: CellId;
  /** Sustained rate over all VMs, in requests per second. */
  readonly ratePerSecond: number;
  /** Maximum number of requests admitted at once over all VMs. */
  readonly burst: number;
  /** Priority of its requests, 0 is the highest; overrides the route's. */
  readonly priority?: number;
  readonly revision: Revision;
}

/** An API key; only its digest is stored. */
export interface Key {
  readonly digest: KeyDigest;
  readonly team: TeamId;
  readonly phase: KeyPhase;
  readonly revision: Revision;
}

/** How many requests a cold server takes. */
export interface WarmUpLimit {
  /** Requests per second from all VMs together, greater than 0. */
  readonly perSecond: number;
  /** Time after its start for which a server is cold, in milliseconds. */
  readonly coldMs: number;
}

/** A group of backend servers that handle the same requests. */
export interface Service {
  readonly id: ServiceId;
  /** Path of health checks; undefined when the service has none. */
  readonly healthPath?: string;
  /** Limit of the requests to a cold server; undefined for no limit. */
  readonly warmUp?: WarmUpLimit;
  readonly revision: Revision;
}

/** A backend server. */
export interface Server {
  readonly id: ServerId;
  readonly service: ServiceId;
  readonly host: string;
  /** TCP port, 1 to 65535. */
  readonly port: number;
  readonly failureDomain: string;
  /** Number of requests that it runs concurrently. */
  readonly slots: number;
  readonly phase: ServerPhase;
  /** Time after {@linkcode Server.listedAt} during which it is slow, in ms. */
  readonly coldMs?: number;
  /** Monotonic time at which this VM learned of the server, in milliseconds. */
  readonly listedAt?: number;
  /** Time of its start, in Unix milliseconds; undefined if it reports none. */
  readonly startedAt?: number;
  readonly revision: Revision;
}

/** A service and the weight of its share of a route's requests. */
export interface ServiceWeight {
  readonly service: ServiceId;
  /** Greater than 0, relative to the other weights of the route. */
  readonly weight: number;
}

/** Forwards requests that match a method and a path prefix to a service. */
export interface Route {
  readonly id: RouteId;
  /** HTTP method in upper case, or `*` for any method. */
  readonly method: string;
  /** Host of the request in lower case; undefined matches any host. */
  readonly host?: string;
  /**
   * Path prefix; matches this path and all paths below it. A prefix that ends
   * with a slash does not match the path without that slash.
   */
  readonly path: string;
  /** The service, or the one with the greatest weight if the route is split. */
  readonly service: ServiceId;
  /** Services that share the requests; undefined sends all to `service`. */
  readonly split?: readonly ServiceWeight[];
  /** Maximum number of attempts per request; undefined means the default. */
  readonly attempts?: number;
  /** Target latency within which a response is worth most, in milliseconds. */
  readonly targetMs?: number;
  /** Priority of its requests, 0 is the highest. */
  readonly priority?: number;
  readonly access: RouteAccess;
  readonly idempotency: Idempotency;
  /** Maximum time from request to end of the response, in milliseconds. */
  readonly deadlineMs: number;
  /** Share of the service's slots, 0 to 1, that ejections must leave in use. */
  readonly floor: number;
  readonly revision: Revision;
}

/** Factors and policies that come into force together. */
export interface Preset {
  readonly name: PresetName;
  /** Factor of the rate and burst of every team; 1 leaves them unchanged. */
  readonly rateFactor: number;
  /** Factor of the deadline of every route; 1 leaves it unchanged. */
  readonly deadlineFactor: number;
  /** Whether requests may be retried or hedged. */
  readonly retries: boolean;
  readonly revision: Revision;
}

/** Whether a quota shard is claimed in the log. */
export enum ShardPhase {
  /** No VM uses it; a claim takes effect at once. */
  Free = "free",
  /** Claimed by a VM, which may have transferred it directly since. */
  Claimed = "claimed",
}

/** A quota shard as recorded in the log: a share of the quotas and one vote. */
export interface QuotaShard {
  readonly cell: CellId;
  readonly index: ShardIndex;
  readonly epoch: ShardEpoch;
  readonly phase: ShardPhase;
  /** The VM that made the newest claim. */
  readonly vm: VmName;
  readonly incarnation: Incarnation;
  /** Whether the claim replaced an owner that may still use the shard. */
  readonly isTakeover: boolean;
  readonly revision: Revision;
}

/** Limits on the connections and requests of callers. */
export interface CallerLimits {
  readonly headerBytes: number;
  readonly bodyBytes: number;
  readonly headerTimeoutMs: number;
  /** Maximum time that a connection stays open without a request. */
  readonly idleTimeoutMs: number;
}

/** A complete configuration that replaces the previous one. */
export interface ConfigurationDocument {
  /** Greater than the version of any earlier document. */
  readonly version: number;
  readonly routes: readonly Route[];
  readonly services: readonly Service[];
  readonly teams: readonly Team[];
  readonly keys: readonly Key[];
  readonly limits: CallerLimits;
}
