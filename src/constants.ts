/** Constants of the whole project; each name carries its unit. */

/** Prefix of the environment variables that carry settings. */
export const ENVIRONMENT_PREFIX = "RHUBARBWALL";
/** Version of the records that this build writes to the log. */
export const RECORD_VERSION = 1;
/** Path prefix of the endpoints that the daemon itself answers. */
export const OWN_PATH_PREFIX = "/rhubarbwall/v1";

/** Time after which a configuration that nobody confirmed is stale. */
export const FRESHNESS_BOUND_MS = 3_000;
/** Longest time that one read of the log waits for a new entry. */
export const LOG_POLL_WAIT_MS = 1_000;
/** Time for which the log is taken to keep records. */
export const LOG_RETENTION_MS = 86_400_000;
/** Time after which a read of or an append to the log is given up. */
export const LOG_TIMEOUT_MS = 2_500;
/**
 * Time after which an unused connection to the log is closed. One that went
 * silent while it was idle would cost the next call its whole time; a new one
 * takes one round trip more. Regular reads follow each other in under a second.
 */
export const LOG_IDLE_LIMIT_MS = 2_000;
/** First delay before a failed read of the log is tried again. */
export const LOG_RETRY_MIN_MS = 100;
/** Longest delay before a failed read of the log is tried again. */
export const LOG_RETRY_MAX_MS = 1_000;
/** Most entries taken from the log by one read. */
export const LOG_READ_LIMIT_ENTRIES = 1_000;
/** Record ids kept to recognize a record that was appended twice. */
export const APPLIED_IDS_KEPT = 100_000;

/** Seats of a cell; each is a share of its limits and one vote. */
export const SEATS_PER_CELL = 64;
/** Bound on how much faster one monotonic clock runs than another. */
export const CLOCK_DRIFT_RATIO = 0.01;
/** Time without a holder after which a seat is claimed by somebody else. */
export const SEAT_ORPHAN_MS = 5_000;
/** Time between two looks at which seats to claim or to move. */
export const SEAT_CHECK_MS = 500;
/** Time after which a hand-over of a seat that was not answered is repeated. */
export const SEAT_RESEND_MS = 300;

/** Time for which it is known when an entry of the log was applied. */
export const APPLIED_TIMES_KEPT_MS = 600_000;
/** Time between two heartbeats to the same peer. */
export const HEARTBEAT_INTERVAL_MS = 1_000;
/** Time without a heartbeat after which a peer counts as unreachable. */
export const PEER_TIMEOUT_MS = 3_000;
/** Delay before a peer that could not be reached is dialled again. */
export const PEER_RETRY_MS = 500;
/** Time between two reads of the platform's VM list. */
export const VM_LIST_INTERVAL_MS = 2_000;
/** Time after which a read of the VM list is given up. */
export const VM_LIST_TIMEOUT_MS = 2_000;
/** Objects in one record of a snapshot. */
export const SNAPSHOT_CHUNK_ITEMS = 500;
/** Entries after which a new snapshot is due. */
export const SNAPSHOT_EVERY_ENTRIES = 5_000;
/** Part of the log's retention after which a new snapshot is due. */
export const SNAPSHOT_RETENTION_RATIO = 0.125;
/** Entries kept in memory to pass on to peers that cannot read the log. */
export const RELAY_ENTRIES_KEPT = 4_096;
/** Most entries in one message to a peer. */
export const RELAY_BATCH_ENTRIES = 256;

/** Largest header block that a caller may send. */
export const CALLER_HEADER_LIMIT_BYTES = 16_384;
/** Time a caller's connection may stay idle between two requests. */
export const CALLER_IDLE_TIMEOUT_MS = 30_000;
/** Largest request body that is kept so that it can be sent again. */
export const REPEATABLE_BODY_LIMIT_BYTES = 65_536;
/** Largest answer that is held until it is whole. */
export const HELD_ANSWER_LIMIT_BYTES = 262_144;
/**
 * Time after which connecting to a backend server is given up: two round trips
 * between regions. Another server can then still be tried.
 */
export const CONNECT_TIMEOUT_MS = 300;
/**
 * Time an unused connection to a backend server is kept open, unless the server
 * announces a shorter one.
 */
export const UPSTREAM_IDLE_MS = 8_000;
/** Most connections of one VM to one backend server. */
export const CONNECTIONS_PER_SERVER = 8;

/** Time that a caller may keep an address answer. */
export const ADDRESS_TTL_MS = 5_000;
/** Most addresses in one answer. */
export const ADDRESS_ANSWER_LIMIT = 4;
/** Requests a second of one team above which it gets a further VM. */
export const ADDRESS_TEAM_RATE_PER_VM = 50;
/** Time between the end of the address TTL and the close of the listener. */
export const DRAIN_MARGIN_MS = 500;
/** A jump of the monotonic clock that means the process was paused. */
export const PAUSE_THRESHOLD_MS = 1_500;

/** Share of successful attempts that may be spent on retries. */
export const RETRY_BUDGET_RATIO = 0.1;
/** Retries that an idle service or team may spend at once. */
export const RETRY_BUDGET_BURST = 5;
/** Time left below which a request is not dispatched any more. */
export const MIN_ATTEMPT_MS = 2;
/** Most attempts for one request. */
export const ATTEMPTS_PER_REQUEST = 3;
/** Most requests of one team that wait for one service on one VM. */
export const QUEUE_LIMIT_PER_TEAM = 256;
