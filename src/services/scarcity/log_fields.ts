/** Log fields with the inputs of a decision and their age. */
import type { LogFields } from "../logging/mod.ts";
import type { Assessment } from "./assessment.ts";
import {
  computeInFlight,
  computeQueueMs,
  LATE_LEVEL,
  sumOthersWaitingMs,
} from "./capacity_view.ts";
import type { Candidate } from "./service_state.ts";

/** Formats a request for a log line. */
export function formatRequest({ request, workMs }: Candidate): LogFields {
  const { id, service, route, team, priority } = request;
  return {
    request: id,
    service,
    route,
    team,
    priority,
    workMs: Math.round(workMs),
  };
}

/** Formats what is known of the service for a log line. */
export function formatAssessment(assessment: Assessment): LogFields {
  const { view, shares, ownWaitingMs, now } = assessment;
  return {
    view: view.kind,
    viewAgeMs: formatAgeMs(view.ageMs),
    slots: view.slots,
    inFlight: Math.round(computeInFlight(view)),
    ownInFlight: view.ownInFlight,
    queueMs: Math.round(computeQueueMs(view)),
    ownWaitingMs: Math.round(ownWaitingMs.reduce((sum, ms) => sum + ms, 0)),
    othersWaitingMs: Math.round(sumOthersWaitingMs(view, LATE_LEVEL)),
    shedRatio: Number(view.shedRatio.toFixed(2)),
    admittedRatio: Number(shares.getAdmittedRatio(now).toFixed(2)),
  };
}

/** Formats an age in milliseconds; -1 if nothing was ever reported. */
export function formatAgeMs(ageMs: number): number {
  return Number.isFinite(ageMs) ? Math.round(ageMs) : -1;
}
