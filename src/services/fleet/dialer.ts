/** Connects to the hubs of failure domains. */
import { runWithTimeout, TIMED_OUT } from "../clock/mod.ts";
import type { Clock } from "../clock/mod.ts";
import type { PeerConnection, PeerTransport } from "../membership/transport.ts";
import { isHubRole, readHello } from "./link.ts";
import type { FleetMessage, Hello, VmEntry } from "./message.ts";
import type { VmList } from "./vm_list.ts";

/** Timeout for connecting to a VM and receiving its hello, in milliseconds. */
export const DIAL_TIMEOUT_MS = 400;

/** A connection on which the other VM's hello was received. */
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
  readonly createHello: () => Hello;
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
    const { clock, list, createHello } = this.#deps;
    for (const candidate of candidates) {
      if (signal.aborted) return undefined;
      const opened = await this.connect(candidate, createHello(), signal);
      if (opened === undefined) continue;
      if (isHubRole(opened.hello.role)) {
        list.recordReachable(candidate.name);
        return opened;
      }
      opened.connection.close();
      list.recordNotHub(candidate.name, clock.now());
    }
    return undefined;
  }

  /** Connects to a VM; undefined if it is unreachable. */
  async connect(
    vm: VmEntry,
    localHello: Hello,
    signal: AbortSignal,
  ): Promise<OpenedConnection | undefined> {
    const { clock, transport, list } = this.#deps;
    const opened = await runWithTimeout(
      clock,
      DIAL_TIMEOUT_MS,
      async (deadline) => {
        const connection = await transport.connect(
          vm.peerAddress,
          AbortSignal.any([signal, deadline]),
        );
        if (connection === undefined) return undefined;
        connection.send(localHello);
        const messages = connection.listMessages()[Symbol.asyncIterator]();
        const hello = await readHello(messages);
        if (deadline.aborted) connection.close();
        return { connection, messages, hello };
      },
    );
    if (opened === TIMED_OUT || opened === undefined) {
      if (!signal.aborted) list.recordUnreachable(vm.name, clock.now());
      return undefined;
    }
    const { connection, messages, hello } = opened;
    const isExpectedVm = hello !== undefined && hello.vm.name === vm.name;
    if (!isExpectedVm) {
      connection.close();
      list.recordUnreachable(vm.name, clock.now());
      return undefined;
    }
    return { hello, connection, messages };
  }
}
