/** Queries daemons through their operator ports. */
import { fetchJson } from "../protocols/http/json_client.ts";
import { EXPIRED, runWithin } from "../services/clock/mod.ts";
import type { Clock } from "../services/clock/mod.ts";
import { formatCause } from "../services/logging/mod.ts";
import type { OperatorQuery } from "../services/operator_front/mod.ts";
import type { CtlSettings } from "../settings/mod.ts";

const ANSWER_TIMEOUT_MS = 3_000;
const HTTP_OK = 200;

/** Whether a daemon responded. */
export enum DaemonAnswerKind {
  Answered = "answered",
  Failed = "failed",
}

/** Response of one daemon, or the reason why there is none. */
export type DaemonAnswer =
  | {
    readonly kind: DaemonAnswerKind.Answered;
    readonly daemon: string;
    readonly value: Readonly<Record<string, unknown>>;
  }
  | {
    readonly kind: DaemonAnswerKind.Failed;
    readonly daemon: string;
    readonly reason: string;
  };

/** Sends a query to all daemons of the settings concurrently. */
export function fetchFromDaemons(
  clock: Clock,
  settings: CtlSettings,
  query: OperatorQuery,
): Promise<DaemonAnswer[]> {
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
): Promise<DaemonAnswer> {
  const daemon = url.host;
  const headers = { authorization: `Bearer ${key}` };
  try {
    const answer = await runWithin(
      clock,
      ANSWER_TIMEOUT_MS,
      (signal) => fetchJson(url, { method: "GET", headers, signal }),
    );
    if (answer === EXPIRED) return createFailed(daemon, "timed out");
    if (answer.status !== HTTP_OK) {
      return createFailed(daemon, `status ${answer.status}`);
    }
    const value = answer.value as Record<string, unknown>;
    return { kind: DaemonAnswerKind.Answered, daemon, value };
  } catch (error) {
    return createFailed(daemon, formatCause(error));
  }
}

function createFailed(daemon: string, reason: string): DaemonAnswer {
  return { kind: DaemonAnswerKind.Failed, daemon, reason };
}
