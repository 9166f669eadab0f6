/** A caller's request to Node's HTTP server, and its response. */
import type http from "node:http";
import { once } from "node:events";
import type { HeaderField, Refusal, RequestHead } from "../../model/mod.ts";
import type {
  CallerExchange,
  IncomingBody,
  StreamedAnswer,
  WholeAnswer,
} from "../../services/caller_front/exchange.ts";
import {
  decodeHeaders,
  encodeHeaders,
  removeFields,
  removeHopByHop,
} from "./header_fields.ts";
import type { HttpDialect } from "./dialect.ts";
import { encodeRefusal } from "./refusal_codec.ts";

const HTTP_OK = 200;
const LENGTH_FIELD = new Set(["content-length"]);

/** Options of {@linkcode createExchange}. */
export interface ExchangeOptions {
  /** Whether the caller expects `100 Continue` before it sends the body. */
  expectsContinue: boolean;
  /** Whether the connection must close after this response. */
  isClosing: () => boolean;
  dialect: HttpDialect;
}

/** Creates the exchange for a request that Node has parsed. */
export function createExchange(
  request: http.IncomingMessage,
  response: http.ServerResponse,
  options: ExchangeOptions,
): CallerExchange {
  const gone = new AbortController();
  response.once("close", () => {
    if (!response.writableFinished) gone.abort();
  });
  response.on("error", () => gone.abort());
  const sender = new AnswerSender(request, response, options);
  return {
    peer: request.socket.remoteAddress ?? "",
    head: createHead(request, options.dialect),
    body: createIncomingBody(request, response, options),
    signal: gone.signal,
    get isAnswered() {
      return response.headersSent;
    },
    sendWhole: (answer) => sender.sendWhole(answer),
    sendStreamed: (answer) => sender.sendStreamed(answer),
    sendRefusal: (refusal) => sender.sendRefusal(refusal),
    sendValue: (value) => sender.sendValue(value),
  };
}

function createHead(
  request: http.IncomingMessage,
  dialect: HttpDialect,
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
class AnswerSender {
  readonly #request: http.IncomingMessage;
  readonly #response: http.ServerResponse;
  readonly #options: ExchangeOptions;

  constructor(
    request: http.IncomingMessage,
    response: http.ServerResponse,
    options: ExchangeOptions,
  ) {
    this.#request = request;
    this.#response = response;
    this.#options = options;
  }

  async sendWhole(answer: WholeAnswer): Promise<void> {
    const headers = removeHopByHop(answer.headers);
    if (answer.body === undefined) {
      this.#writeHead(answer.status, headers);
      await this.#close(undefined);
      return;
    }
    this.#writeHead(answer.status, [
      ...removeFields(headers, LENGTH_FIELD),
      { name: "content-length", value: String(answer.body.length) },
    ]);
    await this.#close(answer.body);
  }

  async sendStreamed(answer: StreamedAnswer): Promise<void> {
    this.#writeHead(answer.status, removeHopByHop(answer.headers));
    try {
      for await (const chunk of answer.body) await this.#write(chunk);
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
    const { status, headers, body } = encodeRefusal(
      refusal,
      this.#options.dialect,
    );
    await this.sendWhole({ status, headers, body });
  }

  async sendValue(value: unknown): Promise<void> {
    await this.sendWhole({
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
   * Whether the connection must close after this response. It must if the
   * request body was not read to its end: the next request comes after it.
   */
  #isLast(): boolean {
    return this.#options.isClosing() || !this.#request.complete;
  }

  async #write(chunk: Uint8Array): Promise<void> {
    if (this.#response.destroyed) throw new Error("the caller disconnected");
    if (this.#response.write(chunk)) return;
    const closed = once(this.#response, "close").then(() => {
      throw new Error("the caller disconnected");
    });
    await Promise.race([once(this.#response, "drain"), closed]);
  }

  #close(chunk: Uint8Array | undefined): Promise<void> {
    return new Promise((resolve) => {
      if (this.#response.destroyed) return resolve();
      this.#response.once("close", resolve);
      this.#response.end(chunk, () => resolve());
    });
  }
}
