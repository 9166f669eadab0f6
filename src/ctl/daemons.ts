/** Queries daemons through their operator ports. */
import { fetchJson } from "../protocols/http/json_client.ts";
import { runWithTimeout, TIMED_OUT } from "../services/clock/mod.ts";
import type { Clock } from "../services/clock/mod.ts";
import { formatCause } from "../services/logging/mod.ts";
import type { OperatorQuery } from "../services/operator_front/mod.ts";
import type { CtlSettings } from "../settings/mod.ts";

const RESPONSE_TIMEOUT_MS = 3_000;
const HTTP_OK = 200;

/** Whether a daemon responded. */
export enum DaemonResponseKind {
  Responded = "answered",
  Failed = "failed",
}

/** Response of one daemon, or the reason why there is none. */
export type DaemonResponse =
  | {
    readonly kind: DaemonResponseKind.Responded;
    readonly daemon: string;
    readonly value: Readonly<Record<string, unknown>>;
  }
  | {
    readonly kind: DaemonResponseKind.Failed;
    readonly daemon: string;
    readonly reason: string;
  };

/** Sends a query to all daemons of the settings concurrently. */
export function fetchFromDaemons(
  clock: Clock,
  settings: CtlSettings,
  query: OperatorQuery,
): Promise<DaemonResponse[]> {
  return Promise.all(
    settings.daemons.map((daemon) =>
      fetchFromDaemon(clock, new URL(query, daemon), settings.operatorKey)
    ),
  );
}

async function fetchFromDaemon(
  clock: Clock,
  url: URL,
  key: string,
): Promise<DaemonResponse> {
  const daemon = url.host;
  const headers = { authorization: `Bearer ${key}` };
  try {
    const response = await runWithTimeout(
      clock,
      RESPONSE_TIMEOUT_MS,
      (signal) => fetchJson(url, { method: "GET", headers, signal }),
    );
    if (response === TIMED_OUT) return createFailure(daemon, "timed out");
    if (response.status !== HTTP_OK) {
      return createFailure(daemon, `status ${response.status}`);
    }
    const value = response.value as Record<string, unknown>;
    return { kind: DaemonResponseKind.Responded, daemon, value };
  } catch (error) {
    return createFailure(daemon, formatCause(error));
  }
}

function createFailure(daemon: string, reason: string): DaemonResponse {
  return { kind: DaemonResponseKind.Failed, daemon, reason };
}
