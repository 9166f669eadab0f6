/** Encodes refusals as HTTP responses with a status and a JSON body. */
import { RefusalKind, RunState } from "../../model/mod.ts";
import type { HeaderField, Refusal } from "../../model/mod.ts";
import type { HttpDialect } from "./dialect.ts";

const MS_PER_SECOND = 1_000;

/** A refusal encoded as an HTTP response. */
export interface EncodedRefusal {
  /** HTTP status code. */
  readonly status: number;
  readonly headers: readonly HeaderField[];
  readonly body: Uint8Array;
}

/** Encodes a refusal; `run` in the body is a {@linkcode RunState}. */
export function encodeRefusal(
  refusal: Refusal,
  dialect: HttpDialect,
): EncodedRefusal {
  const value = {
    error: refusal.kind,
    run: refusal.run,
    step: refusal.step,
    ...(refusal.peer !== "" && { peer: refusal.peer }),
    ...(refusal.retryAfterMs > 0 && { retryAfterMs: refusal.retryAfterMs }),
  };
  const headers: HeaderField[] = [
    { name: "content-type", value: "application/json" },
    { name: "cache-control", value: "no-store" },
  ];
  if (refusal.retryAfterMs > 0) {
    headers.push({
      name: "retry-after",
      value: formatSeconds(refusal.retryAfterMs, dialect.retryAfterDigits),
    });
  }
  return {
    status: getStatus(refusal, dialect),
    headers,
    body: Buffer.from(JSON.stringify(value) + "\n"),
  };
}

/** Formats milliseconds as seconds, rounded up to `digits` decimal places. */
function formatSeconds(ms: number, digits: number): string {
  const unit = 10 ** digits;
  return (Math.ceil(ms * unit / MS_PER_SECOND) / unit).toFixed(digits);
}

/**
 * Returns the HTTP status of a refusal.
 *
 * 429 and 503 mean that the request was not run; 502 and 504 leave it open.
 */
function getStatus(refusal: Refusal, dialect: HttpDialect): number {
  switch (refusal.kind) {
    case RefusalKind.BadRequest:
      return 400;
    case RefusalKind.KeyMissing:
    case RefusalKind.KeyUnknown:
    case RefusalKind.KeyWithdrawn:
      return 401;
    case RefusalKind.RouteUnknown:
      return 404;
    case RefusalKind.OverRate:
      return 429;
    case RefusalKind.HeaderTooLarge:
      return 431;
    case RefusalKind.InternalError:
      return 500;
    case RefusalKind.ResponseLost:
      return 502;
    case RefusalKind.KeyReassigned:
    case RefusalKind.ConfigurationStale:
    case RefusalKind.ConfigurationMissing:
    case RefusalKind.QueueFull:
    case RefusalKind.MemoryFull:
    case RefusalKind.Overloaded:
    case RefusalKind.Stopping:
    case RefusalKind.ShareMissing:
    case RefusalKind.ServerUnavailable:
    case RefusalKind.Evacuated:
      return 503;
    case RefusalKind.DeadlineExpired:
      return refusal.run === RunState.NotRun
        ? dialect.expiredNotRunStatus
        : 504;
  }
}
