/** A loopback TCP proxy that delays, stalls or resets connections. */
import net from "node:net";
import type { AddressInfo, Socket } from "node:net";

/** How the proxy treats the data of its connections. */
export enum ProxyMode {
  Pass = "pass",
  /** Forwards data and ends of connections after a delay. */
  Delay = "delay",
  /** Holds back data from the connecting end. */
  CutForth = "cut_forth",
  /** Holds back data from the accepting end. */
  CutBack = "cut_back",
  /** Holds back data in both directions. */
  Silent = "silent",
}

/** Delay of {@linkcode ProxyMode.Delay}, in milliseconds. */
const DELAY_MS = 120;
/** Interval of checks whether held data may pass, in milliseconds. */
const HOLD_CHECK_MS = 20;

enum Direction {
  Forth,
  Back,
}

/** Forwards connections to one loopback port, subject to its `mode`. */
export class FaultProxy {
  mode = ProxyMode.Pass;
  readonly #target: number;
  readonly #server: net.Server;
  readonly #sockets = new Set<Socket>();

  /** Creates a proxy that does not listen yet. */
  constructor(target: number) {
    this.#target = target;
    this.#server = net.createServer({ allowHalfOpen: true }, (accepted) => {
      const dialled = net.connect({
        port: this.#target,
        host: "127.0.0.1",
        allowHalfOpen: true,
      });
      this.#connect(accepted, dialled, Direction.Forth);
      this.#connect(dialled, accepted, Direction.Back);
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
  cutAll(): void {
    for (const socket of this.#sockets) socket.resetAndDestroy();
  }

  /** Closes the proxy and its connections. */
  close(): void {
    this.#server.close();
    for (const socket of this.#sockets) socket.destroy();
  }

  #connect(from: Socket, to: Socket, direction: Direction): void {
    this.#sockets.add(from);
    from.setNoDelay(true);
    let passed = Promise.resolve();
    const pass = (action: () => void): void => {
      passed = passed.then(() => this.#waitToPass(direction)).then(action);
    };
    from.on("data", (chunk) => pass(() => void to.write(chunk)));
    from.on("end", () => pass(() => void to.end()));
    from.on("error", () => pass(() => void to.resetAndDestroy()));
    from.on("close", () => {
      this.#sockets.delete(from);
      pass(() => void to.destroy());
    });
  }

  async #waitToPass(direction: Direction): Promise<void> {
    while (this.#isHeld(direction)) await sleep(HOLD_CHECK_MS);
    if (this.mode === ProxyMode.Delay) await sleep(DELAY_MS);
  }

  #isHeld(direction: Direction): boolean {
    switch (this.mode) {
      case ProxyMode.Pass:
      case ProxyMode.Delay:
        return false;
      case ProxyMode.CutForth:
        return direction === Direction.Forth;
      case ProxyMode.CutBack:
        return direction === Direction.Back;
      case ProxyMode.Silent:
        return true;
    }
  }
}

function sleep(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}
