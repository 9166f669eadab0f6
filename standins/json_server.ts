/** A small JSON server on which stand-ins for platform services are built. */
import http from "node:http";
import type { AddressInfo } from "node:net";

/** A request received by a stand-in. */
export interface StandinRequest {
  readonly method: string;
  readonly url: URL;
  /** The parsed JSON body; undefined if it is missing or not valid JSON. */
  readonly body: unknown;
}

/** Response of a stand-in; `undefined` closes the connection without one. */
export type StandinResponse =
  | { readonly status: number; readonly value: unknown }
  | undefined;

/** A running stand-in. */
export interface StandinServer {
  /** TCP port on the loopback address. */
  readonly port: number;
  /** Closes the listener and all connections. */
  close(): Promise<void>;
}

/** Starts a JSON server on the loopback address; port 0 selects a free one. */
export async function startJsonServer(
  port: number,
  serve: (request: StandinRequest) => Promise<StandinResponse>,
): Promise<StandinServer> {
  const server = http.createServer((request, response) => {
    void serveRequest(request, response, serve);
  });
  await new Promise<void>((resolve, reject) => {
    server.once("error", reject);
    server.listen(port, "127.0.0.1", resolve);
  });
  return {
    port: (server.address() as AddressInfo).port,
    close: () => closeServer(server),
  };
}

/** Closes an HTTP server and all its connections. */
export function closeServer(server: http.Server): Promise<void> {
  return new Promise((resolve) => {
    server.close(() => resolve());
    server.closeAllConnections();
  });
}

async function serveRequest(
  request: http.IncomingMessage,
  response: http.ServerResponse,
  serve: (request: StandinRequest) => Promise<StandinResponse>,
): Promise<void> {
  const body = await readBody(request);
  const result = await serve({
    method: request.method ?? "GET",
    url: new URL(request.url ?? "/", "http://127.0.0.1"),
    body,
  }).catch((error: Error) => ({ status: 500, value: error.message }));
  if (result === undefined) {
    request.socket.destroy();
    return;
  }
  const text = JSON.stringify(result.value ?? null);
  response.writeHead(result.status, { "content-type": "application/json" });
  response.end(text);
}

async function readBody(request: http.IncomingMessage): Promise<unknown> {
  const chunks: Buffer[] = [];
  for await (const chunk of request) chunks.push(chunk as Buffer);
  const text = Buffer.concat(chunks).toString("utf8");
  if (text === "") return undefined;
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}
