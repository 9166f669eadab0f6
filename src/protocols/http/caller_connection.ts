/** A caller's connection to Node's HTTP server, and the requests read from it. */
import type http from "node:http";
import type { Socket } from "node:net";
import { Channel } from "../../kernel/mod.ts";
import type {
  CallerConnection,
  CallerExchange,
} from "../../services/caller_front/exchange.ts";
import { RequestOrder } from "../../services/caller_front/request_order.ts";

/**
 * Number of requests read and not started beyond which the socket is not read.
 * It is several times the number that run at once. Requests that arrived in the
 * same read, at most 64 KB, are parsed nevertheless.
 */
const WAITING_LIMIT = 32;

/** What to do about input that is not a valid request. */
export enum InvalidInput {
  /** No response is pending: refuse the input. */
  Refuse = "refuse",
  /** Answer the requests before it, then close. */
  CloseAfterResponses = "close_after_responses",
  /** The input is part of a request behind others: abort the connection. */
  Abort = "abort",
}

/** A request that was read, and what its exchange shares with the others. */
export interface ReadRequest {
  readonly request: http.IncomingMessage;
  readonly response: http.ServerResponse;
  readonly order: RequestOrder;
  /** Identifies the connection among the open ones. */
  readonly connection: string;
  /** Aborts when the caller disconnects. */
  readonly disconnected: AbortController;
}

/** A caller's connection and the requests received on it. */
export class Connection implements CallerConnection {
  readonly peer: string;
  readonly #socket: Socket;
  readonly #order = new RequestOrder();
  readonly #waiting = new Channel<CallerExchange>();
  /** Requests that were read and not answered yet. */
  readonly #open = new Set<ReadRequest>();
  #newest: ReadRequest | undefined;
  #isInvalid = false;
  #closesWhenIdle = false;
  #isPaused = false;

  /** Creates the connection; `isClosing` is set if the server is closing. */
  constructor(socket: Socket, isClosing: boolean) {
    this.#socket = socket;
    this.peer = `${socket.remoteAddress}:${socket.remotePort}`;
    if (isClosing) this.#order.startClosing();
    socket.setNoDelay(true);
    socket.once("close", () => this.#handleClose());
    // Node's server resumes the socket after each request.
    socket.on("resume", () => this.#pauseIfFull());
  }

  /** Whether all responses are written, up to the newest request. */
  get #isIdle(): boolean {
    return this.#open.size === 0;
  }

  async *listExchanges(): AsyncGenerator<CallerExchange, void, undefined> {
    try {
      for await (const exchange of this.#waiting) {
        this.#restoreReading();
        yield exchange;
      }
    } finally {
      this.#waiting.close();
    }
  }

  /** Adds a request that was read; its exchange is created by `create`. */
  addRequest(
    request: http.IncomingMessage,
    response: http.ServerResponse,
    create: (read: ReadRequest) => CallerExchange,
  ): void {
    const read: ReadRequest = {
      request,
      response,
      order: this.#order,
      connection: this.peer,
      disconnected: new AbortController(),
    };
    this.#open.add(read);
    this.#newest = read;
    // Node emits no `close` for responses that are queued behind another one.
    response.once("close", () => this.#removeRequest(read));
    response.on("error", () => read.disconnected.abort());
    this.#waiting.send(create(read));
    this.#pauseIfFull();
  }

  /** Closes the connection when its last response is sent. */
  startClosing(): void {
    this.#order.startClosing();
  }

  /** Closes the connection as soon as all of its responses are written. */
  closeWhenIdle(): void {
    this.#closesWhenIdle = true;
    if (this.#isIdle) this.#socket.destroySoon();
  }

  /** Records that input can't be parsed; no more input is read then. */
  recordInvalidInput(): InvalidInput {
    if (this.#isIdle) return InvalidInput.Refuse;
    if (this.#newest?.request.complete === false) {
      return this.#open.size === 1 && !this.#newest.response.headersSent
        ? InvalidInput.Refuse
        : InvalidInput.Abort;
    }
    this.#isInvalid = true;
    this.#order.startClosing();
    this.#pauseIfFull();
    return InvalidInput.CloseAfterResponses;
  }

  #removeRequest(read: ReadRequest): void {
    this.#open.delete(read);
    if (!read.response.writableFinished) read.disconnected.abort();
    // The head of the last response may have been sent without this decision.
    const mustClose = this.#isInvalid || this.#closesWhenIdle;
    if (mustClose && this.#isIdle) this.#socket.destroySoon();
  }

  #handleClose(): void {
    for (const { disconnected } of this.#open) disconnected.abort();
    this.#open.clear();
    this.#waiting.close();
  }

  get #isFull(): boolean {
    return this.#isInvalid || this.#waiting.size >= WAITING_LIMIT;
  }

  #pauseIfFull(): void {
    if (!this.#isFull) return;
    this.#isPaused = true;
    this.#socket.pause();
  }

  /** Reads on if this connection, and not Node's server, paused the socket. */
  #restoreReading(): void {
    if (!this.#isPaused || this.#isFull) return;
    this.#isPaused = false;
    this.#socket.resume();
  }
}
