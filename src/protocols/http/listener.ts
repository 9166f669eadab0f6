/** Small HTTP servers with one request handler. */
import http from "node:http";
import type { HandlerBoundary } from "../../kernel/mod.ts";
import type { Address } from "../../settings/mod.ts";

/** An HTTP server with a fixed request handler. */
export interface HttpListener {
  /** Opens the listener; rejects if the address is in use. */
  open(): Promise<void>;
  /** Closes the listener and its connections. */
  close(): Promise<void>;
}

const STATUS_BAD_REQUEST = 400;
const STATUS_INTERNAL_ERROR = 500;

/** Thrown by a handler whose request can't be parsed. */
export class RequestSyntaxError extends Error {
  /** Creates an error; `reason` says which part of the request is invalid. */
  constructor(reason: string) {
    super(reason);
    this.name = "RequestSyntaxError";
  }
}

/**
 * Returns the URL of a request in origin form.
 *
 * Throws a {@linkcode RequestSyntaxError} for any other target. A target such
 * as `//:80/path` would otherwise be parsed as an authority.
 */
export function parseRequestUrl(request: http.IncomingMessage): URL {
  const target = request.url ?? "/";
  if (!target.startsWith("/") || target.startsWith("//")) {
    throw new RequestSyntaxError("the target is not in origin form");
  }
  return new URL(target, "http://localhost");
}

/**
 * Returns a handler that responds with 400 if `handler` throws a
 * {@linkcode RequestSyntaxError} and with 500 if it fails otherwise.
 */
export function createGuardedHandler(
  boundary: HandlerBoundary,
  handler: (
    request: http.IncomingMessage,
    response: http.ServerResponse,
  ) => void | Promise<void>,
): http.RequestListener {
  return (request, response) => {
    const { remoteAddress, remotePort } = request.socket;
    boundary.run(
      `${remoteAddress}:${remotePort}`,
      () => handler(request, response),
      (cause) => refuseFailed(response, cause),
    );
  };
}

function refuseFailed(response: http.ServerResponse, cause: unknown): void {
  // A response that has begun can't be corrected; it must not look complete.
  if (response.headersSent) {
    response.destroy();
    return;
  }
  const status = cause instanceof RequestSyntaxError
    ? STATUS_BAD_REQUEST
    : STATUS_INTERNAL_ERROR;
  response.writeHead(status, { connection: "close" }).end();
}

/** Creates a listener that calls `handler` for each request. */
export function createListener(
  address: Address,
  boundary: HandlerBoundary,
  handler: http.RequestListener,
): HttpListener {
  const server = http.createServer(createGuardedHandler(boundary, handler));
  return {
    open: () => openServer(server, address, boundary),
    close: () =>
      new Promise((resolve) => {
        server.close(() => resolve());
        server.closeAllConnections();
      }),
  };
}

/**
 * Opens a server; rejects if the address is in use. Errors after that, such as
 * a lack of file descriptors, are recorded and don't end the process.
 */
export function openServer(
  server: http.Server,
  address: Address,
  boundary: HandlerBoundary,
): Promise<void> {
  return new Promise((resolve, reject) => {
    server.once("error", reject);
    server.listen(address.port, address.host, () => {
      server.off("error", reject);
      server.on("error", (error) => {
        boundary.run("listener", () => Promise.reject(error), () => {});
      });
      resolve();
    });
  });
}
