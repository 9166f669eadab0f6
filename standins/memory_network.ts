/** Connections between daemons in memory, with links that can be cut. */
import { Channel } from "../src/kernel/mod.ts";
import { encodeMessage } from "../src/protocols/peer/message_codec.ts";
import type { PeerMessage } from "../src/services/membership/peer_message.ts";
import type {
  PeerConnection,
  PeerTransport,
} from "../src/services/membership/transport.ts";
import type { VirtualClock, VirtualTime } from "./virtual_clock.ts";

const FRAME_BYTES = 4;
const CONNECT_TIMEOUT_MS = 3_000;

/** Options of {@linkcode MemoryNetwork}. */
export interface NetworkOptions {
  /** Time that a message takes one way, in milliseconds. */
  readonly latencyMs: number;
  /** Whether messages are encoded to count their bytes; slower. */
  readonly countsBytes: boolean;
}

/** All links between the VMs of a test. */
export class MemoryNetwork {
  readonly time: VirtualTime;
  readonly options: NetworkOptions;
  readonly #transports = new Map<string, MemoryTransport>();
  readonly #cuts = new Set<string>();

  /** Creates a network without VMs. */
  constructor(time: VirtualTime, options: NetworkOptions) {
    this.time = time;
    this.options = options;
  }

  /** Adds a VM; one of the same name gives way to it. */
  addTransport(name: string, clock: VirtualClock): MemoryTransport {
    const transport = new MemoryTransport(this, name, clock);
    this.#transports.set(name, transport);
    return transport;
  }

  /** Finds the VM that listens under a name. */
  findTransport(name: string): MemoryTransport | undefined {
    return this.#transports.get(name);
  }

  /** Loses everything that goes from one VM to another. */
  cut(from: string, to: string): void {
    this.#cuts.add(`${from} ${to}`);
  }

  /** Undoes {@linkcode cut}. */
  restore(from: string, to: string): void {
    this.#cuts.delete(`${from} ${to}`);
  }

  /** Whether everything from one VM to another is lost. */
  isCut(from: string, to: string): boolean {
    return this.#cuts.has(`${from} ${to}`);
  }
}

/** One VM's end of the network. */
export class MemoryTransport implements PeerTransport {
  readonly address: string;
  readonly clock: VirtualClock;
  readonly network: MemoryNetwork;
  readonly traffic = { sentBytes: 0, receivedBytes: 0, sentMessages: 0 };
  readonly #accepted = new Channel<PeerConnection>();
  readonly #connections = new Set<MemoryConnection>();
  isDown = false;

  /** Creates the end of the VM called `name`. */
  constructor(network: MemoryNetwork, name: string, clock: VirtualClock) {
    this.network = network;
    this.address = name;
    this.clock = clock;
  }

  /** Does nothing: the VM can be reached from its creation on. */
  open(): Promise<void> {
    return Promise.resolve();
  }

  /** Yields connections that peers opened. */
  listAccepted(): AsyncIterable<PeerConnection> {
    return this.#accepted;
  }

  /** Connects after one round trip, if neither way is cut. */
  async connect(
    address: string,
    signal: AbortSignal,
  ): Promise<PeerConnection | undefined> {
    const { network } = this;
    await this.clock.sleep(2 * network.options.latencyMs, signal);
    const remote = network.findTransport(address);
    const isOpen = remote !== undefined && !remote.isDown && !this.isDown;
    if (signal.aborted || !isOpen) return undefined;
    if (
      network.isCut(this.address, address) ||
      network.isCut(address, this.address)
    ) {
      await this.clock.sleep(CONNECT_TIMEOUT_MS, signal);
      return undefined;
    }
    const near = new MemoryConnection(this);
    const far = new MemoryConnection(remote);
    near.remote = far;
    far.remote = near;
    this.#connections.add(near);
    remote.#connections.add(far);
    remote.#accepted.send(far);
    return near;
  }

  /** Closes everything, as a crash does. */
  close(): Promise<void> {
    this.isDown = true;
    this.#accepted.close();
    for (const connection of this.#connections) connection.close();
    return Promise.resolve();
  }
}

class MemoryConnection implements PeerConnection {
  remote: MemoryConnection | undefined;
  readonly #transport: MemoryTransport;
  readonly #received = new Channel<PeerMessage>();

  constructor(transport: MemoryTransport) {
    this.#transport = transport;
  }

  send(message: PeerMessage): void {
    const { network, address, traffic } = this.#transport;
    const { remote } = this;
    if (remote === undefined || this.#transport.isDown) return;
    traffic.sentMessages += 1;
    if (network.options.countsBytes) {
      const bytes = encodeMessage(message).length + FRAME_BYTES;
      traffic.sentBytes += bytes;
      remote.#transport.traffic.receivedBytes += bytes;
    }
    network.time.startTimer(network.options.latencyMs, () => {
      if (network.isCut(address, remote.#transport.address)) return;
      remote.#transport.clock.runAwake(() => remote.#received.send(message));
    });
  }

  listMessages(): AsyncIterable<PeerMessage> {
    return this.#received;
  }

  close(): void {
    const { remote } = this;
    this.#received.close();
    this.remote = undefined;
    if (remote === undefined) return;
    remote.remote = undefined;
    remote.#received.close();
  }
}
