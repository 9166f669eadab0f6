/** A link to another VM, and what was sent and received on it. */
import type { ServerId } from "../../model/mod.ts";
import type { LoadByServer } from "../selection/load_exchange.ts";
import type { PeerConnection } from "../membership/transport.ts";
import { LiveVmsSender } from "./live_vms.ts";
import { FleetMessageKind, FleetRole, HelloPurpose } from "./message.ts";
import type {
  FleetMessage,
  Hello,
  InFlight,
  KnownState,
  Usage,
  VmEntry,
} from "./message.ts";

/** Purpose of a link, as seen from this VM. */
export enum LinkKind {
  /** To the hub that this VM follows. */
  Uplink = "uplink",
  /** From a VM that follows this one. */
  Follower = "follower",
  /** To the hub of another failure domain; this VM sends reports on it. */
  ToHub = "to_hub",
  /** From the hub of another failure domain; it sends reports on it. */
  FromHub = "from_hub",
  /** From a VM that only requests the list of VMs. */
  Visitor = "visitor",
  /** To a VM that sends its state to this one once. */
  StateSource = "state_source",
  /** From a VM that requests this VM's state once. */
  StateReceiver = "state_receiver",
}

/** Data of a follower's newest status. */
export interface FollowerStatus {
  /** Time of sending, by the follower's clock. */
  readonly sentAt: number;
  /** Time of arrival, by this VM's clock. */
  readonly receivedAt: number;
  /** Whether the follower delegates its refill time to this VM. */
  readonly hasDelegatedTime: boolean;
}

/** An open link to another VM. */
export class Link {
  readonly kind: LinkKind;
  readonly vm: VmEntry;
  /** Data that the other VM had when the link was opened. */
  readonly known: KnownState;
  /** Role that the other VM has reported last. */
  role: FleetRole;
  /** Monotonic time at which the last message arrived, in milliseconds. */
  lastSeenAt: number;
  /** Creates the updates of live VMs that are sent on this link. */
  readonly liveVms = new LiveVmsSender();
  /** Newest status of the follower; undefined before the first. */
  status: FollowerStatus | undefined;
  /** Time from sending a status until the hub's report echoed it, in ms. */
  echoedAfterMs = 0;
  readonly #connection: PeerConnection<FleetMessage>;
  readonly #sentUsage = new Map<string, Usage>();
  #sentLoad: LoadByServer = new Map<ServerId, number>();

  /** Creates a link over a connection on which a hello was received. */
  constructor(
    kind: LinkKind,
    hello: Hello,
    connection: PeerConnection<FleetMessage>,
    now: number,
  ) {
    this.kind = kind;
    this.vm = hello.vm;
    this.known = hello.known;
    this.role = hello.role;
    this.lastSeenAt = now;
    this.#connection = connection;
  }

  /** Sends a message; it is dropped if it can't be sent. */
  send(message: FleetMessage): void {
    this.#connection.send(message);
  }

  close(): void {
    this.#connection.close();
  }

  /** Lists the servers whose load has changed since the previous call. */
  collectLoadChanges(load: LoadByServer): InFlight[] {
    const changes: InFlight[] = [];
    for (const [server, inFlight] of load) {
      if (this.#sentLoad.get(server) !== inFlight) {
        changes.push({ server, inFlight });
      }
    }
    for (const server of this.#sentLoad.keys()) {
      if (!load.has(server)) changes.push({ server, inFlight: 0 });
    }
    this.#sentLoad = load;
    return changes;
  }

  /** Lists the counts that have changed since the previous calls. */
  collectUsageChanges(usage: readonly Usage[]): Usage[] {
    return usage.filter((counts) => {
      const sent = this.#sentUsage.get(counts.name);
      const isSame = sent?.admitted === counts.admitted &&
        sent.asked === counts.asked;
      if (!isSame) this.#sentUsage.set(counts.name, counts);
      return !isSame;
    });
  }
}

/** Resolves the kind of an accepted link from the other VM's hello. */
export function resolveAcceptedKind(
  hello: Hello,
  localDomain: string,
): LinkKind {
  switch (hello.purpose) {
    case HelloPurpose.State:
      return LinkKind.StateReceiver;
    case HelloPurpose.Link:
      if (hello.vm.failureDomain === localDomain) return LinkKind.Follower;
      return isHubRole(hello.role) ? LinkKind.FromHub : LinkKind.Visitor;
  }
}

/** Reads the first message; undefined if it is not a hello. */
export async function readHello(
  messages: AsyncIterator<FleetMessage>,
): Promise<Hello | undefined> {
  const first = await messages.next();
  if (first.done || first.value.kind !== FleetMessageKind.Hello) {
    return undefined;
  }
  return first.value;
}

/** Whether a VM with this role accepts followers and domain reports. */
export function isHubRole(role: FleetRole): boolean {
  switch (role) {
    case FleetRole.Hub:
      return true;
    case FleetRole.Searching:
    case FleetRole.Follower:
      return false;
  }
}
