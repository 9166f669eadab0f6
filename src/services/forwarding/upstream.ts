/** Interface to backend servers, independent of any encoding. */
import type {
  AttemptOutcome,
  Failure,
  HeaderField,
  ResponseHead,
  Server,
  TeamId,
} from "../../model/mod.ts";

/** Load that a backend server reports with a response. */
export interface LoadReport {
  /** Number of running requests. */
  readonly running: number;
  /** Number of requests waiting for a slot. */
  readonly waiting: number;
}

/** One attempt to run a request at one backend server. */
export interface Attempt {
  /** Unique id; the server echoes it in its response. */
  readonly id: string;
  readonly server: Server;
  /** Team that sent the request; undefined on routes that are open to all. */
  readonly team: TeamId | undefined;
  readonly method: string;
  /** Path and query. */
  readonly target: string;
  readonly headers: readonly HeaderField[];
  /** Announced length of the body in bytes; undefined if unknown. */
  readonly bodyLength: number | undefined;
  /** Undefined if the request has no body. */
  readonly body: AsyncIterable<Uint8Array> | undefined;
  /** Time until the complete response must have arrived, in milliseconds. */
  readonly remainingMs: number;
  /** Whether it may be sent on a connection that was used before. */
  readonly mayReuseConnection: boolean;
  /**
   * Whether it may still be sent; checked once its connection is open. If not,
   * it ends as not run.
   */
  readonly isAllowed: () => boolean;
  /** Cancels the attempt. */
  readonly signal: AbortSignal;
  /** Cancels the attempt while it waits for its connection. */
  readonly waitSignal: AbortSignal;
}

/** Head of a response, with methods to read or cancel the rest. */
export interface UpstreamResponse extends ResponseHead {
  /** Attempt id that the server echoed; undefined if it echoed none. */
  readonly attempt: string | undefined;
  /** Whether the server reports that it did not run the request. */
  readonly isNotRun: boolean;
  /** Whether the response came from another server than the intended one. */
  readonly isMisdirected?: boolean;
  /** Whether the signature or attempt id of a complete response is missing. */
  readonly isUnverified?: boolean;
  /** Whether the server reports that it is leaving. */
  readonly isLeaving: boolean;
  /** Time for which the server wants no requests, if it says so, in ms. */
  readonly pauseMs: number | undefined;
  /** Undefined if the server reported none. */
  readonly load: LoadReport | undefined;
  /** Whether a response with this status and method can have a body. */
  readonly hasBody: boolean;
  /** Reads the body once; throws a {@linkcode BodyError} if it breaks off. */
  readBody(): AsyncIterable<Uint8Array>;
  /** Abandons the response and destroys its connection. */
  cancel(): void;
}

/** Thrown while a body is read; `failure` has the reason and the server. */
export class BodyError extends Error {
  readonly failure: Failure;

  /** Creates an error for a failure at the step `body`. */
  constructor(failure: Failure) {
    super(`${failure.peer}: ${failure.kind} at ${failure.step}`);
    this.name = "BodyError";
    this.failure = failure;
  }
}

/** Numbers of connections to servers, for metrics. */
export interface ConnectionCounts {
  readonly inUse: number;
  /** Requests that wait for a connection. */
  readonly waiting: number;
  readonly idle: number;
}

/** Sends attempts; never throws. */
export interface UpstreamClient {
  /** Sends one attempt; resolves once the response head has arrived. */
  send(attempt: Attempt): Promise<AttemptOutcome<UpstreamResponse>>;
  /** Opens a connection and resolves to whether the server accepted it. */
  probe(server: Server): Promise<boolean>;
  /** Counts the connections to all servers. */
  countConnections(): ConnectionCounts;
  /** Closes idle connections. */
  close(): void;
}
