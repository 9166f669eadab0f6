/** Small JSON requests over Node's HTTP client. */
import http from "node:http";

/** Options of {@linkcode fetchJson}. */
export interface JsonRequestOptions {
  /** Method; `GET` without a body. */
  method: string;
  /** Sent as JSON when given. */
  body?: unknown;
  /** Further header fields. */
  headers?: Record<string, string>;
  /** Agent that keeps connections; the default one when not given. */
  agent?: http.Agent;
  /** Cancels the request. */
  signal?: AbortSignal;
}

/** Answer to a JSON request. */
export interface JsonAnswer {
  /** HTTP status. */
  readonly status: number;
  /** The parsed body; undefined when it is empty. */
  readonly value: unknown;
}

/** Thrown when no whole answer came; `wasSent` says if the peer may act on it. */
export class JsonRequestError extends Error {
  readonly wasSent: boolean;

  /** Creates an error with the message of its cause. */
  constructor(message: string, wasSent: boolean) {
    super(message);
    this.name = "JsonRequestError";
    this.wasSent = wasSent;
  }
}

/**
 * Sends a request and reads the whole answer as JSON.
 *
 * Rejects with {@linkcode JsonRequestError} when none came or it is no JSON.
 */
export function fetchJson(
  url: URL,
  options: JsonRequestOptions,
): Promise<JsonAnswer> {
  const body = options.body === undefined
    ? undefined
    : Buffer.from(JSON.stringify(options.body));
  return new Promise((resolve, reject) => {
    let wasConnected = false;
    const request = http.request(url, {
      method: options.method,
      headers: {
        ...options.headers,
        ...(body && {
          "content-type": "application/json",
          "content-length": String(body.length),
        }),
      },
      ...(options.agent && { agent: options.agent }),
      ...(options.signal && { signal: options.signal }),
    });
    request.on("socket", (socket) => {
      if (!socket.connecting) wasConnected = true;
      else socket.once("connect", () => wasConnected = true);
    });
    request.on("error", (error) => {
      reject(new JsonRequestError(error.message, wasConnected));
    });
    request.on("response", (response) => {
      readJson(response).then(resolve, (error: Error) => {
        reject(new JsonRequestError(error.message, true));
      });
    });
    request.end(body);
  });
}

async function readJson(response: http.IncomingMessage): Promise<JsonAnswer> {
  const chunks: Buffer[] = [];
  for await (const chunk of response) chunks.push(chunk as Buffer);
  const text = Buffer.concat(chunks).toString("utf8");
  const value: unknown = text === "" ? undefined : JSON.parse(text);
  return { status: response.statusCode ?? 0, value };
}
