/** Opens connections to hubs. */
import { EXPIRED, runWithin } from "../clock/mod.ts";
import type { Clock } from "../clock/mod.ts";
import type { PeerConnection, PeerTransport } from "../membership/transport.ts";
import { isHubRole, readHello } from "./link.ts";
import type { FleetMessage, Hello, VmEntry } from "./message.ts";
import type { VmList } from "./vm_list.ts";

/** Time that a VM has to accept a link and to say hello. */
export const DIAL_TIMEOUT_MS = 400;

/** A connection whose other end has said that it is a hub. */
export interface OpenedConnection {
  readonly hello: Hello;
  readonly connection: PeerConnection<FleetMessage>;
  /** What comes after the hello. */
  readonly messages: AsyncIterator<FleetMessage>;
}

/** What the dialer works with. */
export interface DialerParts {
  readonly clock: Clock;
  readonly transport: PeerTransport<FleetMessage>;
  readonly list: VmList;
  readonly createHello: () => FleetMessage;
}

/** Dials VMs one after the other, and notes those that are of no use. */
export class Dialer {
  readonly #parts: DialerParts;

  /** Creates a dialer. */
  constructor(parts: DialerParts) {
    this.#parts = parts;
  }

  /** Connects to the first hub among `candidates`; undefined if none is one. */
  async connectFirst(
    candidates: readonly VmEntry[],
    signal: AbortSignal,
  ): Promise<OpenedConnection | undefined> {
    for (const candidate of candidates) {
      if (signal.aborted) return undefined;
      const opened = await this.#connectTo(candidate, signal);
      if (opened !== undefined) return opened;
    }
    return undefined;
  }

  /** Connects to a hub; undefined when the VM is none, or is away. */
  async #connectTo(
    vm: VmEntry,
    signal: AbortSignal,
  ): Promise<OpenedConnection | undefined> {
    const { clock, transport, list, createHello } = this.#parts;
    const opened = await runWithin(clock, DIAL_TIMEOUT_MS, async (deadline) => {
      const connection = await transport.connect(
        vm.peerAddress,
        AbortSignal.any([signal, deadline]),
      );
      if (connection === undefined) return undefined;
      connection.send(createHello());
      const messages = connection.listMessages()[Symbol.asyncIterator]();
      const hello = await readHello(messages);
      if (deadline.aborted) connection.close();
      return { connection, messages, hello };
    });
    if (opened === EXPIRED || opened === undefined) {
      list.recordUnreached(vm.name, clock.now());
      return undefined;
    }
    const { connection, messages, hello } = opened;
    const isMeant = hello !== undefined && hello.vm.name === vm.name;
    if (!isMeant) {
      connection.close();
      list.recordUnreached(vm.name, clock.now());
      return undefined;
    }
    if (!isHubRole(hello.role)) {
      connection.close();
      list.recordNoHub(vm.name, clock.now());
      return undefined;
    }
    list.recordReached(vm.name);
    return { hello, connection, messages };
  }
}
