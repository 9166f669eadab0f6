/** Constants that several modules share, with the unit in the name. */

/** Prefix of the environment variables that provide settings. */
export const ENVIRONMENT_PREFIX = "RHUBARBWALL";
/** Format version of the records that this build writes to the log. */
export const RECORD_VERSION = 1;
/** Path prefix of the endpoints that the daemon serves itself. */
export const LOCAL_PATH_PREFIX = "/rhubarbwall/v1";

/** Time after which a configuration without new confirmations is stale. */
export const FRESHNESS_BOUND_MS = 3_000;
/** Maximum time that a read of the log waits for a new entry. */
export const LOG_POLL_WAIT_MS = 1_000;
/** Default retention time of the log. */
export const LOG_RETENTION_MS = 86_400_000;
/** Timeout of a call to the log, in addition to the wait of a read. */
export const LOG_TIMEOUT_MS = 2_500;
/**
 * Time after which an idle connection to the log or the store is closed. A call
 * on a connection that was lost while idle would run into its timeout, whereas
 * a new connection costs one round trip. Regular reads are less than a second
 * apart and reuse their connection.
 */
export const LOG_IDLE_LIMIT_MS = 2_000;
/** Initial delay before a failed read of the log is retried. */
export const LOG_RETRY_MIN_MS = 100;
/** Maximum delay before a failed read of the log is retried. */
export const LOG_RETRY_MAX_MS = 1_000;
/** Maximum number of entries that one read of the log returns. */
export const LOG_READ_LIMIT_ENTRIES = 1_000;
/** Maximum number of record ids tracked to detect duplicate records. */
export const MAX_APPLIED_IDS = 100_000;

/** Quota shards of a cell; each is a share of the quotas and one vote. */
export const SHARDS_PER_CELL = 64;
/** Maximum relative drift between the monotonic clocks of two VMs. */
export const CLOCK_DRIFT_RATIO = 0.01;
/** Time after which a quota shard without an owner is claimed by another VM. */
export const SHARD_ORPHAN_MS = 5_000;
/** Interval of the check for quota shards to claim or transfer. */
export const SHARD_CHECK_MS = 500;
/** Time after which an unacknowledged offer of a quota shard is sent again. */
export const SHARD_RESEND_MS = 300;

/** How long the application times of log entries are retained. */
export const APPLIED_TIMES_RETENTION_MS = 600_000;
/** Interval of the heartbeats to a peer. */
export const HEARTBEAT_INTERVAL_MS = 1_000;
/** Time without a heartbeat after which a peer is considered unresponsive. */
export const PEER_TIMEOUT_MS = 3_000;
/** Delay before the connection to an unreachable peer is retried. */
export const PEER_RETRY_MS = 500;
/** Interval of the reads of the platform's VM list. */
export const VM_LIST_INTERVAL_MS = 2_000;
/** Timeout of a read of the VM list. */
export const VM_LIST_TIMEOUT_MS = 2_000;
/** Maximum number of objects in one record of a snapshot. */
export const SNAPSHOT_CHUNK_ITEMS = 500;
/** Number of new entries after which a snapshot is due. */
export const SNAPSHOT_INTERVAL_ENTRIES = 5_000;
/** Share of the log's retention time after which a snapshot is due, 0 to 1. */
export const SNAPSHOT_RETENTION_RATIO = 0.125;
/** Number of entries retained to relay to peers that cannot read the log. */
export const RELAY_RETENTION_ENTRIES = 4_096;
/** Maximum number of entries in one message to a peer. */
export const RELAY_BATCH_ENTRIES = 256;

/** Maximum size of a request's header block. */
export const CALLER_HEADER_LIMIT_BYTES = 16_384;
/** Maximum idle time of a caller's connection between two requests. */
export const CALLER_IDLE_TIMEOUT_MS = 30_000;
/** Maximum size of a request body that is buffered for retries. */
export const REPLAYABLE_BODY_LIMIT_BYTES = 65_536;
/** Maximum size of a response that is buffered until it is complete. */
export const BUFFERED_RESPONSE_LIMIT_BYTES = 262_144;
/**
 * Timeout of connecting to a backend server: two round trips between regions.
 * It is short enough that another server can still be tried.
 */
export const CONNECT_TIMEOUT_MS = 300;
/**
 * Time after which an idle connection to a backend server is closed, unless the
 * server announces a shorter time.
 */
export const UPSTREAM_IDLE_MS = 8_000;
/** Maximum number of connections from one VM to one backend server. */
export const MAX_CONNECTIONS_PER_SERVER = 8;

/** Default time that callers may cache an address response. */
export const ADDRESS_TTL_MS = 5_000;
/** Maximum number of addresses in an address response. */
export const ADDRESS_RESPONSE_LIMIT = 4;
/** Request rate of a team, per second, for each VM in its address responses. */
export const ADDRESS_TEAM_RATE_PER_VM = 50;
/** Time between the end of the address TTL and the closing of the listener. */
export const DRAIN_MARGIN_MS = 500;
/** Jump of the monotonic clock that indicates that the process was suspended. */
export const PAUSE_THRESHOLD_MS = 1_500;

/** Retries that each request with a response adds to its retry budgets. */
export const RETRY_BUDGET_RATIO = 0.1;
/** Maximum number of retries that a service or team may use at once. */
export const RETRY_BUDGET_BURST = 5;
/** Minimum time to the deadline at which a request is still dispatched. */
export const MIN_ATTEMPT_MS = 2;
/** Default of the maximum number of attempts per request. */
export const DEFAULT_MAX_ATTEMPTS = 3;
/** Maximum number of a team's requests queued for one service on one VM. */
export const QUEUE_LIMIT_PER_TEAM = 256;
