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
const heldSeat = z.object({ index: count, epoch: count });

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
const plainSchema = z.discriminatedUnion("kind", [
  z.object({ kind: z.literal(PeerMessageKind.EntriesRequest), from: count }),
  z.object({
    kind: z.literal(PeerMessageKind.ShardOffer),
    transfer: count,
    receiver: count,
    seat: heldSeat,
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
const loanRequestSchema = z.tuple([
  z.literal(PeerMessageKind.BorrowRequest),
  count,
  name,
  z.number().min(0),
]);
const loanAnswerSchema = z.tuple([
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
    const parsed = plainSchema.safeParse(value);
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
        message.seats.flatMap((seat) => [seat.index, seat.epoch]),
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
        message.servers.map((seen) => [
          seen.server,
          seen.successes,
          seen.failures,
          seen.slow,
          seen.isDraining,
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
        peers: peers.map(([peer, at]) => ({ vm: peer, address: at })),
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
      const parsed = loanRequestSchema.safeParse(value);
      if (!parsed.success) return undefined;
      const [kind, id, team, tokens] = parsed.data;
      return { kind, id, team, tokens };
    }
    case PeerMessageKind.BorrowResponse: {
      const parsed = loanAnswerSchema.safeParse(value);
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
  const seats = [];
  for (let at = 0; at + 1 < flat.length; at += 2) {
    seats.push({ index: flat[at] ?? 0, epoch: flat[at + 1] ?? 0 });
  }
  return {
    kind,
    sentAt,
    heardAt,
    offset,
    phase: PHASES[phase] ?? VmPhase.Starting,
    isFresh: (flags & FLAG_FRESH) !== 0,
    isOverloaded: (flags & FLAG_OVERLOADED) !== 0,
    seats,
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
  const [kind, offset, index, total, given, appliedIds] = parsed.data;
  const items = decodeSnapshotItems(given);
  if (items === undefined) return undefined;
  return { kind, offset, index, total, items, appliedIds };
}
