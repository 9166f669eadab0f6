/** Sends small JSON requests with Node's HTTP client. */
import http from "node:http";

/** Options of {@linkcode fetchJson}. */
export interface JsonRequestOptions {
  /** HTTP method. */
  method: string;
  /** Body, sent as JSON; undefined for none. */
  body?: unknown;
  /** Additional header fields. */
  headers?: Record<string, string>;
  /** Agent that manages connections; defaults to Node's global agent. */
  agent?: http.Agent;
  /** Cancels the request. */
  signal?: AbortSignal;
}

/** Response to a JSON request. */
export interface JsonResponse {
  /** HTTP status code. */
  readonly status: number;
  /** Parsed body; undefined if it is empty. */
  readonly value: unknown;
}

/** Thrown if no complete response with a valid JSON body arrives. */
export class JsonRequestError extends Error {
  /** Whether the peer may have received the request and acted on it. */
  readonly wasSent: boolean;

  /** Creates an error with the message of its cause. */
  constructor(message: string, wasSent: boolean) {
    super(message);
    this.name = "JsonRequestError";
    this.wasSent = wasSent;
  }
}

/**
 * Sends a request and reads the complete response as JSON.
 *
 * Rejects with a {@linkcode JsonRequestError} if no complete response arrives
 * or its body is not valid JSON.
 */
export function fetchJson(
  url: URL,
  options: JsonRequestOptions,
): Promise<JsonResponse> {
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

async function readJson(response: http.IncomingMessage): Promise<JsonResponse> {
  const chunks: Buffer[] = [];
  for await (const chunk of response) chunks.push(chunk as Buffer);
  const text = Buffer.concat(chunks).toString("utf8");
  const value: unknown = text === "" ? undefined : JSON.parse(text);
  return { status: response.statusCode ?? 0, value };
}
