/** Client of the platform's log, over HTTP and JSON. */
import http from "node:http";
import * as z from "zod";
import { LOG_IDLE_LIMIT_MS, LOG_TIMEOUT_MS } from "../../constants.ts";
import type { ConfigurationRecord } from "../../model/mod.ts";
import { runWithTimeout, TIMED_OUT } from "../../services/clock/mod.ts";
import type { Clock } from "../../services/clock/mod.ts";
import { AppendKind, ReadKind } from "../../services/log_client/mod.ts";
import type {
  AppendResult,
  LogClient,
  ReadRequest,
  ReadResult,
} from "../../services/log_client/mod.ts";
import { fetchJson, JsonRequestError } from "../http/json_client.ts";
import { decodeEntry, encodeRecord } from "./record_codec.ts";

const HTTP_OK = 200;
const HTTP_GONE = 410;

const appendResponseSchema = z.object({ offset: z.int().min(1) });
const trimmedResponseSchema = z.object({ first: z.int(), head: z.int() });
const entriesResponseSchema = z.object({
  first: z.int(),
  head: z.int(),
  entries: z.array(z.object({ offset: z.int().min(1), body: z.string() })),
});

/** Options of {@linkcode createHttpLogClient}. */
export interface HttpLogClientOptions {
  /** Base URL of the log service. */
  url: URL;
  /** Clock for the timeouts. */
  clock: Clock;
}

/** Creates a client of the platform's log. */
export function createHttpLogClient(options: HttpLogClientOptions): LogClient {
  const agent = new http.Agent({
    keepAlive: true,
    timeout: LOG_IDLE_LIMIT_MS,
  });
  return {
    append: (record) => appendRecord(options, agent, record),
    read: (request, signal) => readEntries(options, agent, { request, signal }),
  };
}

async function appendRecord(
  options: HttpLogClientOptions,
  agent: http.Agent,
  record: ConfigurationRecord,
): Promise<AppendResult> {
  const url = new URL("/append", options.url);
  const body = { body: encodeRecord(record) };
  try {
    const response = await runWithTimeout(
      options.clock,
      LOG_TIMEOUT_MS,
      (signal) => fetchJson(url, { method: "POST", body, agent, signal }),
    );
    if (response === TIMED_OUT) {
      return {
        kind: AppendKind.Unknown,
        reason: "the log did not respond in time",
      };
    }
    if (response.status !== HTTP_OK) {
      return { kind: AppendKind.Refused, reason: `status ${response.status}` };
    }
    const { offset } = appendResponseSchema.parse(response.value);
    return { kind: AppendKind.Acknowledged, offset };
  } catch (error) {
    const reason = (error as Error).message;
    if (error instanceof JsonRequestError && !error.wasSent) {
      return { kind: AppendKind.Refused, reason };
    }
    return { kind: AppendKind.Unknown, reason };
  }
}

interface ReadCall {
  readonly request: ReadRequest;
  readonly signal: AbortSignal | undefined;
}

async function readEntries(
  options: HttpLogClientOptions,
  agent: http.Agent,
  call: ReadCall,
): Promise<ReadResult> {
  const { request } = call;
  const url = new URL("/entries", options.url);
  url.searchParams.set("from", String(request.from));
  url.searchParams.set("limit", String(request.limit));
  url.searchParams.set("waitMs", String(request.waitMs));
  try {
    const response = await runWithTimeout(
      options.clock,
      request.waitMs + LOG_TIMEOUT_MS,
      (timeoutSignal) => {
        const signal = call.signal
          ? AbortSignal.any([timeoutSignal, call.signal])
          : timeoutSignal;
        return fetchJson(url, { method: "GET", agent, signal });
      },
    );
    if (response === TIMED_OUT) {
      return {
        kind: ReadKind.Failed,
        reason: "the log did not respond in time",
      };
    }
    return decodeReadResponse(response.status, response.value);
  } catch (error) {
    return { kind: ReadKind.Failed, reason: (error as Error).message };
  }
}

function decodeReadResponse(status: number, value: unknown): ReadResult {
  if (status === HTTP_GONE) {
    return { kind: ReadKind.Trimmed, ...trimmedResponseSchema.parse(value) };
  }
  if (status !== HTTP_OK) {
    return { kind: ReadKind.Failed, reason: `status ${status}` };
  }
  const { first, head, entries } = entriesResponseSchema.parse(value);
  return {
    kind: ReadKind.Entries,
    first,
    head,
    entries: entries.map((entry) => decodeEntry(entry.offset, entry.body)),
  };
}
