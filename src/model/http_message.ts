/** Requests and responses, independent of their encoding. */

/** One header field; its name keeps the sender's capitalization. */
export interface HeaderField {
  readonly name: string;
  readonly value: string;
}

/** Request line and header fields of a caller's request. */
export interface RequestHead {
  readonly method: string;
  /** Path and query as sent. */
  readonly target: string;
  readonly headers: readonly HeaderField[];
  /** Monotonic time at which the head was read, in milliseconds. */
  readonly receivedAt: number;
  /** Requested host, in lower case and without a port. */
  readonly host?: string | undefined;
  /** Attempt id chosen by the caller; undefined if it chose none. */
  readonly attempt?: string | undefined;
  /** Time that the caller will wait, in ms; undefined if not specified. */
  readonly remainingMs?: number | undefined;
}

/** Status and header fields of a backend server's response. */
export interface ResponseHead {
  /** HTTP status code. */
  readonly status: number;
  readonly headers: readonly HeaderField[];
}
