/** Encodes messages between the daemons of a cell as MessagePack. */
import { Packr } from "msgpackr";
import * as z from "zod";
import { EntryKind, VmPhase } from "../../model/mod.ts";
import type { LogEntry } from "../../model/mod.ts";
import { PeerMessageKind } from "../../services/membership/peer_message.ts";
import type {
  Entries,
  Heartbeat,
  PeerMessage,
  SnapshotPart,
} from "../../services/membership/peer_message.ts";
import {
  decodeEntry,
  decodeSnapshotItems,
  encodeRecord,
} from "../log/record_codec.ts";

const packr = new Packr({ useRecords: false });

const PHASES = [VmPhase.Starting, VmPhase.Serving, VmPhase.Leaving] as const;
const FLAG_FRESH = 1;
const FLAG_OVERLOADED = 2;

const name = z.string().max(255);
const count = z.int().min(0);
const ownedShard = z.object({ index: count, epoch: count });

const helloSchema = z.tuple([
  z.literal(PeerMessageKind.Hello),
  name,
  count,
  name,
  name,
  name,
  z.array(z.tuple([name, name])),
]);
const heartbeatSchema = z.tuple([
  z.literal(PeerMessageKind.Heartbeat),
  count,
  z.int(),
  count,
  z.int().min(0).max(PHASES.length - 1),
  count,
  z.array(count),
]);
const entriesSchema = z.tuple([
  z.literal(PeerMessageKind.Entries),
  z.array(z.tuple([count, z.string(), z.string()])),
]);
const snapshotSchema = z.tuple([
  z.literal(PeerMessageKind.Snapshot),
  count,
  count,
  count,
  z.array(z.unknown()),
  z.array(z.string()),
]);
const objectSchema = z.discriminatedUnion("kind", [
  z.object({ kind: z.literal(PeerMessageKind.EntriesRequest), from: count }),
  z.object({
    kind: z.literal(PeerMessageKind.ShardOffer),
    transfer: count,
    receiver: count,
    seat: ownedShard,
    offset: count,
    ageMs: z.number().min(0),
    trustedOffset: count,
    buckets: z.array(z.object({ team: name, tokens: z.number() })),
  }),
  z.object({
    kind: z.literal(PeerMessageKind.ShardOfferResponse),
    transfer: count,
    isTaken: z.boolean(),
  }),
]);
const evidenceSchema = z.tuple([
  z.literal(PeerMessageKind.Evidence),
  z.array(z.tuple([name, count, count, count, z.boolean()])),
]);
const borrowRequestSchema = z.tuple([
  z.literal(PeerMessageKind.BorrowRequest),
  count,
  name,
  z.number().min(0),
]);
const borrowResponseSchema = z.tuple([
  z.literal(PeerMessageKind.BorrowResponse),
  count,
  z.number().min(0),
  z.number().min(0),
]);

/** Encodes a message; frequent kinds as arrays, which are shorter. */
export function encodeMessage(message: PeerMessage): Uint8Array {
  return packr.pack(createWireForm(message));
}

/** Decodes a message; undefined if the bytes are not a valid one. */
export function decodeMessage(bytes: Uint8Array): PeerMessage | undefined {
  let value: unknown;
  try {
    value = packr.unpack(bytes);
  } catch {
    return undefined;
  }
  if (!Array.isArray(value)) {
    const parsed = objectSchema.safeParse(value);
    return parsed.success ? parsed.data : undefined;
  }
  return decodeArray(value);
}

function createWireForm(message: PeerMessage): unknown {
  switch (message.kind) {
    case PeerMessageKind.Hello:
      return [
        message.kind,
        message.vm,
        message.incarnation,
        message.cell,
        message.failureDomain,
        message.callerAddress,
        message.peers.map((peer) => [peer.vm, peer.address]),
      ];
    case PeerMessageKind.Heartbeat:
      return [
        message.kind,
        message.sentAt,
        message.heardAt,
        message.offset,
        PHASES.indexOf(message.phase),
        (message.isFresh ? FLAG_FRESH : 0) |
        (message.isOverloaded ? FLAG_OVERLOADED : 0),
        message.seats.flatMap((shard) => [shard.index, shard.epoch]),
      ];
    case PeerMessageKind.Entries:
      return [message.kind, message.entries.map(createEntryForm)];
    case PeerMessageKind.Snapshot:
      return [
        message.kind,
        message.offset,
        message.index,
        message.total,
        message.items,
        message.appliedIds,
      ];
    case PeerMessageKind.BorrowRequest:
      return [message.kind, message.id, message.team, message.tokens];
    case PeerMessageKind.BorrowResponse:
      return [message.kind, message.id, message.tokens, message.lifetimeMs];
    case PeerMessageKind.Evidence:
      return [
        message.kind,
        message.servers.map((evidence) => [
          evidence.server,
          evidence.successes,
          evidence.failures,
          evidence.slow,
          evidence.isDraining,
        ]),
      ];
    case PeerMessageKind.EntriesRequest:
    case PeerMessageKind.ShardOffer:
    case PeerMessageKind.ShardOfferResponse:
      return message;
  }
}

function createEntryForm(entry: LogEntry): [number, string, string] {
  switch (entry.kind) {
    case EntryKind.Record:
      return [entry.offset, encodeRecord(entry.record), ""];
    case EntryKind.Malformed:
      return [entry.offset, "", entry.reason];
  }
}

function decodeArray(value: unknown[]): PeerMessage | undefined {
  switch (value[0] as PeerMessageKind) {
    case PeerMessageKind.Hello: {
      const parsed = helloSchema.safeParse(value);
      if (!parsed.success) return undefined;
      const [kind, vm, incarnation, cell, domain, address, peers] = parsed.data;
      return {
        kind,
        vm,
        incarnation,
        cell,
        failureDomain: domain,
        callerAddress: address,
        peers: peers.map(([peer, peerAddress]) => ({
          vm: peer,
          address: peerAddress,
        })),
      };
    }
    case PeerMessageKind.Heartbeat:
      return decodeHeartbeat(value);
    case PeerMessageKind.Entries:
      return decodeEntries(value);
    case PeerMessageKind.Snapshot:
      return decodeSnapshot(value);
    case PeerMessageKind.Evidence: {
      const parsed = evidenceSchema.safeParse(value);
      if (!parsed.success) return undefined;
      const [kind, servers] = parsed.data;
      return {
        kind,
        servers: servers.map((
          [server, successes, failures, slow, isDraining],
        ) => ({ server, successes, failures, slow, isDraining })),
      };
    }
    case PeerMessageKind.BorrowRequest: {
      const parsed = borrowRequestSchema.safeParse(value);
      if (!parsed.success) return undefined;
      const [kind, id, team, tokens] = parsed.data;
      return { kind, id, team, tokens };
    }
    case PeerMessageKind.BorrowResponse: {
      const parsed = borrowResponseSchema.safeParse(value);
      if (!parsed.success) return undefined;
      const [kind, id, tokens, lifetimeMs] = parsed.data;
      return { kind, id, tokens, lifetimeMs };
    }
    default:
      return undefined;
  }
}

function decodeHeartbeat(value: unknown[]): Heartbeat | undefined {
  const parsed = heartbeatSchema.safeParse(value);
  if (!parsed.success) return undefined;
  const [kind, sentAt, heardAt, offset, phase, flags, flat] = parsed.data;
  const shards = [];
  for (let index = 0; index + 1 < flat.length; index += 2) {
    shards.push({ index: flat[index] ?? 0, epoch: flat[index + 1] ?? 0 });
  }
  return {
    kind,
    sentAt,
    heardAt,
    offset,
    phase: PHASES[phase] ?? VmPhase.Starting,
    isFresh: (flags & FLAG_FRESH) !== 0,
    isOverloaded: (flags & FLAG_OVERLOADED) !== 0,
    seats: shards,
  };
}

function decodeEntries(value: unknown[]): Entries | undefined {
  const parsed = entriesSchema.safeParse(value);
  if (!parsed.success) return undefined;
  const [kind, entries] = parsed.data;
  return {
    kind,
    entries: entries.map(([offset, text, reason]) =>
      text === ""
        ? { kind: EntryKind.Malformed, offset, reason }
        : decodeEntry(offset, text)
    ),
  };
}

function decodeSnapshot(value: unknown[]): SnapshotPart | undefined {
  const parsed = snapshotSchema.safeParse(value);
  if (!parsed.success) return undefined;
  const [kind, offset, index, total, encodedItems, appliedIds] = parsed.data;
  const items = decodeSnapshotItems(encodedItems);
  if (items === undefined) return undefined;
  return { kind, offset, index, total, items, appliedIds };
}
