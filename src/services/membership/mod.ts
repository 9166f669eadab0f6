/** Membership service: connections to the cell's other VMs, one task each. */
import {
  HEARTBEAT_INTERVAL_MS,
  PEER_RETRY_MS,
  PEER_TIMEOUT_MS,
  VM_LIST_INTERVAL_MS,
} from "../../constants.ts";
import type { Scope } from "../../kernel/mod.ts";
import type { CellId, Incarnation, VmName } from "../../model/mod.ts";
import type { Clock } from "../clock/mod.ts";
import type { Logger } from "../logging/mod.ts";
import { PeerMessageKind } from "./peer_message.ts";
import type { Heartbeat, Hello, PeerMessage } from "./peer_message.ts";
import { PeerState, Reachability } from "./peer_state.ts";
import type {
  PeerConnection,
  PeerTransport,
  VmListClient,
} from "./transport.ts";

export { PeerState, Reachability } from "./peer_state.ts";

/** What a daemon reports about itself to its peers. */
export interface SelfDescription {
  readonly vm: VmName;
  readonly incarnation: Incarnation;
  readonly cell: CellId;
  readonly failureDomain: string;
  /** Returns the `host:port` for callers; called when a peer connects. */
  readonly getCallerAddress: () => string;
}

/** Dependencies of {@linkcode Membership}. */
export interface MembershipDependencies {
  readonly self: SelfDescription;
  readonly clock: Clock;
  readonly transport: PeerTransport;
  readonly vmList: VmListClient;
  readonly logger: Logger;
  /** Scope in which the tasks of the peers run. */
  readonly scope: Scope;
}

/** The fields of a heartbeat that other services provide. */
export type HeartbeatReport = Omit<Heartbeat, "kind" | "sentAt" | "heardAt">;

/** Messages that are handled by other services. */
export type HandledMessage = Exclude<PeerMessage, Hello | Heartbeat>;

/** Handles a message of one kind that `peer` sent. */
export type MessageHandler<Kind extends PeerMessageKind> = (
  message: Extract<PeerMessage, { kind: Kind }>,
  peer: PeerState,
) => void;

/** Maintains connections to all peers and tracks their reachability. */
export class Membership {
  readonly #deps: MembershipDependencies;
  readonly #peers = new Map<VmName, PeerState>();
  readonly #handlers = new Map<
    PeerMessageKind,
    (message: PeerMessage, peer: PeerState) => void
  >();
  readonly #listeners = new Set<(peer: PeerState) => void>();
  #getReport: (() => HeartbeatReport) | undefined;

  /** Creates a membership without any peer. */
  constructor(deps: MembershipDependencies) {
    this.#deps = deps;
  }

  /** What this daemon reports about itself to its peers. */
  get self(): SelfDescription {
    return this.#deps.self;
  }

  /** Sets the function that provides the content of heartbeats. */
  setReporter(getReport: () => HeartbeatReport): void {
    this.#getReport = getReport;
  }

  /** Sets the handler of one kind of message. */
  setHandler<Kind extends HandledMessage["kind"]>(
    kind: Kind,
    handler: MessageHandler<Kind>,
  ): void {
    this.#handlers.set(
      kind,
      handler as (message: PeerMessage, peer: PeerState) => void,
    );
  }

  /** Adds a function that is called after each heartbeat from a peer. */
  addListener(listener: (peer: PeerState) => void): void {
    this.#listeners.add(listener);
  }

  /** Lists all peers, whether or not they are reachable. */
  listPeers(): PeerState[] {
    return [...this.#peers.values()];
  }

  /** Lists the peers with which heartbeats pass in both directions. */
  listReachable(): PeerState[] {
    const now = this.#deps.clock.now();
    return this.listPeers()
      .filter((peer) => peer.getReachability(now) === Reachability.TwoWay);
  }

  /** Finds a peer by name. */
  findPeer(vm: VmName): PeerState | undefined {
    return this.#peers.get(vm);
  }

  /** Sends a message to one peer, without guarantee of delivery. */
  send(peer: PeerState, message: PeerMessage): void {
    peer.connection?.send(message);
  }

  /** Sends a heartbeat to all peers now, outside the regular interval. */
  sendHeartbeats(): void {
    for (const peer of this.#peers.values()) this.#sendHeartbeat(peer);
  }

  /** Accepts connections from peers until the listener closes. */
  async runAccepting(): Promise<void> {
    for await (const connection of this.#deps.transport.listAccepted()) {
      this.#deps.scope.runTask(() => this.#runAccepted(connection));
    }
  }

  /** Reads the platform's VM list periodically until `signal` aborts. */
  async runVmList(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const vms = await this.#deps.vmList.fetchVms();
      for (const vm of vms ?? []) this.#addPeer(vm.name, vm.peerAddress);
      this.#removeMissing(new Set(vms?.map((vm) => vm.name)));
      await this.#deps.clock.sleep(VM_LIST_INTERVAL_MS, signal);
    }
  }

  /**
   * Adds a peer or updates its address; returns undefined for this VM itself.
   *
   * Of two VMs, the one whose name sorts first dials the other.
   */
  #addPeer(vm: VmName, address: string): PeerState | undefined {
    const { self, scope } = this.#deps;
    if (vm === self.vm) return undefined;
    const known = this.#peers.get(vm);
    if (known !== undefined) {
      if (address !== "") known.address = address;
      return known;
    }
    const peer = new PeerState(vm, address);
    this.#peers.set(vm, peer);
    if (self.vm < vm) scope.runTask((signal) => this.#runPeer(peer, signal));
    return peer;
  }

  /**
   * Removes peers that are neither listed nor responsive. An empty list removes
   * none, since it may only be unavailable.
   */
  #removeMissing(listed: ReadonlySet<VmName>): void {
    if (listed.size === 0) return;
    const now = this.#deps.clock.now();
    for (const [vm, peer] of this.#peers) {
      if (
        listed.has(vm) ||
        peer.getReachability(now) !== Reachability.Unresponsive
      ) continue;
      this.#peers.delete(vm);
      peer.connection?.close();
    }
  }

  /** Runs the task of one peer: dials it repeatedly until it is removed. */
  async #runPeer(peer: PeerState, signal: AbortSignal): Promise<void> {
    const { transport, clock } = this.#deps;
    while (!signal.aborted && this.#peers.get(peer.vm) === peer) {
      const connection = await transport.connect(peer.address, signal);
      if (connection !== undefined) {
        connection.send(this.#createHello());
        await this.#runConnection(connection, signal);
      }
      await clock.sleep(PEER_RETRY_MS, signal);
    }
  }

  /** Runs the task of a connection that a peer has opened. */
  async #runAccepted(connection: PeerConnection): Promise<void> {
    connection.send(this.#createHello());
    await this.#runConnection(connection, this.#deps.scope.signal);
  }

  /** Handles a connection's messages and sends heartbeats until it closes. */
  async #runConnection(
    connection: PeerConnection,
    signal: AbortSignal,
  ): Promise<void> {
    const close = (): void => connection.close();
    signal.addEventListener("abort", close, { once: true });
    let peer: PeerState | undefined;
    try {
      for await (const message of connection.listMessages()) {
        if (message.kind === PeerMessageKind.Hello) {
          peer = this.#recordHello(message, connection);
          if (peer === undefined) return;
          this.#deps.scope.runTask((stopped) =>
            this.#runHeartbeats(peer, connection, stopped)
          );
        } else if (peer !== undefined) this.#applyMessage(message, peer);
      }
    } finally {
      signal.removeEventListener("abort", close);
      connection.close();
      if (peer?.connection === connection) peer.connection = undefined;
    }
  }

  /**
   * Sends heartbeats for as long as the peer uses this connection.
   *
   * Closes a connection on which nothing arrives any more, so that the peer is
   * dialed again.
   */
  async #runHeartbeats(
    peer: PeerState | undefined,
    connection: PeerConnection,
    signal: AbortSignal,
  ): Promise<void> {
    const startedAt = this.#deps.clock.now();
    while (!signal.aborted && peer?.connection === connection) {
      const now = this.#deps.clock.now();
      const isPastTimeout = now - startedAt > PEER_TIMEOUT_MS;
      if (
        isPastTimeout && peer.getReachability(now) === Reachability.Unresponsive
      ) connection.close();
      this.#sendHeartbeat(peer);
      await this.#deps.clock.sleep(HEARTBEAT_INTERVAL_MS, signal);
    }
  }

  #sendHeartbeat(peer: PeerState): void {
    const report = this.#getReport?.();
    if (report === undefined) return;
    peer.connection?.send({
      kind: PeerMessageKind.Heartbeat,
      sentAt: Math.floor(this.#deps.clock.now()),
      heardAt: peer.receivedSentAt,
      ...report,
    });
  }

  #createHello(): Hello {
    const { vm, incarnation, cell, failureDomain, getCallerAddress } =
      this.#deps.self;
    return {
      kind: PeerMessageKind.Hello,
      vm,
      incarnation,
      cell,
      failureDomain,
      callerAddress: getCallerAddress(),
      peers: [
        { vm, address: this.#deps.transport.address },
        ...this.listPeers().map((peer) => ({
          vm: peer.vm,
          address: peer.address,
        })),
      ],
    };
  }

  /**
   * Records a peer's hello and uses the connection for that peer.
   *
   * Returns undefined if the sender belongs to another cell, is this VM itself,
   * or is an incarnation that has been replaced.
   */
  #recordHello(
    hello: Hello,
    connection: PeerConnection,
  ): PeerState | undefined {
    const { self, logger } = this.#deps;
    if (hello.cell !== self.cell) return undefined;
    if (hello.vm === self.vm) return undefined;
    for (const known of hello.peers) this.#addPeer(known.vm, known.address);
    const peer = this.#addPeer(hello.vm, "");
    if (peer === undefined || !peer.recordHello(hello)) return undefined;
    if (peer.connection !== connection) peer.connection?.close();
    peer.connection = connection;
    logger.debug(`connected to peer ${hello.vm}`);
    return peer;
  }

  #applyMessage(message: PeerMessage, peer: PeerState): void {
    if (message.kind !== PeerMessageKind.Heartbeat) {
      this.#handlers.get(message.kind)?.(message, peer);
      return;
    }
    const now = this.#deps.clock.now();
    const earlier = peer.getReachability(now);
    peer.recordHeartbeat(message, now);
    for (const listener of this.#listeners) listener(peer);
    // Otherwise the peer would not know for an interval that it is heard.
    if (earlier !== Reachability.TwoWay) this.#sendHeartbeat(peer);
  }
}
