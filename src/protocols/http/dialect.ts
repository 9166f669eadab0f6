/** Names and formats of the header fields that a deployment uses. */
import type { LoadReport } from "../../services/forwarding/upstream.ts";

/**
 * Header fields between callers, this daemon and backend servers. The names of
 * the fields are in lower case.
 */
export interface HttpDialect {
  /** Attempt id, which the server echoes in its response. */
  readonly attemptField: string;
  /** Time until the complete response must have arrived, in milliseconds. */
  readonly deadlineField: string;
  /** Marks a response of a server that did not run the request. */
  readonly notRunField: string;
  /** Required value of {@linkcode notRunField}; undefined accepts any value. */
  readonly notRunValue: string | undefined;
  /** Load report of the server that sends the response. */
  readonly loadField: string;
  /** Fields of which one marks a leaving server. */
  readonly leavingFields: readonly string[];
  /** Value of {@linkcode leavingFields} that marks a leaving server. */
  readonly leavingValue: string;
  /** Team that sent the request; undefined if servers do not receive it. */
  readonly teamField: string | undefined;
  /** Id of the only server that may run the request; undefined if not sent. */
  readonly serverField: string | undefined;
  /** Signature in each complete response; undefined if servers send none. */
  readonly signatureField: string | undefined;
  /** Whether callers may send an attempt id and a deadline. */
  readonly hasCallerFields: boolean;
  /** Response fields that are not forwarded to callers. */
  readonly hiddenFields: ReadonlySet<string>;
  /** Number of decimal places of the seconds in `Retry-After`. */
  readonly retryAfterDigits: number;
  /** HTTP status for a request that was not run before its deadline. */
  readonly expiredNotRunStatus: number;
  /** Parses a load report; undefined if the text is not a valid one. */
  parseLoad(text: string): LoadReport | undefined;
}

const ATTEMPT_FIELD = "rhubarbwall-attempt";
const DEADLINE_FIELD = "rhubarbwall-deadline-ms";
const NOT_RUN_FIELD = "rhubarbwall-not-run";
const LOAD_FIELD = "rhubarbwall-load";
const DRAINING_FIELD = "rhubarbwall-draining";

/** Default header fields, used with the `log` backing. */
export const DEFAULT_DIALECT: HttpDialect = {
  attemptField: ATTEMPT_FIELD,
  deadlineField: DEADLINE_FIELD,
  notRunField: NOT_RUN_FIELD,
  notRunValue: "true",
  loadField: LOAD_FIELD,
  leavingFields: [DRAINING_FIELD],
  leavingValue: "true",
  teamField: undefined,
  serverField: undefined,
  signatureField: undefined,
  hasCallerFields: false,
  hiddenFields: new Set([
    ATTEMPT_FIELD,
    DEADLINE_FIELD,
    NOT_RUN_FIELD,
    LOAD_FIELD,
    DRAINING_FIELD,
  ]),
  retryAfterDigits: 0,
  expiredNotRunStatus: 504,
  parseLoad: (text) => {
    const match = /^running=(\d{1,6}), waiting=(\d{1,6})$/.exec(text);
    if (match === null) return undefined;
    return { running: Number(match[1]), waiting: Number(match[2]) };
  },
};
