/** Requests and answers, apart from how they are encoded. */

/** One header field; its name keeps the sender's capitals. */
export interface HeaderField {
  readonly name: string;
  readonly value: string;
}

/** What a caller asks for. */
export interface RequestHead {
  readonly method: string;
  /** Path and query as sent. */
  readonly target: string;
  readonly headers: readonly HeaderField[];
}

/** What a backend server answers. */
export interface AnswerHead {
  /** HTTP status code. */
  readonly status: number;
  readonly headers: readonly HeaderField[];
}
