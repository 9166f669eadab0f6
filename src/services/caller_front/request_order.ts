/** Which requests of a caller's connection may still be passed on. */

/** Phases of a connection. */
enum OrderPhase {
  Open = "open",
  /** Closes after a response; only a request that follows none may start. */
  Closing = "closing",
  /** The response after which the connection closes has been determined. */
  Ended = "ended",
}

/**
 * Decides which response closes a connection.
 *
 * A caller sends the requests behind a closing response again, whatever their
 * kind. So a response may close the connection only if no request behind it was
 * passed on, and none is passed on afterwards.
 */
export class RequestOrder {
  #phase = OrderPhase.Open;
  /** Number of the newest request that was passed on; 0 if there is none. */
  #newest = 0;
  #unanswered = 0;

  /** Number of requests that were passed on and not answered yet. */
  get unanswered(): number {
    return this.#unanswered;
  }

  /** Passes on the next request and returns its number; undefined if it may not. */
  tryPassOn(): number | undefined {
    switch (this.#phase) {
      case OrderPhase.Ended:
        return undefined;
      case OrderPhase.Closing:
        if (this.#unanswered > 0) return undefined;
        break;
      case OrderPhase.Open:
        break;
    }
    this.#newest += 1;
    this.#unanswered += 1;
    return this.#newest;
  }

  /** Records that the response to a request was sent or abandoned. */
  recordAnswered(): void {
    this.#unanswered -= 1;
  }

  /** Requests that the connection closes as soon as its order allows it. */
  startClosing(): void {
    if (this.#phase === OrderPhase.Open) this.#phase = OrderPhase.Closing;
  }

  /**
   * Whether the response to the given request closes the connection; called
   * once, when its head is sent. `mustClose` is set if the rest of the
   * connection can't be read.
   */
  tryEnd(request: number, mustClose: boolean): boolean {
    if (mustClose) this.startClosing();
    if (this.#phase === OrderPhase.Open || request !== this.#newest) {
      return false;
    }
    this.#phase = OrderPhase.Ended;
    return true;
  }
}
