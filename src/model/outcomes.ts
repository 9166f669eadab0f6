/** How attempts and requests end: tagged unions with step and peer. */
import type { ServerId } from "./ids.ts";

/** The step at which something ended. */
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

/** Why an attempt did not bring an answer. */
export enum FailureKind {
  ConnectionRefused = "connection_refused",
  ConnectionLost = "connection_lost",
  TimedOut = "timed_out",
  Cancelled = "cancelled",
  Shed = "shed",
  Truncated = "truncated",
  Crossed = "crossed",
  InvalidAnswer = "invalid_answer",
  /** Another server than the one that was meant has the address. */
  Misdirected = "misdirected",
  QueueFull = "queue_full",
  NoServer = "no_server",
}

/** Where, why and with which peer an attempt failed. */
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
  Answered = "answered",
}

/** How one attempt at one backend server ended. */
export type AttemptOutcome<Answer> =
  | { readonly kind: OutcomeKind.NotRun; readonly failure: Failure }
  | { readonly kind: OutcomeKind.MayHaveRun; readonly failure: Failure }
  | {
    readonly kind: OutcomeKind.Answered;
    readonly server: ServerId;
    readonly answer: Answer;
  };

/** Whether a refused request was run by a backend server. */
export enum RunState {
  NotRun = "not run",
  Unknown = "unknown",
}

/** Why a request got no answer from a backend server. */
export enum RefusalKind {
  BadRequest = "bad_request",
  HeaderTooLarge = "header_too_large",
  RouteUnknown = "route_unknown",
  KeyMissing = "key_missing",
  KeyUnknown = "key_unknown",
  KeyWithdrawn = "key_withdrawn",
  ConfigurationStale = "configuration_stale",
  ConfigurationMissing = "configuration_missing",
  OverRate = "over_rate",
  /** No VM that holds a part of the team's limits can be reached. */
  ShareMissing = "share_missing",
  QueueFull = "queue_full",
  /** Its service has more work than it can do in time. */
  Overloaded = "overloaded",
  DeadlineExpired = "deadline_expired",
  ServerUnavailable = "server_unavailable",
  AnswerLost = "answer_lost",
  InternalError = "internal_error",
}

/** A refusal as the caller sees it. */
export interface Refusal {
  readonly kind: RefusalKind;
  readonly step: Step;
  /** The backend server at which it arose; empty when none was involved. */
  readonly peer: string;
  readonly run: RunState;
  /** Time after which the caller may try again; 0 if that is of no use. */
  readonly retryAfterMs: number;
}
