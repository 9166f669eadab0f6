/** Backend servers as forwarding sees them, apart from any encoding. */
import type {
  AnswerHead,
  AttemptOutcome,
  Failure,
  HeaderField,
  Server,
  TeamId,
} from "../../model/mod.ts";

/** Load that a backend server reports with an answer. */
export interface LoadReport {
  /** Requests that run. */
  readonly running: number;
  /** Requests that wait for a slot. */
  readonly waiting: number;
}

/** One try at one backend server. */
export interface Attempt {
  /** Unique; the server echoes it. */
  readonly id: string;
  readonly server: Server;
  /** Team whose request it is; undefined on routes that are open to all. */
  readonly team: TeamId | undefined;
  readonly method: string;
  /** Path and query. */
  readonly target: string;
  readonly headers: readonly HeaderField[];
  /** Announced length of the body in bytes; undefined if it is not known. */
  readonly bodyLength: number | undefined;
  /** Undefined when the request has no body. */
  readonly body: AsyncIterable<Uint8Array> | undefined;
  /** Time left for the whole answer, in milliseconds. */
  readonly remainingMs: number;
  /** Whether a connection that was used before may carry it. */
  readonly mayReuseConnection: boolean;
  /**
   * Whether it may still be sent; asked when its connection is open. If not, it
   * ends as not run.
   */
  readonly isAllowed: () => boolean;
  /** Cancels the attempt. */
  readonly signal: AbortSignal;
}

/** The head of an answer and the means to read the rest. */
export interface UpstreamAnswer extends AnswerHead {
  /** Attempt id that the server echoed; undefined if it echoed none. */
  readonly attempt: string | undefined;
  /** Whether the server marks the request as not run. */
  readonly isNotRun: boolean;
  /** Whether another server than the one that was named answered. */
  readonly isMisdirected?: boolean;
  /** Whether the answer lacks the proof that whole answers must bear. */
  readonly isUnproven?: boolean;
  /** Whether the server says that it drains. */
  readonly isDraining: boolean;
  /** Undefined when the server reported none. */
  readonly load: LoadReport | undefined;
  /** Whether an answer of this kind has a body at all. */
  readonly hasBody: boolean;
  /** Reads the body once; throws {@linkcode BodyError} when it breaks off. */
  readBody(): AsyncIterable<Uint8Array>;
  /** Gives the answer up and destroys its connection. */
  cancel(): void;
}

/** Thrown while a body is read; `failure` says where and why. */
export class BodyError extends Error {
  readonly failure: Failure;

  /** Creates an error for a failure of the step `body`. */
  constructor(failure: Failure) {
    super(`${failure.peer}: ${failure.kind} at ${failure.step}`);
    this.name = "BodyError";
    this.failure = failure;
  }
}

/** Sends attempts; never throws. */
export interface UpstreamClient {
  /** Sends one attempt and resolves when the head of an answer is there. */
  send(attempt: Attempt): Promise<AttemptOutcome<UpstreamAnswer>>;
  /** Whether a server accepts a connection, by opening one. */
  probe(server: Server): Promise<boolean>;
  /** Closes connections that no attempt uses. */
  close(): void;
}
