/** A link to one other VM, and what was told over it. */
import type { ServerId } from "../../model/mod.ts";
import type { LoadByServer } from "../selection/load_exchange.ts";
import type { PeerConnection } from "../membership/transport.ts";
import { FleetMessageKind, FleetRole } from "./message.ts";
import type {
  FleetMessage,
  Hello,
  InFlight,
  KnownState,
  Usage,
  VmEntry,
} from "./message.ts";

/** What this end of a link is for. */
export enum LinkKind {
  /** To the hub that this VM follows. */
  Uplink = "uplink",
  /** From a VM that follows this one. */
  Follower = "follower",
  /** To the hub of another failure domain; reports are sent on it. */
  ToHub = "to_hub",
  /** From the hub of another failure domain; reports come on it. */
  FromHub = "from_hub",
  /** From a VM that only asks which VMs there are. */
  Visitor = "visitor",
}

/** What is kept of a follower's status. */
export interface FollowerStatus {
  /** By the follower's clock. */
  readonly sentAt: number;
  /** When it arrived. */
  readonly at: number;
  /** Whether the follower leaves its part of teams' tokens to this VM. */
  readonly hasLeftTime: boolean;
}

/** An open link. */
export class Link {
  readonly kind: LinkKind;
  readonly vm: VmEntry;
  /** What the other end knew when the link was opened. */
  readonly known: KnownState;
  /** Role that the other end says it has. */
  role: FleetRole;
  /** Monotonic time at which the other end was last heard. */
  heardAt: number;
  /** Version of the list of live VMs that was last sent; -1 for none. */
  sentVmsVersion = -1;
  /** Newest status of a follower. */
  status: FollowerStatus | undefined;
  /** Age of the newest own status that the hub has answered, when it did. */
  answeredAfterMs = 0;
  readonly #connection: PeerConnection<FleetMessage>;
  readonly #sentUsage = new Map<string, Usage>();
  #sentLoad: LoadByServer = new Map<ServerId, number>();

  /** Creates a link over a connection whose other end said hello. */
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
    this.heardAt = now;
    this.#connection = connection;
  }

  /** Sends a message; one that can't be sent is lost. */
  send(message: FleetMessage): void {
    this.#connection.send(message);
  }

  /** Closes the link. */
  close(): void {
    this.#connection.close();
  }

  /** Lists the servers whose load differs from that last taken, and notes it. */
  takeChangedLoad(load: LoadByServer): InFlight[] {
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

  /** Lists the counts that differ from those last taken, and notes them. */
  takeChangedUsage(usage: readonly Usage[]): Usage[] {
    return usage.filter((counts) => {
      const sent = this.#sentUsage.get(counts.name);
      const isSame = sent?.admitted === counts.admitted &&
        sent.asked === counts.asked;
      if (!isSame) this.#sentUsage.set(counts.name, counts);
      return !isSame;
    });
  }
}

/** Resolves what an accepted link is for from who dialled. */
export function resolveAcceptedKind(
  hello: Hello,
  ownDomain: string,
): LinkKind {
  if (hello.vm.failureDomain === ownDomain) return LinkKind.Follower;
  return isHubRole(hello.role) ? LinkKind.FromHub : LinkKind.Visitor;
}

/** Waits for the hello that opens a connection; undefined if none came. */
export async function readHello(
  messages: AsyncIterator<FleetMessage>,
): Promise<Hello | undefined> {
  const first = await messages.next();
  if (first.done || first.value.kind !== FleetMessageKind.Hello) {
    return undefined;
  }
  return first.value;
}

/** Whether a VM with this role may be followed or reported to. */
export function isHubRole(role: FleetRole): boolean {
  switch (role) {
    case FleetRole.Hub:
      return true;
    case FleetRole.Searching:
    case FleetRole.Follower:
      return false;
  }
}
