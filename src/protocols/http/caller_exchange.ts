/** A caller's request to Node's HTTP server, and its response. */
import type http from "node:http";
import { once } from "node:events";
import type { HeaderField, Refusal, RequestHead } from "../../model/mod.ts";
import type {
  BufferedResponse,
  CallerExchange,
  IncomingBody,
  StreamedResponse,
} from "../../services/caller_front/exchange.ts";
import {
  decodeHeaders,
  encodeHeaders,
  removeFields,
  removeHopByHop,
} from "./header_fields.ts";
import type { RequestOrder } from "../../services/caller_front/request_order.ts";
import type { ReadRequest } from "./caller_connection.ts";
import type { HttpDialect } from "./dialect.ts";
import { encodeRefusal } from "./refusal_codec.ts";

const HTTP_OK = 200;
const LENGTH_FIELD = new Set(["content-length"]);

/** Options of {@linkcode createExchange}. */
export interface ExchangeOptions {
  /** Monotonic time at which the head was read, in milliseconds. */
  readonly receivedAt: number;
  /** Whether the caller expects `100 Continue` before it sends the body. */
  readonly expectsContinue: boolean;
  readonly dialect: HttpDialect;
}

/** Creates the exchange for a request that Node has parsed. */
export function createExchange(
  read: ReadRequest,
  options: ExchangeOptions,
): CallerExchange {
  const { request, response } = read;
  const sender = new ResponseSender(read, options.dialect);
  return {
    peer: request.socket.remoteAddress ?? "",
    connection: read.connection,
    head: createHead(request, options),
    body: createIncomingBody(request, response, options),
    signal: read.disconnected.signal,
    get isResponseStarted() {
      return response.headersSent;
    },
    tryPassOn: () => sender.tryPassOn(),
    sendBuffered: (buffered) => sender.sendBuffered(buffered),
    sendStreamed: (streamed) => sender.sendStreamed(streamed),
    sendRefusal: (refusal) => sender.sendRefusal(refusal),
    sendValue: (value) => sender.sendValue(value),
  };
}

function createHead(
  request: http.IncomingMessage,
  { dialect, receivedAt }: ExchangeOptions,
): RequestHead {
  const { headers } = request;
  const host = headers.host?.toLowerCase().replace(/:\d+$/, "");
  const attempt = headers[dialect.attemptField];
  const remainingMs = Number(headers[dialect.deadlineField] ?? NaN);
  return {
    method: request.method ?? "GET",
    target: request.url ?? "/",
    headers: removeHopByHop(decodeHeaders(request.rawHeaders)),
    host,
    receivedAt,
    ...(dialect.hasCallerFields && {
      attempt: typeof attempt === "string" ? attempt : undefined,
      remainingMs: Number.isFinite(remainingMs) ? remainingMs : undefined,
    }),
  };
}

function createIncomingBody(
  request: http.IncomingMessage,
  response: http.ServerResponse,
  options: ExchangeOptions,
): IncomingBody {
  return {
    length: getBodyLength(request),
    read: async function* () {
      if (options.expectsContinue) response.writeContinue();
      for await (const chunk of request) yield chunk as Uint8Array;
    },
  };
}

function getBodyLength(request: http.IncomingMessage): number | undefined {
  if (request.headers["transfer-encoding"] !== undefined) return undefined;
  return Number(request.headers["content-length"] ?? 0);
}

/** Sends the response of an exchange. */
class ResponseSender {
  readonly #request: http.IncomingMessage;
  readonly #response: http.ServerResponse;
  readonly #order: RequestOrder;
  readonly #dialect: HttpDialect;
  /** Aborts when the caller disconnects. */
  readonly #disconnected: AbortSignal;
  /** Undefined until the request is passed on. */
  #number: number | undefined;

  constructor(read: ReadRequest, dialect: HttpDialect) {
    this.#request = read.request;
    this.#response = read.response;
    this.#order = read.order;
    this.#disconnected = read.disconnected.signal;
    this.#dialect = dialect;
  }

  tryPassOn(): boolean {
    this.#number = this.#order.tryPassOn();
    if (this.#number === undefined) return false;
    this.#response.once("finish", () => this.#order.recordAnswered());
    return true;
  }

  async sendBuffered(buffered: BufferedResponse): Promise<void> {
    const headers = removeHopByHop(buffered.headers);
    if (buffered.body === undefined) {
      this.#writeHead(buffered.status, headers);
      await this.#close(undefined);
      return;
    }
    this.#writeHead(buffered.status, [
      ...removeFields(headers, LENGTH_FIELD),
      { name: "content-length", value: String(buffered.body.length) },
    ]);
    await this.#close(buffered.body);
  }

  async sendStreamed(streamed: StreamedResponse): Promise<void> {
    this.#writeHead(streamed.status, removeHopByHop(streamed.headers));
    try {
      for await (const chunk of streamed.body) await this.#write(chunk);
    } catch (error) {
      this.#response.destroy();
      throw error;
    }
    await this.#close(undefined);
  }

  async sendRefusal(refusal: Refusal): Promise<void> {
    if (this.#response.headersSent) {
      this.#response.destroy();
      return;
    }
    const { status, headers, body } = encodeRefusal(refusal, this.#dialect);
    await this.sendBuffered({ status, headers, body });
  }

  async sendValue(value: unknown): Promise<void> {
    await this.sendBuffered({
      status: HTTP_OK,
      headers: [
        { name: "content-type", value: "application/json" },
        { name: "cache-control", value: "no-store" },
      ],
      body: Buffer.from(JSON.stringify(value) + "\n"),
    });
  }

  #writeHead(status: number, headers: readonly HeaderField[]): void {
    if (this.#response.destroyed) return;
    const fields = this.#isLast()
      ? [...headers, { name: "connection", value: "close" }]
      : headers;
    this.#response.writeHead(status, encodeHeaders(fields));
  }

  /**
   * Whether the connection closes after this response. It must if the request
   * body was not read to its end: the next request comes after it.
   */
  #isLast(): boolean {
    if (this.#number === undefined) return true;
    return this.#order.tryEnd(this.#number, !this.#request.complete);
  }

  async #write(chunk: Uint8Array): Promise<void> {
    if (this.#response.destroyed) throw new Error("the caller disconnected");
    if (this.#response.write(chunk)) return;
    await once(this.#response, "drain", { signal: this.#disconnected });
  }

  #close(chunk: Uint8Array | undefined): Promise<void> {
    return new Promise((resolve) => {
      // A response that is queued behind another one gets no `close` event.
      if (this.#response.destroyed || this.#disconnected.aborted) {
        return resolve();
      }
      this.#disconnected.addEventListener("abort", () => resolve(), {
        once: true,
      });
      this.#response.once("close", resolve);
      this.#response.end(chunk, () => resolve());
    });
  }
}
