/** Sends attempts to backend servers over HTTP/1.1, with Node's client. */
import http from "node:http";
import net from "node:net";
import type { Socket } from "node:net";
import { CONNECT_TIMEOUT_MS } from "../../constants.ts";
import { FailureKind, OutcomeKind, Step } from "../../model/mod.ts";
import type {
  AttemptOutcome,
  HeaderField,
  Server,
  ServerId,
} from "../../model/mod.ts";
import type {
  Attempt,
  UpstreamClient,
  UpstreamResponse,
} from "../../services/forwarding/upstream.ts";
import type { HttpDialect } from "./dialect.ts";
import { encodeHeaders } from "./header_fields.ts";
import { countConnections, createServerAgents } from "./server_agents.ts";
import type { ServerAgents } from "./server_agents.ts";
import {
  createResponse,
  hasBody,
  releaseConnection,
} from "./upstream_response.ts";

/** Methods whose requests have a `Content-Length` even without a body. */
const BODY_METHODS = new Set(["POST", "PUT", "PATCH"]);
const STATUS_MIN = 200;
const STATUS_MAX = 599;

/**
 * Maximum number of informational responses (1xx) before the final response.
 * Servers send one or two; without a limit, a faulty server could send them
 * until the deadline.
 */
const INFORMATIONAL_RESPONSE_LIMIT = 16;

/** Creates a client of backend servers that use `dialect`. */
export function createHttpUpstreamClient(dialect: HttpDialect): UpstreamClient {
  const agents = new Map<ServerId, ServerAgents>();
  return {
    send: (attempt) =>
      sendAttempt(dialect, attempt, getAgents(agents, attempt)),
    probe: probeServer,
    countConnections: () => countConnections([...agents.values()]),
    close: () => {
      for (const { persistent, singleUse } of agents.values()) {
        persistent.destroy();
        singleUse.destroy();
      }
    },
  };
}

function probeServer(server: Server): Promise<boolean> {
  return new Promise((resolve) => {
    const socket = net.connect(server.port, server.host);
    socket.setTimeout(CONNECT_TIMEOUT_MS);
    socket.once("connect", () => complete(true));
    socket.once("error", () => complete(false));
    socket.once("timeout", () => complete(false));
    function complete(isOpen: boolean): void {
      socket.destroy();
      resolve(isOpen);
    }
  });
}

function getAgents(
  agents: Map<ServerId, ServerAgents>,
  attempt: Attempt,
): ServerAgents {
  const existing = agents.get(attempt.server.id);
  if (existing !== undefined) return existing;
  const created = createServerAgents();
  agents.set(attempt.server.id, created);
  return created;
}

function sendAttempt(
  dialect: HttpDialect,
  attempt: Attempt,
  agents: ServerAgents,
): Promise<AttemptOutcome<UpstreamResponse>> {
  const request = http.request({
    host: attempt.server.host,
    port: attempt.server.port,
    method: attempt.method,
    path: attempt.target,
    headers: encodeHeaders(createHeaders(dialect, attempt)),
    agent: attempt.mayReuseConnection ? agents.persistent : agents.singleUse,
    setHost: false,
  });
  return new Promise((resolve) => {
    const pending = new PendingAttempt(dialect, attempt, request, resolve);
    pending.start();
  });
}

/** An attempt until its response head arrives or the attempt fails. */
class PendingAttempt {
  readonly #dialect: HttpDialect;
  readonly #attempt: Attempt;
  readonly #request: http.ClientRequest;
  readonly #resolve: (outcome: AttemptOutcome<UpstreamResponse>) => void;
  #step = Step.Connect;
  #failure: FailureKind | undefined;
  /** Number of informational responses (1xx) so far. */
  #informationCount = 0;
  #connectTimer: NodeJS.Timeout | undefined;
  #setConnected: () => void = () => {};
  readonly #connected = new Promise<void>((resolve) => {
    this.#setConnected = resolve;
  });

  constructor(
    dialect: HttpDialect,
    attempt: Attempt,
    request: http.ClientRequest,
    resolve: (outcome: AttemptOutcome<UpstreamResponse>) => void,
  ) {
    this.#dialect = dialect;
    this.#attempt = attempt;
    this.#request = request;
    this.#resolve = resolve;
  }

  start(): void {
    const { signal, waitSignal } = this.#attempt;
    const cancel = (): void => this.#cancel(FailureKind.Cancelled);
    const cancelUnsent = (): void => {
      if (this.#step === Step.Connect) cancel();
    };
    if (signal.aborted || waitSignal.aborted) cancel();
    signal.addEventListener("abort", cancel, { once: true });
    waitSignal.addEventListener("abort", cancelUnsent, { once: true });
    this.#request.once("close", () => {
      signal.removeEventListener("abort", cancel);
      waitSignal.removeEventListener("abort", cancelUnsent);
      clearTimeout(this.#connectTimer);
      this.#setFailed(this.#getLossKind());
    });
    this.#request.once("socket", (socket) => this.#waitForConnect(socket));
    this.#request.on(
      "error",
      (error) => this.#setFailed(resolveFailure(error, this.#getLossKind())),
    );
    this.#request.on("information", () => {
      this.#informationCount += 1;
      if (this.#informationCount <= INFORMATIONAL_RESPONSE_LIMIT) return;
      this.#cancel(FailureKind.InvalidResponse);
    });
    // A response with status 101, although no request asks for an upgrade.
    this.#request.once("upgrade", (_response, socket) => {
      socket.destroy();
      this.#cancel(FailureKind.InvalidResponse);
    });
    this.#request.once("response", (response) => this.#setResponse(response));
    void this.#writeRequest();
  }

  #waitForConnect(socket: Socket): void {
    if (!socket.connecting) return this.#setConnected();
    this.#connectTimer = setTimeout(
      () => this.#cancel(FailureKind.TimedOut),
      CONNECT_TIMEOUT_MS,
    );
    socket.once("connect", () => {
      clearTimeout(this.#connectTimer);
      socket.setNoDelay(true);
      this.#setConnected();
    });
  }

  /**
   * Writes the request once the connection is open. Nothing is sent before, not
   * even the head, since the attempt may no longer be allowed by then.
   */
  async #writeRequest(): Promise<void> {
    const { body, isAllowed } = this.#attempt;
    await this.#connected;
    if (this.#request.destroyed) return;
    if (!isAllowed()) return this.#cancel(FailureKind.NoServer);
    this.#step = Step.Write;
    if (body === undefined) {
      this.#request.end(() => this.#setWritten());
      return;
    }
    try {
      for await (const chunk of body) {
        if (this.#request.destroyed) return;
        if (!this.#request.write(chunk)) await this.#waitForDrain();
      }
      this.#request.end(() => this.#setWritten());
    } catch {
      this.#cancel(FailureKind.Cancelled);
    }
  }

  #waitForDrain(): Promise<void> {
    return new Promise((resolve) => {
      this.#request.once("drain", resolve);
      this.#request.once("close", resolve);
    });
  }

  #setWritten(): void {
    if (this.#step === Step.Write) this.#step = Step.FirstByte;
  }

  #cancel(kind: FailureKind): void {
    this.#failure ??= kind;
    this.#request.destroy();
    this.#setFailed(kind);
  }

  /** Returns how the attempt failed if its connection was lost. */
  #getLossKind(): FailureKind {
    return this.#informationCount === 0
      ? FailureKind.ConnectionLost
      : FailureKind.InvalidResponse;
  }

  #setFailed(kind: FailureKind): void {
    const failure = {
      kind: this.#failure ?? kind,
      step: this.#step,
      peer: this.#attempt.server.id,
    };
    const isUnsent = this.#step === Step.Connect;
    this.#resolve({
      kind: isUnsent ? OutcomeKind.NotRun : OutcomeKind.MayHaveRun,
      failure,
    });
  }

  #setResponse(response: http.IncomingMessage): void {
    // Node's parser accepts any three digits.
    const status = response.statusCode ?? 0;
    if (status < STATUS_MIN || status > STATUS_MAX) {
      return this.#cancel(FailureKind.InvalidResponse);
    }
    if (!hasBody(this.#attempt.method, status)) {
      releaseConnection(this.#request, response);
    }
    this.#resolve({
      kind: OutcomeKind.Responded,
      server: this.#attempt.server.id,
      response: createResponse(
        this.#dialect,
        this.#attempt,
        this.#request,
        response,
      ),
    });
  }
}

function createHeaders(
  dialect: HttpDialect,
  attempt: Attempt,
): HeaderField[] {
  const fields: HeaderField[] = [
    ...attempt.headers.filter((field) =>
      field.name.toLowerCase() !== "content-length"
    ),
    { name: dialect.attemptField, value: attempt.id },
    {
      name: dialect.deadlineField,
      value: String(Math.max(0, Math.floor(attempt.remainingMs))),
    },
  ];
  if (dialect.serverField !== undefined) {
    fields.push({ name: dialect.serverField, value: attempt.server.id });
  }
  if (dialect.teamField !== undefined && attempt.team !== undefined) {
    fields.push({ name: dialect.teamField, value: attempt.team });
  }
  if (attempt.body === undefined) {
    if (BODY_METHODS.has(attempt.method)) {
      fields.push({ name: "content-length", value: "0" });
    }
    return fields;
  }
  if (attempt.bodyLength === undefined) {
    fields.push({ name: "transfer-encoding", value: "chunked" });
  } else {
    fields.push({ name: "content-length", value: String(attempt.bodyLength) });
  }
  return fields;
}

function resolveFailure(
  error: NodeJS.ErrnoException,
  lossKind: FailureKind,
): FailureKind {
  if (error.code === "ECONNREFUSED") return FailureKind.ConnectionRefused;
  if (error.code?.startsWith("HPE_")) return FailureKind.InvalidResponse;
  return lossKind;
}
