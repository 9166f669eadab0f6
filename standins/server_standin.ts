/** Stand-in for a backend server with slots, load reports and gray failures. */
import http from "node:http";
import type { AddressInfo, Socket } from "node:net";
import { DEFAULT_DIALECT } from "../src/protocols/http/dialect.ts";
import type { HttpDialect } from "../src/protocols/http/dialect.ts";
import type { LoadReport } from "../src/services/forwarding/upstream.ts";
import { ColdLimit } from "./cold_limit.ts";
import { closeServer } from "./json_server.ts";

/** Behavior of the stand-in; all modes except `Healthy` simulate faults. */
export enum ServerMode {
  Healthy = "healthy",
  /** Every response takes `slowFactor` times as long. */
  Slow = "slow",
  /** A share of the responses has status 500. */
  Errors = "errors",
  /** Requests are accepted and run, but get no response. */
  Hang = "hang",
  /** Responses end before their announced length. */
  Truncate = "truncate",
  /** Responses contain the attempt id of another request. */
  Mismatch = "cross",
  /** Requests are shed and marked as not run while all slots are in use. */
  Shed = "shed",
  /** The connection is closed after the request was run, without a response. */
  Drop = "drop",
}

/** Options of {@linkcode startServerStandin}. */
export interface ServerStandinOptions {
  /** Name of the server, which its responses contain. */
  name: string;
  /**
   * TCP port on the loopback address.
   * @default 0, which selects a free port
   */
  port?: number;
  /**
   * Maximum number of requests that run at the same time.
   * @default 4
   */
  slots?: number;
  /**
   * Processing time of a request, in milliseconds.
   * @default 2
   */
  workMs?: number;
  /**
   * Additional processing time during the first second, in milliseconds.
   * @default 0
   */
  coldWorkMs?: number;
  /**
   * Number of requests in a second above which a cold server crashes.
   * @default Infinity
   */
  maxColdPerSecond?: number;
  /**
   * Maximum number of open connections.
   * @default 300
   */
  maxConnections?: number;
  /**
   * Share of failed responses in the mode `errors`, 0 to 1.
   * @default 0.5
   */
  errorShare?: number;
  /**
   * Factor by which the mode `slow` multiplies the processing time.
   * @default 10
   */
  slowFactor?: number;
  /**
   * Header fields of requests and responses.
   * @default DEFAULT_DIALECT
   */
  dialect?: HttpDialect;
  /**
   * Formats the load report.
   * @default the format of DEFAULT_DIALECT
   */
  formatLoad?: (load: LoadReport, slots: number) => string;
}

/** A request that the stand-in has run, recorded for tests. */
export interface RecordedRequest {
  readonly method: string;
  readonly url: string;
  readonly headers: http.IncomingHttpHeaders;
  readonly body: string;
  /** Monotonic time of its arrival, in milliseconds. */
  readonly arrivedAt: number;
  /** Monotonic time at which it started to run, in milliseconds. */
  readonly runAt: number;
}

const KEEP_ALIVE_MS = 60_000;
/** Time after the start during which requests take longer (`coldWorkMs`). */
const COLD_PERIOD_MS = 1_000;
/** HTTP status of a request that is addressed to another server. */
const STATUS_MISDIRECTED = 421;

/** A backend server on the loopback address. */
export class ServerStandin {
  mode: ServerMode = ServerMode.Healthy;
  /** Whether responses report that the server is draining. */
  isDraining = false;
  /** Whether load reports falsely report an idle server. */
  isReportingIdle = false;
  /** Whether to record the requests that were run. */
  recordsRequests = true;
  /** Requests that were run, oldest first. */
  readonly recordedRequests: RecordedRequest[] = [];
  /** Number of requests that were run. */
  runCount = 0;
  /** Number of crashes; each breaks all connections. */
  crashCount = 0;
  readonly #coldLimit: ColdLimit;
  readonly #options: Required<ServerStandinOptions>;
  readonly #server: http.Server;
  readonly #startedAt = performance.now();
  readonly #waiting: (() => void)[] = [];
  #running = 0;
  #failureCredit = 0;
  #lastAttempt = "none";

  /** Creates a server; call {@linkcode start} to listen. */
  constructor(options: ServerStandinOptions) {
    this.#options = {
      port: 0,
      slots: 4,
      workMs: 2,
      coldWorkMs: 0,
      maxColdPerSecond: Infinity,
      maxConnections: 300,
      errorShare: 0.5,
      slowFactor: 10,
      dialect: DEFAULT_DIALECT,
      formatLoad: ({ running, waiting }) =>
        `running=${running}, waiting=${waiting}`,
      ...options,
    };
    this.#coldLimit = new ColdLimit(this.#options.maxColdPerSecond);
    this.#server = http.createServer((request, response) => {
      void this.#serve(request, response);
    });
    this.#server.keepAliveTimeout = KEEP_ALIVE_MS;
    this.#server.maxConnections = this.#options.maxConnections;
  }

  /** TCP port on which the server listens. */
  get port(): number {
    return (this.#server.address() as AddressInfo).port;
  }

  /** Starts to listen; rejects if the port is in use. */
  start(): Promise<void> {
    return new Promise((resolve, reject) => {
      this.#server.once("error", reject);
      this.#server.listen(this.#options.port, "127.0.0.1", resolve);
    });
  }

  /** Starts a cold time; too many requests during it crash the server. */
  startCold(coldMs: number): void {
    this.#coldLimit.start(coldMs);
  }

  /** Closes the listener and all connections. */
  close(): Promise<void> {
    return closeServer(this.#server);
  }

  async #serve(
    request: http.IncomingMessage,
    response: http.ServerResponse,
  ): Promise<void> {
    const arrivedAt = performance.now();
    try {
      if (request.url === "/control") {
        return await this.#setMode(request, response);
      }
      const body = await readText(request);
      if (this.#isMisdirected(request)) {
        response.writeHead(STATUS_MISDIRECTED).end();
        return;
      }
      if (this.#coldLimit.recordArrival()) {
        this.crashCount += 1;
        return this.#server.closeAllConnections();
      }
      if (this.#isShedding()) return this.#sendShed(request, response);
      await this.#acquireSlot();
      try {
        await this.#run({ request, response, body, arrivedAt });
      } finally {
        this.#releaseSlot();
      }
    } catch {
      response.destroy();
    }
  }

  async #run(exchange: Exchange): Promise<void> {
    const { request, response, body, arrivedAt } = exchange;
    this.runCount += 1;
    if (this.recordsRequests) {
      this.recordedRequests.push({
        method: request.method ?? "",
        url: request.url ?? "",
        headers: request.headers,
        body,
        arrivedAt,
        runAt: performance.now(),
      });
    }
    await sleepMs(this.#getWorkMs());
    switch (this.mode) {
      case ServerMode.Healthy:
      case ServerMode.Slow:
      case ServerMode.Shed:
        return this.#sendResponse(exchange, 200);
      case ServerMode.Errors:
        return this.#sendResponse(exchange, this.#isNextFailing() ? 500 : 200);
      case ServerMode.Hang:
        return await waitForClose(request.socket);
      case ServerMode.Truncate:
        return this.#sendTruncated(exchange);
      case ServerMode.Mismatch:
        return this.#sendResponse(exchange, 200, this.#lastAttempt);
      case ServerMode.Drop:
        response.destroy();
    }
  }

  #sendResponse(exchange: Exchange, status: number, attempt?: string): void {
    const { request, response, body } = exchange;
    const requestAttempt = String(
      request.headers[this.#options.dialect.attemptField] ?? "none",
    );
    const value = {
      server: this.#options.name,
      method: request.method,
      path: request.url,
      bytes: Buffer.byteLength(body),
    };
    const text = Buffer.from(JSON.stringify(value) + "\n");
    response.writeHead(status, {
      ...this.#getReportHeaders(),
      [this.#options.dialect.attemptField]: attempt ?? requestAttempt,
      "content-type": "application/json",
      "content-length": String(text.length),
    });
    response.end(text);
    this.#lastAttempt = requestAttempt;
  }

  #sendTruncated(exchange: Exchange): void {
    const { request, response } = exchange;
    response.writeHead(200, {
      [this.#options.dialect.attemptField]: String(
        request.headers[this.#options.dialect.attemptField] ?? "none",
      ),
      "content-length": "1000",
    });
    response.write("truncated");
    setImmediate(() => response.destroy());
  }

  #sendShed(
    request: http.IncomingMessage,
    response: http.ServerResponse,
  ): void {
    response.writeHead(503, {
      ...this.#getReportHeaders(),
      [this.#options.dialect.attemptField]: String(
        request.headers[this.#options.dialect.attemptField] ?? "none",
      ),
      [this.#options.dialect.notRunField]: this.#options.dialect.notRunValue ??
        "1",
      "content-length": "0",
    });
    response.end();
  }

  #getReportHeaders(): http.OutgoingHttpHeaders {
    const running = this.isReportingIdle ? 0 : this.#running;
    const waiting = this.isReportingIdle ? 0 : this.#waiting.length;
    const { dialect, formatLoad, slots } = this.#options;
    const { loadField, leavingFields, leavingValue, signatureField } = dialect;
    const [leavingField] = leavingFields;
    return {
      [loadField]: formatLoad({ running, waiting }, slots),
      ...(this.isDraining && leavingField && { [leavingField]: leavingValue }),
      ...(signatureField && { [signatureField]: this.#options.name }),
    };
  }

  async #setMode(
    request: http.IncomingMessage,
    response: http.ServerResponse,
  ): Promise<void> {
    const changes = JSON.parse(await readText(request)) as {
      mode?: ServerMode;
      draining?: boolean;
      lying?: boolean;
    };
    this.mode = changes.mode ?? this.mode;
    this.isDraining = changes.draining ?? this.isDraining;
    this.isReportingIdle = changes.lying ?? this.isReportingIdle;
    response.end("{}\n");
  }

  #isMisdirected(request: http.IncomingMessage): boolean {
    const { dialect, name } = this.#options;
    if (dialect.serverField === undefined) return false;
    const expected = request.headers[dialect.serverField];
    return expected !== undefined && expected !== name;
  }

  #isShedding(): boolean {
    return this.mode === ServerMode.Shed &&
      this.#running >= this.#options.slots;
  }

  #isNextFailing(): boolean {
    this.#failureCredit += this.#options.errorShare;
    if (this.#failureCredit < 1) return false;
    this.#failureCredit -= 1;
    return true;
  }

  #getWorkMs(): number {
    const isCold = performance.now() - this.#startedAt < COLD_PERIOD_MS;
    const base = this.#options.workMs + (isCold ? this.#options.coldWorkMs : 0);
    return this.mode === ServerMode.Slow
      ? base * this.#options.slowFactor
      : base;
  }

  async #acquireSlot(): Promise<void> {
    if (this.#running >= this.#options.slots) {
      await new Promise<void>((resolve) => this.#waiting.push(resolve));
      return;
    }
    this.#running += 1;
  }

  #releaseSlot(): void {
    const next = this.#waiting.shift();
    if (next === undefined) this.#running -= 1;
    else next();
  }
}

interface Exchange {
  readonly request: http.IncomingMessage;
  readonly response: http.ServerResponse;
  readonly body: string;
  readonly arrivedAt: number;
}

/** Starts a backend server on the loopback address. */
export async function startServerStandin(
  options: ServerStandinOptions,
): Promise<ServerStandin> {
  const server = new ServerStandin(options);
  await server.start();
  return server;
}

async function readText(request: http.IncomingMessage): Promise<string> {
  const chunks: Buffer[] = [];
  for await (const chunk of request) chunks.push(chunk as Buffer);
  return Buffer.concat(chunks).toString("utf8");
}

function waitForClose(socket: Socket): Promise<void> {
  if (socket.destroyed) return Promise.resolve();
  return new Promise((resolve) => void socket.once("close", () => resolve()));
}

function sleepMs(ms: number): Promise<void> {
  if (ms <= 0) return Promise.resolve();
  return new Promise((resolve) => void setTimeout(resolve, ms));
}
