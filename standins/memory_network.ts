/** Connections between daemons in memory; VMs can be partitioned. */
import { Channel } from "../src/kernel/mod.ts";
import type { PeerMessage } from "../src/services/membership/peer_message.ts";
import type {
  PeerConnection,
  PeerTransport,
} from "../src/services/membership/transport.ts";
import type { VirtualClock, VirtualTime } from "./virtual_clock.ts";

/** Bytes that framing adds to each message. */
const FRAME_BYTES = 4;
/** Time after which a connect to a partitioned VM fails, in milliseconds. */
const CONNECT_TIMEOUT_MS = 3_000;

/** Options of {@linkcode MemoryNetwork}. */
export interface NetworkOptions<Message> {
  /** One-way latency of a message, in milliseconds. */
  readonly latencyMs: number;
  /** Encodes messages to count their bytes; undefined disables counting. */
  readonly encode?: ((message: Message) => Uint8Array) | undefined;
}

/** The network between the VMs of a test. */
export class MemoryNetwork<Message = PeerMessage> {
  readonly time: VirtualTime;
  readonly options: NetworkOptions<Message>;
  readonly #transports = new Map<string, MemoryTransport<Message>>();
  readonly #partitions = new Set<string>();
  /** Additional one-way latency of every message, in milliseconds. */
  extraLatencyMs = 0;

  /** Creates a network without VMs. */
  constructor(time: VirtualTime, options: NetworkOptions<Message>) {
    this.time = time;
    this.options = options;
  }

  /** Adds a VM; it replaces an earlier one of the same name. */
  addTransport(name: string, clock: VirtualClock): MemoryTransport<Message> {
    const transport = new MemoryTransport(this, name, clock);
    this.#transports.set(name, transport);
    return transport;
  }

  /** Finds the transport of the VM with a name. */
  findTransport(name: string): MemoryTransport<Message> | undefined {
    return this.#transports.get(name);
  }

  /** Drops all messages from one VM to another, in this direction only. */
  isolate(from: string, to: string): void {
    this.#partitions.add(`${from} ${to}`);
  }

  /** Undoes {@linkcode isolate}. */
  restore(from: string, to: string): void {
    this.#partitions.delete(`${from} ${to}`);
  }

  /** Whether all messages from one VM to another are dropped. */
  isPartitioned(from: string, to: string): boolean {
    return this.#partitions.has(`${from} ${to}`);
  }
}

/** A VM's transport in the memory network. */
export class MemoryTransport<Message = PeerMessage>
  implements PeerTransport<Message> {
  readonly address: string;
  readonly clock: VirtualClock;
  readonly network: MemoryNetwork<Message>;
  readonly traffic = { sentBytes: 0, receivedBytes: 0, sentMessages: 0 };
  readonly #accepted = new Channel<PeerConnection<Message>>();
  readonly #connections = new Set<MemoryConnection<Message>>();
  /** Whether the VM has been closed and accepts no connections. */
  isDown = false;

  /** Creates the transport of the VM `name`. */
  constructor(
    network: MemoryNetwork<Message>,
    name: string,
    clock: VirtualClock,
  ) {
    this.network = network;
    this.address = name;
    this.clock = clock;
  }

  /** Does nothing: a transport accepts connections once it is created. */
  open(): Promise<void> {
    return Promise.resolve();
  }

  /** Yields the connections that peers have opened. */
  listAccepted(): AsyncIterable<PeerConnection<Message>> {
    return this.#accepted;
  }

  /** Connects after one round trip, unless either direction is partitioned. */
  async connect(
    address: string,
    signal: AbortSignal,
  ): Promise<PeerConnection<Message> | undefined> {
    const { network } = this;
    await this.clock.sleep(2 * network.options.latencyMs, signal);
    const peer = network.findTransport(address);
    const isOpen = peer !== undefined && !peer.isDown && !this.isDown;
    if (signal.aborted || !isOpen) return undefined;
    if (
      network.isPartitioned(this.address, address) ||
      network.isPartitioned(address, this.address)
    ) {
      await this.clock.sleep(CONNECT_TIMEOUT_MS, signal);
      return undefined;
    }
    const localEnd = new MemoryConnection(this);
    const remoteEnd = new MemoryConnection(peer);
    localEnd.remote = remoteEnd;
    remoteEnd.remote = localEnd;
    this.#connections.add(localEnd);
    peer.#connections.add(remoteEnd);
    peer.#accepted.send(remoteEnd);
    return localEnd;
  }

  /** Drops all messages on the open connections; new connections work. */
  setUnresponsive(): void {
    for (const connection of this.#connections) connection.setUnresponsive();
  }

  /** Closes the transport and its connections, as a crash does. */
  close(): Promise<void> {
    this.isDown = true;
    this.#accepted.close();
    for (const connection of this.#connections) connection.close();
    return Promise.resolve();
  }
}

class MemoryConnection<Message> implements PeerConnection<Message> {
  remote: MemoryConnection<Message> | undefined;
  #isUnresponsive = false;
  /** Arrival time of the newest message; messages arrive in order. */
  #lastArrivalAt = 0;
  readonly #transport: MemoryTransport<Message>;
  readonly #received = new Channel<Message>();

  constructor(transport: MemoryTransport<Message>) {
    this.#transport = transport;
  }

  send(message: Message): void {
    const { network, traffic } = this.#transport;
    const { remote } = this;
    if (remote === undefined || this.#transport.isDown) return;
    traffic.sentMessages += 1;
    const { encode } = network.options;
    if (encode !== undefined) {
      const bytes = encode(message).length + FRAME_BYTES;
      traffic.sentBytes += bytes;
      remote.#transport.traffic.receivedBytes += bytes;
    }
    const transitMs = network.options.latencyMs + network.extraLatencyMs;
    const arrivesAt = Math.max(
      network.time.now + transitMs,
      this.#lastArrivalAt,
    );
    this.#lastArrivalAt = arrivesAt;
    network.time.startTimer(arrivesAt - network.time.now, () => {
      if (!this.#isReachable(remote)) return;
      remote.#transport.clock.runWhileRunning(() => {
        const isOpen = remote.#received.send(message);
        if (!isOpen && remote.#isReachable(this)) this.#setClosed();
      });
    });
  }

  /** Drops all messages that either end sends from now on. */
  setUnresponsive(): void {
    this.#isUnresponsive = true;
    if (this.remote !== undefined) this.remote.#isUnresponsive = true;
  }

  listMessages(): AsyncIterable<Message> {
    return this.#received;
  }

  /** Closes this end; notifies the other end unless it is unreachable. */
  close(): void {
    const { remote } = this;
    this.#setClosed();
    if (remote === undefined || !this.#isReachable(remote)) return;
    remote.#transport.clock.runWhileRunning(() => remote.#setClosed());
  }

  #setClosed(): void {
    this.#received.close();
    this.remote = undefined;
  }

  #isReachable(remote: MemoryConnection<Message>): boolean {
    const { network, address } = this.#transport;
    return !this.#isUnresponsive &&
      !network.isPartitioned(address, remote.#transport.address);
  }
}
