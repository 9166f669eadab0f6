/** Stand-in for the platform's store: keyed topics over HTTP, with faults. */
import http from "node:http";
import type { AddressInfo } from "node:net";
import { closeServer } from "./json_server.ts";

/** Behavior of the store; all modes except `Up` simulate faults. */
export enum StoreMode {
  Up = "up",
  /** Calls get no response and have no effect. */
  Unresponsive = "silent",
  /** Calls are rejected with status 503. */
  Busy = "busy",
  /** Connections are reset. */
  Reset = "reset",
  /** Appends take effect, but their responses are lost. */
  LoseResponses = "losing_answers",
}

/** Size of the length field that precedes each record. */
const LENGTH_BYTES = 4;
const STATUS_OK = 200;
const STATUS_GONE = 410;
const STATUS_BUSY = 503;
const STATUS_NOT_FOUND = 404;

/** A record with the time at which it was appended, in monotonic ms. */
interface StoredRecord {
  readonly bytes: Buffer;
  readonly at: number;
}

interface Topic {
  /** Records by offset; those before `first` are no longer available. */
  readonly records: StoredRecord[];
  /** Offset of the oldest available record. */
  first: number;
  /** Newest value of each key, with its offset. */
  readonly newest: Map<string, { value: Buffer; offset: number }>;
  /** Callbacks of reads that wait for the next record. */
  readonly waiting: Set<() => void>;
}

/** A running store. */
export interface StoreStandin {
  /** TCP port on the loopback address. */
  readonly port: number;
  mode: StoreMode;
  /** Duration of each call, in milliseconds. */
  latencyMs: number;
  /** Number of restores from a copy; in all answers unless it is 0. */
  readonly era: number;
  /** Number of calls so far, including rejected ones. */
  readonly calls: number;
  /** Writes a value of a key, like the operator or a server does. */
  put(topic: string, key: string, value: unknown): void;
  /** Removes a key. */
  remove(topic: string, key: string): void;
  /** Removes the history of all topics; the newest values are retained. */
  removeHistory(): void;
  /** Starts a new era, of which only answers to later calls tell. */
  startEra(): void;
  /** Goes back to a copy that is `ageMs` old, and starts a new era. */
  restoreCopy(ageMs: number): void;
  /** Closes the listener and all connections. */
  close(): Promise<void>;
}

/** Starts a store on the loopback address; port 0 selects a free one. */
export async function startStoreStandin(port = 0): Promise<StoreStandin> {
  const topics = new Map<string, Topic>();
  let calls = 0;
  let era = 0;
  const server = http.createServer((request, response) => {
    calls += 1;
    void serveCall(standin, topics, request, response);
  });
  await new Promise<void>((resolve, reject) => {
    server.once("error", reject);
    server.listen(port, "127.0.0.1", resolve);
  });
  const standin: StoreStandin = {
    port: (server.address() as AddressInfo).port,
    mode: StoreMode.Up,
    latencyMs: 0,
    get era() {
      return era;
    },
    get calls() {
      return calls;
    },
    put: (topic, key, value) => {
      const bytes = Buffer.from(
        typeof value === "string" ? value : JSON.stringify(value),
      );
      appendRecord(getTopic(topics, topic), key, bytes);
    },
    remove: (topic, key) =>
      appendRecord(getTopic(topics, topic), key, Buffer.alloc(0)),
    removeHistory: () => {
      for (const topic of topics.values()) topic.first = topic.records.length;
    },
    startEra: () => void (era += 1),
    restoreCopy: (ageMs) => {
      era += 1;
      const copiedAt = performance.now() - ageMs;
      for (const topic of topics.values()) restoreTopic(topic, copiedAt);
    },
    close: () => closeServer(server),
  };
  return standin;
}

function getTopic(topics: Map<string, Topic>, name: string): Topic {
  const existing = topics.get(name);
  if (existing !== undefined) return existing;
  const created: Topic = {
    records: [],
    first: 0,
    newest: new Map(),
    waiting: new Set(),
  };
  topics.set(name, created);
  return created;
}

function appendRecord(topic: Topic, key: string, value: Buffer): void {
  const keyBytes = Buffer.from(key);
  const bytes = Buffer.concat(
    [Buffer.from([keyBytes.length]), keyBytes, value],
  );
  topic.records.push({ bytes, at: performance.now() });
  setNewest(topic, bytes, topic.records.length - 1);
  releaseReaders(topic);
}

function setNewest(topic: Topic, bytes: Buffer, offset: number): void {
  const keyEnd = 1 + (bytes[0] ?? 0);
  const key = bytes.subarray(1, keyEnd).toString("utf8");
  const value = bytes.subarray(keyEnd);
  if (value.length > 0) topic.newest.set(key, { value, offset });
  else topic.newest.delete(key);
}

function releaseReaders(topic: Topic): void {
  for (const wake of topic.waiting) wake();
  topic.waiting.clear();
}

/** Removes the records that were appended after `copiedAt`. */
function restoreTopic(topic: Topic, copiedAt: number): void {
  const kept = topic.records.filter(({ at }) => at <= copiedAt);
  topic.records.length = kept.length;
  topic.first = Math.min(topic.first, kept.length);
  topic.newest.clear();
  for (const [offset, { bytes }] of kept.entries()) {
    setNewest(topic, bytes, offset);
  }
  releaseReaders(topic);
}

async function serveCall(
  standin: StoreStandin,
  topics: Map<string, Topic>,
  request: http.IncomingMessage,
  response: http.ServerResponse,
): Promise<void> {
  switch (standin.mode) {
    case StoreMode.Unresponsive:
      return;
    case StoreMode.Busy:
      startAnswer(standin, response, STATUS_BUSY).end();
      return;
    case StoreMode.Reset:
      request.socket.resetAndDestroy();
      return;
    case StoreMode.Up:
    case StoreMode.LoseResponses:
      break;
  }
  const chunks: Buffer[] = [];
  for await (const chunk of request) chunks.push(chunk as Buffer);
  if (standin.latencyMs > 0) await sleep(standin.latencyMs);
  const url = new URL(request.url ?? "/", "http://127.0.0.1");
  const topic = getTopic(topics, url.searchParams.get("Topic") ?? "");
  switch (url.pathname) {
    case "/log-append":
      return serveAppend(standin, topic, Buffer.concat(chunks), response);
    case "/log-read":
      return await serveRead(standin, topic, url.searchParams, response);
    case "/log-newest":
      return serveNewest(standin, topic, response);
    default:
      startAnswer(standin, response, STATUS_NOT_FOUND).end();
  }
}

function serveAppend(
  standin: StoreStandin,
  topic: Topic,
  body: Buffer,
  response: http.ServerResponse,
): void {
  const first = topic.records.length;
  for (let at = 0; at < body.length;) {
    const start = at + LENGTH_BYTES;
    const end = start + body.readUInt32BE(at);
    const record = body.subarray(start, end);
    const keyEnd = 1 + (record[0] ?? 0);
    const key = record.subarray(1, keyEnd).toString("utf8");
    appendRecord(topic, key, Buffer.from(record.subarray(keyEnd)));
    at = end;
  }
  if (standin.mode === StoreMode.LoseResponses) {
    response.destroy();
    return;
  }
  sendJson(standin, response, { Offset: first, End: topic.records.length });
}

async function serveRead(
  standin: StoreStandin,
  topic: Topic,
  query: URLSearchParams,
  response: http.ServerResponse,
): Promise<void> {
  const from = Number(query.get("From"));
  const waitMs = Number(query.get("WaitMs") ?? 0);
  if (from === topic.records.length && waitMs > 0) {
    await waitForRecord(topic, waitMs);
  }
  if (from < topic.first || from > topic.records.length) {
    startAnswer(standin, response, STATUS_GONE);
    response.end(JSON.stringify({ First: topic.first }));
    return;
  }
  const parts: Buffer[] = [];
  const header = Buffer.alloc(16);
  header.writeBigUInt64BE(BigInt(topic.records.length), 0);
  header.writeBigUInt64BE(BigInt(topic.first), 8);
  parts.push(header);
  for (const { bytes } of topic.records.slice(from)) {
    const length = Buffer.alloc(LENGTH_BYTES);
    length.writeUInt32BE(bytes.length, 0);
    parts.push(length, bytes);
  }
  startAnswer(standin, response, STATUS_OK).end(Buffer.concat(parts));
}

function waitForRecord(topic: Topic, waitMs: number): Promise<void> {
  return new Promise((resolve) => {
    const timer = setTimeout(stop, waitMs);
    topic.waiting.add(stop);
    function stop(): void {
      clearTimeout(timer);
      topic.waiting.delete(stop);
      resolve();
    }
  });
}

function serveNewest(
  standin: StoreStandin,
  topic: Topic,
  response: http.ServerResponse,
): void {
  const items = [...topic.newest].map(([key, { value, offset }]) => ({
    Key: key,
    Value: value.toString("base64"),
    Offset: offset,
  }));
  sendJson(standin, response, {
    items,
    HasMore: false,
    End: topic.records.length,
  });
}

function sendJson(
  standin: StoreStandin,
  response: http.ServerResponse,
  value: unknown,
): void {
  response.setHeader("content-type", "application/json");
  startAnswer(standin, response, STATUS_OK).end(JSON.stringify(value));
}

/** Starts an answer; all answers contain the era. */
function startAnswer(
  { era }: StoreStandin,
  response: http.ServerResponse,
  status: number,
): http.ServerResponse {
  if (era > 0) response.setHeader("Store-Era", String(era));
  return response.writeHead(status);
}

function sleep(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}
