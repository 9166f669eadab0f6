/** Small HTTP servers with one request handler. */
import http from "node:http";
import type { Address } from "../../settings/mod.ts";

/** An HTTP server with a fixed request handler. */
export interface HttpListener {
  /** Opens the listener; rejects if the address is in use. */
  open(): Promise<void>;
  /** Closes the listener and its connections. */
  close(): Promise<void>;
}

/** Creates a listener that calls `handler` for each request. */
export function createListener(
  address: Address,
  handler: http.RequestListener,
): HttpListener {
  const server = http.createServer(handler);
  return {
    open: () =>
      new Promise((resolve, reject) => {
        server.once("error", reject);
        server.listen(address.port, address.host, resolve);
      }),
    close: () =>
      new Promise((resolve) => {
        server.close(() => resolve());
        server.closeAllConnections();
      }),
  };
}
