/** A loopback TCP proxy that delays, stalls or resets connections. */
import net from "node:net";
import type { AddressInfo, Socket } from "node:net";

/** How the proxy treats the data of its connections. */
export enum ProxyMode {
  Pass = "pass",
  /** Forwards data and ends of connections after a delay. */
  Delay = "delay",
  /** Holds back data from the connecting end. */
  StallForward = "cut_forth",
  /** Holds back data from the accepting end. */
  StallBackward = "cut_back",
  /** Holds back data in both directions. */
  StallBoth = "silent",
}

/** Delay of {@linkcode ProxyMode.Delay}, in milliseconds. */
const DELAY_MS = 120;
/** Interval of checks whether stalled data may pass, in milliseconds. */
const STALL_CHECK_MS = 20;

enum Direction {
  Forward,
  Backward,
}

/** Forwards connections to one loopback port, subject to its `mode`. */
export class FaultProxy {
  mode = ProxyMode.Pass;
  readonly #targetPort: number;
  readonly #server: net.Server;
  readonly #sockets = new Set<Socket>();

  /** Creates a proxy that does not listen yet. */
  constructor(targetPort: number) {
    this.#targetPort = targetPort;
    this.#server = net.createServer({ allowHalfOpen: true }, (incoming) => {
      const outgoing = net.connect({
        port: this.#targetPort,
        host: "127.0.0.1",
        allowHalfOpen: true,
      });
      this.#forward(incoming, outgoing, Direction.Forward);
      this.#forward(outgoing, incoming, Direction.Backward);
    });
  }

  /** Starts listening on a free port and returns that port. */
  async open(): Promise<number> {
    await new Promise<void>((resolve, reject) => {
      this.#server.once("error", reject);
      this.#server.listen(0, "127.0.0.1", resolve);
    });
    return (this.#server.address() as AddressInfo).port;
  }

  /** Resets all open connections. */
  killConnections(): void {
    for (const socket of this.#sockets) socket.resetAndDestroy();
  }

  /** Closes the proxy and its connections. */
  close(): void {
    this.#server.close();
    for (const socket of this.#sockets) socket.destroy();
  }

  #forward(from: Socket, to: Socket, direction: Direction): void {
    this.#sockets.add(from);
    from.setNoDelay(true);
    let lastAction = Promise.resolve();
    const enqueue = (action: () => void): void => {
      lastAction = lastAction.then(() => this.#waitToForward(direction)).then(
        action,
      );
    };
    from.on("data", (chunk) => enqueue(() => void to.write(chunk)));
    from.on("end", () => enqueue(() => void to.end()));
    from.on("error", () => enqueue(() => void to.resetAndDestroy()));
    from.on("close", () => {
      this.#sockets.delete(from);
      enqueue(() => void to.destroy());
    });
  }

  async #waitToForward(direction: Direction): Promise<void> {
    while (this.#isStalled(direction)) await sleep(STALL_CHECK_MS);
    if (this.mode === ProxyMode.Delay) await sleep(DELAY_MS);
  }

  #isStalled(direction: Direction): boolean {
    switch (this.mode) {
      case ProxyMode.Pass:
      case ProxyMode.Delay:
        return false;
      case ProxyMode.StallForward:
        return direction === Direction.Forward;
      case ProxyMode.StallBackward:
        return direction === Direction.Backward;
      case ProxyMode.StallBoth:
        return true;
    }
  }
}

function sleep(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}
