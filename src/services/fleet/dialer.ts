/** Connects to the hubs of failure domains. */
import { runWithTimeout, TIMED_OUT } from "../clock/mod.ts";
import type { Clock } from "../clock/mod.ts";
import type { PeerConnection, PeerTransport } from "../membership/transport.ts";
import { isHubRole, readHello } from "./link.ts";
import type { FleetMessage, Hello, VmEntry } from "./message.ts";
import type { VmList } from "./vm_list.ts";

/** Timeout for connecting to a VM and receiving its hello, in milliseconds. */
export const DIAL_TIMEOUT_MS = 400;

/** A connection whose other end has reported that it is a hub. */
export interface OpenedConnection {
  readonly hello: Hello;
  readonly connection: PeerConnection<FleetMessage>;
  /** Messages after the hello. */
  readonly messages: AsyncIterator<FleetMessage>;
}

/** Dependencies of {@linkcode Dialer}. */
export interface DialerDependencies {
  readonly clock: Clock;
  readonly transport: PeerTransport<FleetMessage>;
  readonly list: VmList;
  readonly createHello: () => FleetMessage;
}

/** Connects to VMs one by one, and records those that can't be used as hubs. */
export class Dialer {
  readonly #deps: DialerDependencies;

  /** Creates a dialer. */
  constructor(deps: DialerDependencies) {
    this.#deps = deps;
  }

  /** Connects to the first hub of `candidates`; undefined if there is none. */
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

  /** Connects to a VM; undefined if it is unreachable or not a hub. */
  async #connectTo(
    vm: VmEntry,
    signal: AbortSignal,
  ): Promise<OpenedConnection | undefined> {
    const { clock, transport, list, createHello } = this.#deps;
    const opened = await runWithTimeout(
      clock,
      DIAL_TIMEOUT_MS,
      async (deadline) => {
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
      },
    );
    if (opened === TIMED_OUT || opened === undefined) {
      list.recordUnreachable(vm.name, clock.now());
      return undefined;
    }
    const { connection, messages, hello } = opened;
    const isExpectedVm = hello !== undefined && hello.vm.name === vm.name;
    if (!isExpectedVm) {
      connection.close();
      list.recordUnreachable(vm.name, clock.now());
      return undefined;
    }
    if (!isHubRole(hello.role)) {
      connection.close();
      list.recordNotHub(vm.name, clock.now());
      return undefined;
    }
    list.recordReachable(vm.name);
    return { hello, connection, messages };
  }
}
