/** Serves operators over HTTP: `GET /dump`, `/status` and `/metrics`. */
import { createHash, timingSafeEqual } from "node:crypto";
import http from "node:http";
import type { AddressInfo } from "node:net";
import { Channel } from "../../kernel/mod.ts";
import type { HandlerBoundary } from "../../kernel/mod.ts";
import {
  OperatorQuery,
  OperatorResponseKind,
} from "../../services/operator_front/mod.ts";
import type {
  OperatorRequest,
  OperatorResponse,
  OperatorServer,
} from "../../services/operator_front/mod.ts";
import type { Address } from "../../settings/mod.ts";
import { createGuardedHandler, openServer } from "./listener.ts";

const HTTP_OK = 200;
const HTTP_UNAUTHORIZED = 401;
const HTTP_NOT_FOUND = 404;

/** Options of {@linkcode createHttpOperatorServer}. */
export interface OperatorServerOptions {
  /** Address on which the server listens. */
  address: Address;
  /** SHA-256 digests of the accepted keys; if empty, nobody has access. */
  keyDigests: readonly string[];
  /** Boundary in which requests are handled. */
  boundary: HandlerBoundary;
}

/** Creates a server for operators; it listens after `open` is called. */
export function createHttpOperatorServer(
  options: OperatorServerOptions,
): OperatorServer {
  const requests = new Channel<OperatorRequest>();
  const { address, boundary } = options;
  const server = http.createServer(
    createGuardedHandler(boundary, (request, response) => {
      if (!isAuthorized(request, options.keyDigests)) {
        return sendJson(response, HTTP_UNAUTHORIZED, { error: "key_unknown" });
      }
      const query = parseQuery(request);
      if (query === undefined) {
        return sendJson(response, HTTP_NOT_FOUND, { error: "query_unknown" });
      }
      requests.send({
        query,
        send: (operatorResponse) => sendResponse(response, operatorResponse),
      });
    }),
  );
  return {
    open: () => openServer(server, address, boundary),
    get port() {
      return (server.address() as AddressInfo | null)?.port ?? 0;
    },
    listRequests: () => requests,
    close: () =>
      new Promise((resolve) => {
        requests.close();
        server.close(() => resolve());
        server.closeAllConnections();
      }),
  };
}

function isAuthorized(
  request: http.IncomingMessage,
  digests: readonly string[],
): boolean {
  const key = /^bearer +(\S+)$/i.exec(request.headers.authorization ?? "")?.[1];
  if (key === undefined) return false;
  const keyDigest = createHash("sha256").update(key).digest();
  return digests.some((digest) =>
    timingSafeEqual(keyDigest, Buffer.from(digest, "hex"))
  );
}

function parseQuery(request: http.IncomingMessage): OperatorQuery | undefined {
  if (request.method !== "GET") return undefined;
  const name = request.url?.slice(1);
  return Object.values(OperatorQuery).find((query) => query === name);
}

function sendResponse(
  response: http.ServerResponse,
  operatorResponse: OperatorResponse,
): void {
  switch (operatorResponse.kind) {
    case OperatorResponseKind.Value:
      return sendJson(response, HTTP_OK, operatorResponse.value);
    case OperatorResponseKind.Text:
      response.writeHead(HTTP_OK, { "content-type": "text/plain" });
      response.end(operatorResponse.text);
  }
}

function sendJson(
  response: http.ServerResponse,
  status: number,
  value: unknown,
): void {
  response.writeHead(status, { "content-type": "application/json" });
  response.end(JSON.stringify(value) + "\n");
}
