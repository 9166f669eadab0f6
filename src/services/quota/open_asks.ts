/** Asks for tokens that have not been answered. */
import type { Clock } from "../clock/mod.ts";
import type { TokenAsk, TokenGrant, TokenPeer } from "./token_exchange.ts";

/** Sends asks and waits for their grants. */
export class OpenAsks {
  readonly #clock: Clock;
  readonly #settlers = new Map<number, (grant?: TokenGrant) => void>();
  #count = 0;

  /** Creates a sender without an open ask. */
  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /**
   * Sends an ask; undefined if it is not granted within `ms`. A later grant is
   * dropped, and its tokens are lost.
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

  /** Takes the answer to an ask. */
  applyGrant(grant: TokenGrant): void {
    this.#settle(grant.id, grant);
  }

  #settle(id: number, grant?: TokenGrant): void {
    const settle = this.#settlers.get(id);
    this.#settlers.delete(id);
    settle?.(grant);
  }
}
