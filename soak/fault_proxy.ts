/** A loopback TCP proxy that delays, silences, cuts or resets connections. */
import net from "node:net";
import type { AddressInfo, Socket } from "node:net";

/** What the proxy does to bytes. */
export enum ProxyMode {
  Pass = "pass",
  /** Passes them on late. */
  Delay = "delay",
  /** Holds those from the dialling end. */
  CutForth = "cut_forth",
  /** Holds those from the accepting end. */
  CutBack = "cut_back",
  /** Holds all. */
  Silent = "silent",
}

/** Time by which {@linkcode ProxyMode.Delay} is late, in milliseconds. */
const DELAY_MS = 120;
/** Time between two looks whether held bytes may pass, in milliseconds. */
const HOLD_CHECK_MS = 20;

enum Direction {
  Forth,
  Back,
}

/** Stands between daemons and one port. */
export class FaultProxy {
  mode = ProxyMode.Pass;
  readonly #target: number;
  readonly #server: net.Server;
  readonly #sockets = new Set<Socket>();

  /** Creates a proxy to a port on the loopback address. */
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

  /** Listens, and returns the port. */
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
