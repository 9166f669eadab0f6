/** State of one peer as this VM knows it. */
import { PEER_TIMEOUT_MS } from "../../constants.ts";
import { VmPhase } from "../../model/mod.ts";
import type { Incarnation, Offset, VmName } from "../../model/mod.ts";
import type { Heartbeat, Hello, OwnedShard } from "./peer_message.ts";
import type { PeerConnection } from "./transport.ts";

/** Whether heartbeats pass between this VM and a peer, per direction. */
export enum Reachability {
  /** Heartbeats pass in both directions. */
  TwoWay = "two_way",
  /** This VM receives the peer's heartbeats, but not vice versa. */
  InboundOnly = "inbound_only",
  /** No heartbeat of the peer arrived within the timeout. */
  Unresponsive = "silent",
}

/** State of one peer; a later incarnation replaces an earlier one. */
export class PeerState {
  readonly vm: VmName;
  /** `host:port` on which the peer is dialed; empty if unknown. */
  address: string;
  connection: PeerConnection | undefined;
  #hello: Hello | undefined;
  #heartbeat: Heartbeat | undefined;
  #seenAt = -Infinity;
  #echoedAt = -Infinity;

  /** Creates the state of a peer that has not sent anything yet. */
  constructor(vm: VmName, address: string) {
    this.vm = vm;
    this.address = address;
  }

  /** Newest hello of the peer; undefined before the first. */
  get hello(): Hello | undefined {
    return this.#hello;
  }

  /** Incarnation of the peer; 0 before its first hello. */
  get incarnation(): Incarnation {
    return this.#hello?.incarnation ?? 0;
  }

  /** Newest log offset applied by the peer, as it reports. */
  get offset(): Offset {
    return this.#heartbeat?.offset ?? 0;
  }

  /** Lifecycle phase of the peer. */
  get phase(): VmPhase {
    return this.#heartbeat?.phase ?? VmPhase.Starting;
  }

  /** Quota shards owned by the peer, as it reports. */
  get shards(): readonly OwnedShard[] {
    return this.#heartbeat?.seats ?? [];
  }

  /** Whether the peer serves routes that are bound to a team. */
  get isFresh(): boolean {
    return this.#heartbeat?.isFresh ?? false;
  }

  /** Whether the peer reports that it is overloaded. */
  get isOverloaded(): boolean {
    return this.#heartbeat?.isOverloaded ?? false;
  }

  /** Newest `sentAt` received from the peer; -1 if none was. */
  get receivedSentAt(): number {
    return this.#heartbeat?.sentAt ?? -1;
  }

  /**
   * Time at which this VM sent the newest heartbeat that the peer has echoed.
   *
   * The content of the peer's newest heartbeat was current after that time.
   */
  get echoedAt(): number {
    return this.#echoedAt;
  }

  /** Records a hello; returns false if its incarnation has been replaced. */
  recordHello(hello: Hello): boolean {
    if (hello.incarnation < this.incarnation) return false;
    if (hello.incarnation > this.incarnation) {
      this.#heartbeat = undefined;
      this.#echoedAt = -Infinity;
    }
    this.#hello = hello;
    return true;
  }

  /** Records a heartbeat that arrived at `now`. */
  recordHeartbeat(heartbeat: Heartbeat, now: number): void {
    if (heartbeat.sentAt < this.receivedSentAt) return;
    this.#heartbeat = heartbeat;
    this.#seenAt = now;
    if (heartbeat.heardAt >= 0) {
      this.#echoedAt = Math.max(this.#echoedAt, heartbeat.heardAt);
    }
  }

  /** Returns the peer's reachability at `now`. */
  getReachability(now: number): Reachability {
    if (now - this.#seenAt > PEER_TIMEOUT_MS) return Reachability.Unresponsive;
    if (now - this.#echoedAt > PEER_TIMEOUT_MS) return Reachability.InboundOnly;
    return Reachability.TwoWay;
  }
}
