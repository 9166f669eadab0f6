/** How attempts and requests end, with the step and the peer involved. */
import type { ServerId } from "./ids.ts";

/** The step at which a request or an attempt failed. */
export enum Step {
  Parse = "parse",
  Route = "route",
  Key = "key",
  Freshness = "freshness",
  Limit = "limit",
  Queue = "queue",
  Connect = "connect",
  Write = "write",
  FirstByte = "first_byte",
  Body = "body",
}

/** Why an attempt produced no valid response. */
export enum FailureKind {
  ConnectionRefused = "connection_refused",
  ConnectionLost = "connection_lost",
  TimedOut = "timed_out",
  Cancelled = "cancelled",
  /** The server responded that it did not run the request. */
  Shed = "shed",
  Truncated = "truncated",
  /** The response carries the id of another attempt. */
  ResponseMismatch = "crossed",
  InvalidResponse = "invalid_answer",
  /** The address belongs to another server than the intended one. */
  Misdirected = "misdirected",
  QueueFull = "queue_full",
  NoServer = "no_server",
  /** Another attempt sends the request's body, which can't be sent again. */
  BodyUnavailable = "body_unavailable",
}

/** Reason, step and peer of a failed attempt. */
export interface Failure {
  readonly kind: FailureKind;
  readonly step: Step;
  /** The backend server or VM; empty when none was involved. */
  readonly peer: string;
}

/** Kinds of {@linkcode AttemptOutcome}. */
export enum OutcomeKind {
  NotRun = "not_run",
  MayHaveRun = "may_have_run",
  Responded = "answered",
}

/** Outcome of one attempt at a backend server. */
export type AttemptOutcome<Response> =
  | { readonly kind: OutcomeKind.NotRun; readonly failure: Failure }
  | { readonly kind: OutcomeKind.MayHaveRun; readonly failure: Failure }
  | {
    readonly kind: OutcomeKind.Responded;
    readonly server: ServerId;
    readonly response: Response;
  };

/** Whether a backend server ran a refused request. */
export enum RunState {
  NotRun = "not run",
  Unknown = "unknown",
}

/** Why a request received no response of a backend server. */
export enum RefusalKind {
  BadRequest = "bad_request",
  HeaderTooLarge = "header_too_large",
  RouteUnknown = "route_unknown",
  KeyMissing = "key_missing",
  KeyUnknown = "key_unknown",
  KeyWithdrawn = "key_withdrawn",
  /** The key went over to another team after the request was admitted. */
  KeyReassigned = "key_reassigned",
  ConfigurationStale = "configuration_stale",
  ConfigurationMissing = "configuration_missing",
  OverRate = "over_rate",
  /** No VM that owns a share of the team's limits is reachable. */
  ShareMissing = "share_missing",
  QueueFull = "queue_full",
  /** This VM holds as much data for callers as its memory allows. */
  MemoryFull = "memory_full",
  /** The service has more requests queued than it can run in time. */
  Overloaded = "overloaded",
  /** This VM stops before the request could end; other VMs serve. */
  Stopping = "stopping",
  DeadlineExpired = "deadline_expired",
  ServerUnavailable = "server_unavailable",
  /** All servers are in evacuated failure domains. */
  Evacuated = "evacuated",
  ResponseLost = "answer_lost",
  InternalError = "internal_error",
}

/** A refusal as reported to the caller. */
export interface Refusal {
  readonly kind: RefusalKind;
  readonly step: Step;
  /** Backend server that caused the refusal; empty when none was involved. */
  readonly peer: string;
  readonly run: RunState;
  /** Time after which a retry may succeed, in ms; 0 if it would not. */
  readonly retryAfterMs: number;
}
