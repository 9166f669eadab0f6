/** Stand-in for the platform's append-only log service. */
import { startJsonServer } from "./json_server.ts";
import type {
  StandinRequest,
  StandinResponse,
  StandinServer,
} from "./json_server.ts";

/** Behavior of the log; all modes except `Up` simulate faults. */
export enum LogMode {
  Up = "up",
  /** Every connection is closed without a response. */
  Down = "down",
  /** Every response is delayed by `delayMs`. */
  Slow = "slow",
  /** Appends take effect, but their responses are lost. */
  LoseResponses = "lose_answers",
}

/** An entry of the log. */
export interface StandinEntry {
  readonly offset: number;
  readonly body: string;
}

/** A log in memory, without a transport. */
export class MemoryLog {
  mode: LogMode = LogMode.Up;
  /** Delay of responses in the mode `Slow`, in milliseconds. */
  delayMs = 0;
  readonly #retention: number;
  #entries: StandinEntry[] = [];
  #head = 0;
  readonly #waiters = new Set<() => void>();

  /** Creates an empty log that retains the newest `retention` entries. */
  constructor(retention = Infinity) {
    this.#retention = retention;
  }

  /** Offset of the newest entry; 0 before the first append. */
  get head(): number {
    return this.#head;
  }

  /** Offset of the oldest retained entry; that of the next entry if empty. */
  get first(): number {
    return this.#entries[0]?.offset ?? this.#head + 1;
  }

  /** Appends an entry and returns its offset. */
  append(body: string): number {
    this.#head += 1;
    this.#entries.push({ offset: this.#head, body });
    if (this.#entries.length > this.#retention) this.#entries.shift();
    for (const waiter of [...this.#waiters]) waiter();
    return this.#head;
  }

  /** Lists up to `limit` entries, starting at the offset `from`. */
  list(from: number, limit: number): StandinEntry[] {
    const start = Math.max(0, from - this.first);
    return this.#entries.slice(start, start + limit);
  }

  /** Resolves once the log has an entry at the offset `from` or after it. */
  waitFor(from: number): Promise<void> {
    if (this.#head >= from) return Promise.resolve();
    return new Promise((resolve) => {
      const waiter = (): void => {
        this.#waiters.delete(waiter);
        resolve();
      };
      this.#waiters.add(waiter);
    });
  }
}

/** Options of {@linkcode startLogStandin}. */
export interface LogStandinOptions {
  /**
   * TCP port on the loopback address.
   * @default 0, which selects a free port
   */
  port?: number;
  /**
   * Number of the newest entries that the log retains.
   * @default Infinity
   */
  retention?: number;
}

/** Starts the log service; `POST /control` sets its mode. */
export async function startLogStandin(
  options: LogStandinOptions = {},
): Promise<StandinServer & { readonly log: MemoryLog }> {
  const log = new MemoryLog(options.retention);
  const server = await startJsonServer(
    options.port ?? 0,
    (request) => serveLogRequest(log, request),
  );
  return { ...server, log };
}

async function serveLogRequest(
  log: MemoryLog,
  request: StandinRequest,
): Promise<StandinResponse> {
  if (request.url.pathname === "/control") return updateMode(log, request);
  if (log.mode === LogMode.Down) return undefined;
  if (log.mode === LogMode.Slow) await sleepMs(log.delayMs);
  switch (request.url.pathname) {
    case "/append":
      return appendBody(log, request);
    case "/entries":
      return await readEntries(log, request);
    default:
      return { status: 404, value: { error: "unknown path" } };
  }
}

function updateMode(log: MemoryLog, request: StandinRequest): StandinResponse {
  const body = request.body as { mode?: LogMode; delayMs?: number };
  log.mode = body.mode ?? LogMode.Up;
  log.delayMs = body.delayMs ?? 0;
  return { status: 200, value: { mode: log.mode } };
}

function appendBody(log: MemoryLog, request: StandinRequest): StandinResponse {
  const { body } = request.body as { body?: unknown };
  if (typeof body !== "string") {
    return { status: 400, value: { error: "body must be a string" } };
  }
  const offset = log.append(body);
  if (log.mode === LogMode.LoseResponses) return undefined;
  return { status: 200, value: { offset } };
}

async function readEntries(
  log: MemoryLog,
  request: StandinRequest,
): Promise<StandinResponse> {
  const query = request.url.searchParams;
  const from = Number(query.get("from") ?? 1);
  const limit = Number(query.get("limit") ?? 100);
  const waitMs = Number(query.get("waitMs") ?? 0);
  if (from < log.first) {
    return { status: 410, value: { first: log.first, head: log.head } };
  }
  if (waitMs > 0) await Promise.race([log.waitFor(from), sleepMs(waitMs)]);
  if (log.mode === LogMode.Down) return undefined;
  return {
    status: 200,
    value: {
      first: log.first,
      head: log.head,
      entries: log.list(from, limit),
    },
  };
}

function sleepMs(ms: number): Promise<void> {
  return new Promise((resolve) => void setTimeout(resolve, ms));
}
