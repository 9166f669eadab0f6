/** Interface of the policies that decide which requests of a service start. */
import type { RouteId, ServiceId, TeamId } from "../../model/mod.ts";

/** A request as the policies see it. */
export interface PolicyRequest {
  /** Id for log lines; empty if the caller set none. */
  readonly id: string;
  readonly service: ServiceId;
  readonly route: RouteId;
  /** Empty for callers without a team. */
  readonly team: TeamId;
  /** Priority; 0 is the highest. */
  readonly priority: number;
  /** Target latency in ms; undefined if the route has none. */
  readonly targetMs: number | undefined;
  /** Monotonic time of arrival, in milliseconds. */
  readonly arrivedAt: number;
  /** Monotonic time of the deadline, in milliseconds. */
  readonly deadlineAt: number;
}

/** Kinds of {@linkcode PolicyVerdict}. */
export enum VerdictKind {
  Start = "start",
  Refuse = "refuse",
  /** The request's signal aborted while it waited. */
  Cancelled = "cancelled",
}

/** Verdict of a policy on a request; only `Start` allows to send it. */
export type PolicyVerdict =
  | {
    readonly kind: VerdictKind.Start;
    /** Work by which fair queuing charges the team. */
    readonly work: number;
    /** Must be called once, when the request has ended. */
    readonly complete: () => void;
  }
  | { readonly kind: VerdictKind.Refuse; readonly retryAfterMs: number }
  | { readonly kind: VerdictKind.Cancelled };

/** Latency of a request that a server processed. */
export interface ProcessedRequest {
  readonly service: ServiceId;
  readonly route: RouteId;
  /** Time from the attempt's start to the complete response. */
  readonly latencyMs: number;
}

/** Decides which requests start, wait or are refused. */
export interface OverloadPolicy {
  /**
   * Decides on an arriving request. Under some policies it first waits, at most
   * until its deadline or until `signal` aborts.
   */
  admit(request: PolicyRequest, signal: AbortSignal): Promise<PolicyVerdict>;
  /** Records a processing time, from which work may be estimated. */
  recordProcessed(processed: ProcessedRequest): void;
  /** Whether a request may use one of the retries while few of them remain. */
  checkSecondOffer(request: PolicyRequest): boolean;
}
