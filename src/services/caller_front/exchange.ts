/** Connections and requests of callers, independent of their encoding. */
import type { Refusal, RequestHead, ResponseHead } from "../../model/mod.ts";

/** Body of a request; can be read only once. */
export interface IncomingBody {
  /** Declared length in bytes; undefined if none was declared. */
  readonly length: number | undefined;
  /** Reads the body; throws if the caller disconnects. */
  read(): AsyncIterable<Uint8Array>;
}

/** A response whose body is completely in memory. */
export interface BufferedResponse extends ResponseHead {
  /** Undefined if the response can't have a body, as for a `HEAD` request. */
  readonly body: Uint8Array | undefined;
}

/** A response whose body is still being received. */
export interface StreamedResponse extends ResponseHead {
  /** Throws if the body breaks off. */
  readonly body: AsyncIterable<Uint8Array>;
}

/** A caller's request, to which exactly one response must be sent. */
export interface CallerExchange {
  /** Host of the caller, without the port. */
  readonly peer: string;
  /** Identifies the caller's connection among the open ones. */
  readonly connection: string;
  readonly head: RequestHead;
  readonly body: IncomingBody;
  /** Aborts when the caller disconnects. */
  readonly signal: AbortSignal;
  /** Whether part of a response may have been sent. */
  readonly isResponseStarted: boolean;
  /**
   * Tries to pass the request on; called before anything is done about it.
   *
   * Returns false if the connection closes after the response to an earlier
   * request, or may do so: the caller then takes this one as not read.
   */
  tryPassOn(): boolean;
  /** Sends a response whose body is in memory. */
  sendBuffered(response: BufferedResponse): Promise<void>;
  /**
   * Sends a response while it is received, no faster than the caller reads.
   *
   * Aborts the caller's connection if the body throws, so that a truncated body
   * never looks complete.
   */
  sendStreamed(response: StreamedResponse): Promise<void>;
  /** Sends a refusal. */
  sendRefusal(refusal: Refusal): Promise<void>;
  /** Sends a value of the daemon itself, in the front end's usual encoding. */
  sendValue(value: unknown): Promise<void>;
}

/** A caller's connection. */
export interface CallerConnection {
  /** The caller's address, for logs. */
  readonly peer: string;
  /** Yields requests in order until the connection is closed. */
  listExchanges(): AsyncIterable<CallerExchange>;
}

/** Accepts connections of callers. */
export interface CallerServer {
  /** Opens the listener; rejects if the address is in use. */
  open(): Promise<void>;
  /** Port on which it listens. */
  readonly port: number;
  /** Yields connections until the listener is closed. */
  listConnections(): AsyncIterable<CallerConnection>;
  /** Sets the time after which an idle connection is closed, in ms. */
  setIdleTimeout(ms: number): void;
  /**
   * Closes each connection after the responses to the requests that were passed
   * on, or after the next response if there are none.
   */
  closeAfterResponses(): void;
  /** Accepts no more connections; resolves when the last one is closed. */
  close(): Promise<void>;
}
