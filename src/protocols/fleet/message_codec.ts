/** Encodes messages between the VMs of the fleet as MessagePack. */
import { Packr } from "msgpackr";
import * as z from "zod";
import { VmPhase } from "../../model/mod.ts";
import type { ConfigurationDocument, ServerPhase } from "../../model/mod.ts";
import type { ServerEntry } from "../../services/feed/source.ts";
import {
  FleetMessageKind,
  FleetRole,
  HelloPurpose,
} from "../../services/fleet/message.ts";
import type {
  FleetMessage,
  InFlight,
  LiveVm,
  LiveVmChanges,
  Usage,
} from "../../services/fleet/message.ts";
import type { MessageCodec } from "../peer/ws_transport.ts";

const packr = new Packr({ useRecords: false });

const NAME_LENGTH_MAX = 255;
const name = z.string().max(NAME_LENGTH_MAX);
const count = z.int().min(0);
/** Schema of a VM's entry in messages and in the VM directory. */
export const vmEntrySchema = z.object({
  name,
  incarnation: count,
  failureDomain: name,
  callerAddress: name,
  peerAddress: name,
  capacity: z.number().min(0),
});
const knownState = z.object({ version: count, serversDigest: count });
const role = z.enum(FleetRole);
/*
 * Lists that arrive many times per second are encoded as tuples and validated
 * by a function: a schema for each tuple used 5 % of a VM's CPU time.
 */

/** Tuples of the fields `name`, `admitted` and `asked`. */
const usages = z.custom<readonly [string, number, number][]>((value) =>
  isTupleList(value, 2, Number.MIN_SAFE_INTEGER)
).transform((tuples) =>
  tuples.map(([usageName, admitted, asked]): Usage => ({
    name: usageName,
    admitted,
    asked,
  }))
);
const load = z.custom<readonly [string, number][]>((value) =>
  isTupleList(value, 1, 0)
).transform((tuples) =>
  tuples.map(([server, inFlight]): InFlight => ({ server, inFlight }))
);
const liveVm = z.tuple([name, name, name, z.enum(VmPhase)]).transform((
  [vm, failureDomain, callerAddress, phase],
): LiveVm => ({ name: vm, failureDomain, callerAddress, phase }));
const liveVmChanges = z.object({
  set: z.array(liveVm),
  removed: z.array(name),
});
const confirmation = z.object({
  echo: z.number(),
  askedAfterMs: z.number(),
  version: count,
  evacuationsAt: z.int(),
  serversAskedAfterMs: z.number().optional(),
});
const evidence = z.object({
  server: name,
  successes: count,
  failures: count,
  slow: count,
  isDraining: z.boolean(),
  leavingStart: z.number().optional(),
});
/**
 * Checked only roughly: both ends run the same build, and the daemon that read
 * the document from the store has validated it.
 */
const document = z.custom<ConfigurationDocument>((value) =>
  typeof value === "object" && value !== null && "version" in value
);
const listing = z.object({
  offset: z.int(),
  entry: z.custom<ServerEntry>((value) =>
    typeof value === "object" && value !== null && "server" in value
  ) satisfies z.ZodType<{ server: { phase: ServerPhase } }>,
});
const serverTombstone = z.object({
  id: name,
  offset: z.int(),
  startedAt: z.number(),
  sequence: z.int(),
});
const tokenRequest = z.object({
  team: name,
  count: z.number().min(0),
  spare: count,
  id: count,
});
const tokenGrant = z.object({
  count: z.number().min(0),
  id: count,
  waitMs: z.number().min(0),
});

const messageSchema = z.discriminatedUnion("kind", [
  z.object({
    kind: z.literal(FleetMessageKind.Hello),
    vm: vmEntrySchema,
    role,
    known: knownState,
    // Builds without state requests do not send it.
    purpose: z.enum(HelloPurpose).default(HelloPurpose.Link),
  }),
  z.object({ kind: z.literal(FleetMessageKind.Alive), role }),
  z.object({
    kind: z.literal(FleetMessageKind.Status),
    sentAt: z.number(),
    phase: z.enum(VmPhase),
    confirmedAgoMs: z.number().min(0).optional(),
    usage: usages,
    leftMs: z.number().min(0).optional(),
  }),
  z.object({
    kind: z.literal(FleetMessageKind.Report),
    confirmation: confirmation.optional(),
    others: usages,
    vms: z.array(liveVm).optional(),
    vmChanges: liveVmChanges.optional(),
    serversDigest: count,
  }),
  z.object({
    kind: z.literal(FleetMessageKind.DomainReport),
    version: count,
    usage: usages,
    vms: z.array(liveVm).optional(),
    vmChanges: liveVmChanges.optional(),
  }),
  z.object({ kind: z.literal(FleetMessageKind.Load), load }),
  z.object({
    kind: z.literal(FleetMessageKind.VmsKnown),
    vms: z.array(vmEntrySchema),
    removed: z.array(name).optional(),
  }),
  z.object({
    kind: z.literal(FleetMessageKind.Evidence),
    vm: name,
    servers: z.array(evidence),
  }),
  z.object({ kind: z.literal(FleetMessageKind.Document), document }),
  z.object({
    kind: z.literal(FleetMessageKind.Servers),
    offset: z.int(),
    listings: z.array(listing),
    tombstones: z.array(serverTombstone),
  }),
  z.object({ kind: z.literal(FleetMessageKind.ServerSet), listing }),
  z.object({
    kind: z.literal(FleetMessageKind.ServerRemoved),
    server: serverTombstone,
  }),
  z.object({
    kind: z.literal(FleetMessageKind.Evacuations),
    upTo: z.int(),
    domains: z.array(z.object({ domain: name, offset: z.int() })),
  }),
  z.object({
    kind: z.literal(FleetMessageKind.TokenRequest),
    ask: tokenRequest,
  }),
  z.object({
    kind: z.literal(FleetMessageKind.TokenGrant),
    grant: tokenGrant,
  }),
  z.object({ kind: z.literal(FleetMessageKind.TokenReturned), team: name }),
]);

/** Codec of the messages between VMs. */
export const FLEET_CODEC: MessageCodec<FleetMessage> = {
  encode: (message) => packr.pack(encodeCompact(message)),
  decode: (bytes) => {
    let value: unknown;
    try {
      value = packr.unpack(bytes);
    } catch {
      return undefined;
    }
    const parsed = messageSchema.safeParse(value);
    return parsed.success ? parsed.data as FleetMessage : undefined;
  },
};

/**
 * Whether a value is a list of tuples, each with one name and `numberCount`
 * integers that are at least `min`.
 */
function isTupleList(
  value: unknown,
  numberCount: number,
  min: number,
): boolean {
  const isNumber = (item: unknown): boolean =>
    Number.isSafeInteger(item) && Number(item) >= min;
  return Array.isArray(value) &&
    value.every((tuple) =>
      Array.isArray(tuple) && tuple.length === numberCount + 1 &&
      isName(tuple[0]) && tuple.slice(1).every(isNumber)
    );
}

function isName(value: unknown): boolean {
  return typeof value === "string" && value.length <= NAME_LENGTH_MAX;
}

/** Replaces frequently sent objects by tuples, which are shorter. */
function encodeCompact(message: FleetMessage): unknown {
  switch (message.kind) {
    case FleetMessageKind.Status:
      return {
        ...message,
        usage: message.usage.map(encodeUsage),
      };
    case FleetMessageKind.Report:
      return {
        ...message,
        others: message.others.map(encodeUsage),
        vms: message.vms?.map(encodeVm),
        vmChanges: message.vmChanges && encodeVmChanges(message.vmChanges),
      };
    case FleetMessageKind.DomainReport:
      return {
        ...message,
        usage: message.usage.map(encodeUsage),
        vms: message.vms?.map(encodeVm),
        vmChanges: message.vmChanges && encodeVmChanges(message.vmChanges),
      };
    case FleetMessageKind.Load:
      return { ...message, load: message.load.map(encodeInFlight) };
    case FleetMessageKind.Hello:
    case FleetMessageKind.Alive:
    case FleetMessageKind.VmsKnown:
    case FleetMessageKind.Evidence:
    case FleetMessageKind.Document:
    case FleetMessageKind.Servers:
    case FleetMessageKind.ServerSet:
    case FleetMessageKind.ServerRemoved:
    case FleetMessageKind.Evacuations:
    case FleetMessageKind.TokenRequest:
    case FleetMessageKind.TokenGrant:
    case FleetMessageKind.TokenReturned:
      return message;
  }
}

function encodeUsage(
  { name, admitted, asked }: Usage,
): [string, number, number] {
  return [name, admitted, asked];
}

function encodeInFlight({ server, inFlight }: InFlight): [string, number] {
  return [server, inFlight];
}

function encodeVmChanges({ set, removed }: LiveVmChanges): unknown {
  return { set: set.map(encodeVm), removed };
}

function encodeVm(vm: LiveVm): [string, string, string, VmPhase] {
  return [vm.name, vm.failureDomain, vm.callerAddress, vm.phase];
}
