/** Accepts callers over HTTP/1.1, with Node's server. */
import http from "node:http";
import net from "node:net";
import type { AddressInfo, Socket } from "node:net";
import {
  CALLER_HEADER_LIMIT_BYTES,
  CALLER_IDLE_TIMEOUT_MS,
} from "../../constants.ts";
import { Channel } from "../../kernel/mod.ts";
import type { HandlerBoundary } from "../../kernel/mod.ts";
import { RefusalKind, RunState, Step } from "../../model/mod.ts";
import type { Refusal } from "../../model/mod.ts";
import type { Clock } from "../../services/clock/mod.ts";
import type {
  CallerConnection,
  CallerServer,
} from "../../services/caller_front/exchange.ts";
import type { Address } from "../../settings/mod.ts";
import type { HttpDialect } from "./dialect.ts";
import { Connection, InvalidInput } from "./caller_connection.ts";
import { createExchange } from "./caller_exchange.ts";
import { createGuardedHandler, openServer } from "./listener.ts";
import { encodeRefusal } from "./refusal_codec.ts";

const HEADER_OVERFLOW = "HPE_HEADER_OVERFLOW";
const CONNECTION_RESET = "ECONNRESET";

/** Options of {@linkcode createHttpCallerServer}. */
export interface CallerServerOptions {
  readonly address: Address;
  readonly dialect: HttpDialect;
  readonly boundary: HandlerBoundary;
  readonly clock: Clock;
}

/** Listens for callers and yields their connections. */
class HttpCallerServer implements CallerServer {
  readonly #options: CallerServerOptions;
  readonly #server: http.Server;
  readonly #accepted = new Channel<CallerConnection>();
  readonly #connections = new Map<Socket, Connection>();
  #isClosing = false;

  constructor(options: CallerServerOptions) {
    this.#options = options;
    const { boundary } = options;
    this.#server = http.createServer({
      maxHeaderSize: CALLER_HEADER_LIMIT_BYTES,
      keepAliveTimeout: CALLER_IDLE_TIMEOUT_MS,
      requireHostHeader: true,
    });
    this.#server.on("connection", (socket) => this.#addConnection(socket));
    this.#server.on(
      "request",
      createGuardedHandler(boundary, (request, response) => {
        this.#addRequest(request, response, false);
      }),
    );
    this.#server.on(
      "checkContinue",
      createGuardedHandler(boundary, (request, response) => {
        this.#addRequest(request, response, true);
      }),
    );
    this.#server.on("clientError", (error, stream) => {
      const socket = stream as Socket;
      boundary.run(
        `${socket.remoteAddress}:${socket.remotePort}`,
        () => this.#handleInvalidInput(error, socket),
        () => socket.destroy(),
      );
    });
  }

  get port(): number {
    return (this.#server.address() as AddressInfo | null)?.port ?? 0;
  }

  open(): Promise<void> {
    const { address, boundary } = this.#options;
    return openServer(this.#server, address, boundary);
  }

  listConnections(): AsyncIterable<CallerConnection> {
    return this.#accepted;
  }

  setIdleTimeout(ms: number): void {
    this.#server.keepAliveTimeout = ms;
  }

  closeAfterResponses(): void {
    this.#isClosing = true;
    for (const connection of this.#connections.values()) {
      connection.startClosing();
    }
  }

  close(): Promise<void> {
    this.closeAfterResponses();
    return new Promise((resolve) => {
      // The method of http.Server would also destroy connections whose response
      // has ended and is not written yet.
      net.Server.prototype.close.call(this.#server, () => {
        this.#accepted.close();
        resolve();
      });
      for (const connection of this.#connections.values()) {
        connection.closeWhenIdle();
      }
    });
  }

  #addConnection(socket: Socket): void {
    const connection = new Connection(socket, this.#isClosing);
    this.#connections.set(socket, connection);
    socket.once("close", () => this.#connections.delete(socket));
    this.#accepted.send(connection);
  }

  #addRequest(
    request: http.IncomingMessage,
    response: http.ServerResponse,
    expectsContinue: boolean,
  ): void {
    const { clock, dialect } = this.#options;
    const receivedAt = clock.now();
    this.#connections.get(request.socket)?.addRequest(
      request,
      response,
      (read) => createExchange(read, { receivedAt, expectsContinue, dialect }),
    );
  }

  #handleInvalidInput(error: NodeJS.ErrnoException, socket: Socket): void {
    const connection = this.#connections.get(socket);
    switch (connection?.recordInvalidInput() ?? InvalidInput.Abort) {
      case InvalidInput.Refuse:
        return refuseUnparsed(this.#options.dialect, error, socket);
      case InvalidInput.CloseAfterResponses:
        return;
      case InvalidInput.Abort:
        socket.destroy();
    }
  }
}

/** Creates a server for callers; it listens after `open` is called. */
export function createHttpCallerServer(
  options: CallerServerOptions,
): CallerServer {
  return new HttpCallerServer(options);
}

/** Refuses input that is not a valid request, and closes its connection. */
function refuseUnparsed(
  dialect: HttpDialect,
  error: NodeJS.ErrnoException,
  socket: Socket,
): void {
  if (error.code === CONNECTION_RESET || !socket.writable) {
    socket.destroy();
    return;
  }
  const kind = error.code === HEADER_OVERFLOW
    ? RefusalKind.HeaderTooLarge
    : RefusalKind.BadRequest;
  const refusal: Refusal = {
    kind,
    step: Step.Parse,
    peer: "",
    run: RunState.NotRun,
    retryAfterMs: 0,
  };
  const { status, headers, body } = encodeRefusal(refusal, dialect);
  const lines = [
    `HTTP/1.1 ${status} ${http.STATUS_CODES[status]}`,
    ...headers.map((field) => `${field.name}: ${field.value}`),
    `content-length: ${body.length}`,
    "connection: close",
  ];
  socket.end(`${lines.join("\r\n")}\r\n\r\n${Buffer.from(body)}`);
}
