/** Token requests of this VM that have no response yet. */
import type { Clock } from "../clock/mod.ts";
import type { TokenGrant, TokenPeer, TokenRequest } from "./token_exchange.ts";

/** Sends token requests and waits for the grants. */
export class PendingTokenRequests {
  readonly #clock: Clock;
  readonly #resolvers = new Map<number, (grant?: TokenGrant) => void>();
  #lastId = 0;

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
    request: Omit<TokenRequest, "id">,
    ms: number,
  ): Promise<TokenGrant | undefined> {
    this.#lastId += 1;
    const id = this.#lastId;
    return new Promise((resolve) => {
      const cancel = this.#clock.startTimer(ms, () => this.#resolveRequest(id));
      this.#resolvers.set(id, (grant) => {
        cancel();
        resolve(grant);
      });
      peer.sendRequest({ ...request, id });
    });
  }

  /** Resolves the request that a grant responds to. */
  applyGrant(grant: TokenGrant): void {
    this.#resolveRequest(grant.id, grant);
  }

  #resolveRequest(id: number, grant?: TokenGrant): void {
    const resolve = this.#resolvers.get(id);
    this.#resolvers.delete(id);
    resolve?.(grant);
  }
}
