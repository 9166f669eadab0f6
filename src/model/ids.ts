/** Identifiers: strings and numbers whose alias names what they identify. */

/** Names a team, `[a-z0-9-]{1,64}`. */
export type TeamId = string;
/** Names a service, `[a-z0-9-]{1,64}`. */
export type ServiceId = string;
/** Names a backend server, `[a-z0-9-]{1,64}`. */
export type ServerId = string;
/** Names a route, `[a-z0-9-]{1,64}`. */
export type RouteId = string;
/** Index of a quota shard within its cell, from 0. */
export type ShardIndex = number;
/** Shard epoch (fencing token): number of claims so far; 0 before the first. */
export type ShardEpoch = number;
/** Names a cell: VMs that are all connected to each other. */
export type CellId = string;
/** Names a VM; its replacement may reuse the name. */
export type VmName = string;
/** Identifies one start of a daemon; increases with each start of a VM. */
export type Incarnation = number;
/** SHA-256 digest of an API key, 64 hexadecimal digits. */
export type KeyDigest = string;
/** Position of an entry in the log; the first entry has offset 1. */
export type Offset = number;
/** Offset of the record that last changed an object; 0 if there is none. */
export type Revision = number;
/** Unique id of a record, chosen by the client that appends it. */
export type RecordId = string;
