/** Responses of backend servers over HTTP/1.1. */
import type http from "node:http";
import { FailureKind, Step } from "../../model/mod.ts";
import type { HeaderField } from "../../model/mod.ts";
import { BodyError } from "../../services/forwarding/upstream.ts";
import type {
  Attempt,
  UpstreamResponse,
} from "../../services/forwarding/upstream.ts";
import type { HttpDialect } from "./dialect.ts";
import {
  decodeHeaders,
  removeFields,
  removeHopByHop,
} from "./header_fields.ts";
import { parseRetryAfter } from "./retry_after.ts";

const STATUS_NO_CONTENT = 204;
const STATUS_RESET_CONTENT = 205;
const STATUS_NOT_MODIFIED = 304;
const STATUS_MISDIRECTED = 421;
const STATUS_UNAVAILABLE = 503;
const LENGTH_FIELD: ReadonlySet<string> = new Set(["content-length"]);

/** Creates the response to an attempt from its head. */
export function createResponse(
  dialect: HttpDialect,
  attempt: Attempt,
  request: http.ClientRequest,
  response: http.IncomingMessage,
): UpstreamResponse {
  const status = response.statusCode ?? 0;
  const fields = response.headers;
  const echoedAttempt = getField(fields, dialect.attemptField);
  // On a reused connection, a refusal without an attempt id may belong to an
  // earlier request if a faulty server has sent that refusal twice.
  const isForAttempt = echoedAttempt !== undefined ||
    dialect.signatureField === undefined ||
    !attempt.mayReuseConnection;
  return {
    status,
    headers: removeFields(
      decodeResponseHeaders(response),
      dialect.hiddenFields,
    ),
    attempt: echoedAttempt,
    isNotRun: isForAttempt &&
      isNotRun(dialect, getField(fields, dialect.notRunField)),
    isMisdirected: isForAttempt && dialect.serverField !== undefined &&
      status === STATUS_MISDIRECTED,
    isUnverified: dialect.signatureField !== undefined &&
      (getField(fields, dialect.signatureField) === undefined ||
        echoedAttempt === undefined),
    isLeaving: dialect.leavingFields.some((name) =>
      getField(fields, name) === dialect.leavingValue
    ),
    pauseMs: status === STATUS_UNAVAILABLE
      ? parseRetryAfter(getField(fields, "retry-after"), Date.now())
      : undefined,
    load: dialect.parseLoad(getField(fields, dialect.loadField) ?? ""),
    hasBody: hasBody(attempt.method, status),
    readBody: () => readBody(attempt, request, response),
    cancel: () => void request.destroy(),
  };
}

/** Decodes the header fields; the length fits a body that is left out. */
function decodeResponseHeaders(response: http.IncomingMessage): HeaderField[] {
  const fields = removeHopByHop(decodeHeaders(response.rawHeaders));
  switch (response.statusCode) {
    case STATUS_NO_CONTENT:
      return removeFields(fields, LENGTH_FIELD);
    case STATUS_RESET_CONTENT:
      return [
        ...removeFields(fields, LENGTH_FIELD),
        { name: "content-length", value: "0" },
      ];
    default:
      return fields;
  }
}

/** Whether a response with this status can have a body. */
export function hasBody(method: string, status: number): boolean {
  return method !== "HEAD" && status !== STATUS_NO_CONTENT &&
    status !== STATUS_RESET_CONTENT && status !== STATUS_NOT_MODIFIED;
}

/**
 * Releases the connection of a response without a body, or closes it if the
 * server announces a body nevertheless. The length in a response to `HEAD` or
 * with status 304 is that of the body which is left out.
 */
export function releaseConnection(
  request: http.ClientRequest,
  response: http.IncomingMessage,
): void {
  const status = response.statusCode;
  const mayHaveLength = request.method === "HEAD" ||
    status === STATUS_NOT_MODIFIED;
  if (!mayHaveLength && isBodyAnnounced(response)) request.destroy();
  else response.resume();
}

function isBodyAnnounced(response: http.IncomingMessage): boolean {
  const { headers, statusCode } = response;
  // Without a length, a body with status 205 would end with the connection.
  if (hasNoLength(response)) return statusCode === STATUS_RESET_CONTENT;
  return headers["content-length"] !== "0";
}

/** Reads a body; throws a {@linkcode BodyError} if it is incomplete. */
async function* readBody(
  attempt: Attempt,
  request: http.ClientRequest,
  response: http.IncomingMessage,
): AsyncGenerator<Uint8Array> {
  let hasError = false;
  request.once("error", () => hasError = true);
  const reset = hasNoLength(response) ? checkReset(response) : undefined;
  try {
    for await (const chunk of response) yield chunk as Uint8Array;
  } catch {
    throw createBodyError(attempt);
  }
  const isReset = await reset;
  if (isReset || hasError || !response.complete) {
    throw createBodyError(attempt);
  }
}

function hasNoLength(response: http.IncomingMessage): boolean {
  const { headers } = response;
  return headers["content-length"] === undefined &&
    headers["transfer-encoding"] === undefined;
}

/**
 * Resolves to whether the connection was reset; used for responses that end
 * when their connection closes.
 *
 * When data and a reset arrive together, libuv reports the end of the stream
 * instead of the reset. A write distinguishes the two cases: it fails only
 * after a reset. Servers ignore an empty line before a request (RFC 9112, 2.2).
 */
function checkReset(response: http.IncomingMessage): Promise<boolean> {
  const { socket } = response;
  if (socket.destroyed) return Promise.resolve(true);
  return new Promise((resolve) => {
    socket.once("close", (hadError: boolean) => resolve(hadError));
    socket.prependOnceListener("end", () => {
      socket.write("\r\n", (error) => resolve(Boolean(error)));
    });
  });
}

function createBodyError(attempt: Attempt): BodyError {
  return new BodyError({
    kind: attempt.signal.aborted
      ? FailureKind.Cancelled
      : FailureKind.Truncated,
    step: Step.Body,
    peer: attempt.server.id,
  });
}

function isNotRun(dialect: HttpDialect, value: string | undefined): boolean {
  return value !== undefined &&
    (dialect.notRunValue ?? value) === value;
}

function getField(
  headers: http.IncomingHttpHeaders,
  name: string,
): string | undefined {
  const value = headers[name];
  return typeof value === "string" ? value : undefined;
}
