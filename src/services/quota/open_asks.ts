/** Token requests of this VM that have no response yet. */
import type { Clock } from "../clock/mod.ts";
import type { TokenAsk, TokenGrant, TokenPeer } from "./token_exchange.ts";

/** Sends token requests and waits for the grants. */
export class OpenAsks {
  readonly #clock: Clock;
  readonly #settlers = new Map<number, (grant?: TokenGrant) => void>();
  #count = 0;

  /** Creates a sender without pending requests. */
  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /**
   * Sends a request; resolves to undefined if no grant arrives within `ms`
   * milliseconds. A later grant is dropped and its tokens are lost.
   */
  send(
    peer: TokenPeer,
    ask: Omit<TokenAsk, "id">,
    ms: number,
  ): Promise<TokenGrant | undefined> {
    this.#count += 1;
    const id = this.#count;
    return new Promise((resolve) => {
      const cancel = this.#clock.startTimer(ms, () => this.#settle(id));
      this.#settlers.set(id, (grant) => {
        cancel();
        resolve(grant);
      });
      peer.sendAsk({ ...ask, id });
    });
  }

  /** Resolves the request that a grant responds to. */
  applyGrant(grant: TokenGrant): void {
    this.#settle(grant.id, grant);
  }

  #settle(id: number, grant?: TokenGrant): void {
    const settle = this.#settlers.get(id);
    this.#settlers.delete(id);
    settle?.(grant);
  }
}
