/** Invariants under faults, checked on what callers and servers observed. */
import type { PlatformFleet } from "../scripts/platform_fleet.ts";
import { PLATFORM_DIALECT } from "../platform/dialect.ts";
import { CallerOutcomeKind } from "./callers.ts";
import type { CallerRecord } from "./callers.ts";
import { FaultKind } from "./faults.ts";
import type { FaultRecord } from "./faults.ts";
import type { DepartureRecord } from "./departures.ts";

/** Records of one run. */
export interface Evidence {
  readonly fleet: PlatformFleet;
  readonly callers: readonly CallerRecord[];
  readonly faults: readonly FaultRecord[];
  readonly departures: readonly DepartureRecord[];
  /** Monotonic times at which keys were withdrawn, in milliseconds. */
  readonly withdrawnAt: ReadonlyMap<string, number>;
  /** Key of the limited team and its maximum number of requests in a window. */
  readonly limited: { readonly key: string; readonly maxPerWindow: number };
}

/** Time from its withdrawal until a key must be refused, in milliseconds. */
const REVOKE_MS = 5_000;
/** Time after which a leaving server must get no request, in milliseconds. */
const DRAIN_MS = 2_000;
/** Window in which a team's requests are counted, in milliseconds. */
const QUOTA_WINDOW_MS = 5_000;
/**
 * Time before a stop or departure in which requests and faults still count as
 * overlapping it, in milliseconds; longer than the deadline of a request.
 */
const OVERLAP_MARGIN_MS = 3_000;
/** Statuses which state that a request was not run. */
const NOT_RUN_STATUSES = new Set([408, 421, 429, 503]);

/** An execution of a request on a backend server. */
interface Execution {
  /** Id of the request. */
  readonly id: string;
  readonly runAt: number;
}

/** Lists all violations of the invariants. */
export function listViolations(evidence: Evidence): string[] {
  const executions = listExecutions(evidence.fleet);
  return [
    ...checkAtMostOnce(evidence, executions),
    ...checkNotRun(evidence, executions),
    ...checkResponses(evidence),
    ...checkWithdrawnKeys(evidence, executions),
    ...checkQuota(evidence, executions),
    ...checkPlannedStops(evidence),
    ...checkDepartures(evidence),
    ...checkColdServers(evidence),
  ];
}

function listExecutions(fleet: PlatformFleet): Execution[] {
  return fleet.servers.flatMap((server) =>
    server.recordedRequests.map(({ headers, runAt }) => ({
      id: String(headers[PLATFORM_DIALECT.attemptField]),
      runAt,
    }))
  );
}

function countById(executions: readonly Execution[]): Map<string, number> {
  const counts = new Map<string, number>();
  for (const { id } of executions) counts.set(id, (counts.get(id) ?? 0) + 1);
  return counts;
}

/** Checks that a non-idempotent request runs at most once. */
function checkAtMostOnce(
  { callers }: Evidence,
  executions: readonly Execution[],
): string[] {
  const counts = countById(executions);
  return callers
    .filter(({ id, isUnsafe }) => isUnsafe && (counts.get(id) ?? 0) > 1)
    .map(({ id }) => `${id} ran ${counts.get(id)} times`);
}

/** Checks that a non-idempotent request refused as not run did not run. */
function checkNotRun(
  { callers }: Evidence,
  executions: readonly Execution[],
): string[] {
  const counts = countById(executions);
  return callers.filter(({ outcome, id, isUnsafe }) =>
    isUnsafe && outcome.kind === CallerOutcomeKind.Completed &&
    NOT_RUN_STATUSES.has(outcome.status) && counts.has(id)
  ).map(({ id }) => `${id} was refused as not run, but ran`);
}

/** Checks that a successful response belongs to its request. */
function checkResponses({ callers }: Evidence): string[] {
  return callers.flatMap(({ id, outcome, isUnsafe }) => {
    if (
      outcome.kind !== CallerOutcomeKind.Completed || outcome.status !== 200
    ) return [];
    const path = `/${isUnsafe ? "swap" : "look"}/${id}`;
    const isMatching = outcome.attempt === id && outcome.path === path;
    return isMatching
      ? []
      : [`${id} got the response to ${outcome.attempt} ${outcome.path}`];
  });
}

/**
 * Checks that a request doesn't run if it was sent more than `REVOKE_MS` after
 * its key was withdrawn.
 */
function checkWithdrawnKeys(
  { callers, withdrawnAt }: Evidence,
  executions: readonly Execution[],
): string[] {
  const counts = countById(executions);
  return callers.filter(({ id, key, sentAt }) =>
    sentAt > (withdrawnAt.get(key) ?? Infinity) + REVOKE_MS && counts.has(id)
  ).map(({ id, key }) => `${id} ran for the withdrawn key ${key}`);
}

/** Checks that no window has more requests of the limited team than allowed. */
function checkQuota(
  { callers, limited }: Evidence,
  executions: readonly Execution[],
): string[] {
  const ids = new Set(
    callers.filter(({ key }) => key === limited.key).map(({ id }) => id),
  );
  const times = executions.filter(({ id }) => ids.has(id))
    .map(({ runAt }) => runAt).toSorted((left, right) => left - right);
  let first = 0;
  for (const [index, time] of times.entries()) {
    while ((times[first] ?? time) <= time - QUOTA_WINDOW_MS) first += 1;
    const count = index - first + 1;
    if (count <= limited.maxPerWindow) continue;
    return [`${count} requests of the limited team ran in one window`];
  }
  return [];
}

/** Checks that a planned stop without other faults breaks no request. */
function checkPlannedStops({ callers, faults }: Evidence): string[] {
  const stops = faults.filter((fault) =>
    fault.kind === FaultKind.PlannedStop && !isDisturbed(fault, faults)
  );
  return stops.flatMap((stop) =>
    callers.filter(({ vm, sentAt, outcome }) =>
      vm.name === stop.target && sentAt >= stop.startedAt - OVERLAP_MARGIN_MS &&
      sentAt < stop.endedAt && outcome.kind === CallerOutcomeKind.Failed &&
      !isRefusedConnection(outcome.reason)
    ).map(({ id, outcome }) =>
      `${id} was broken by a planned stop of ${stop.target}: ${
        outcome.kind === CallerOutcomeKind.Failed ? outcome.reason : ""
      }`
    )
  );
}

/** Checks that VMs without faults send no request to a server that has left. */
function checkDepartures(
  { fleet, callers, faults, departures }: Evidence,
): string[] {
  const vms = new Map(callers.map(({ id, vm }) => [id, vm.name]));
  return departures.flatMap(({ server, leftAt, returnedAt }) => {
    const requests = fleet.servers[server]?.recordedRequests ?? [];
    return requests.flatMap(({ headers, arrivedAt }) => {
      if (arrivedAt <= leftAt + DRAIN_MS || arrivedAt >= returnedAt) return [];
      const id = String(headers[PLATFORM_DIALECT.attemptField]);
      const vm = vms.get(id) ?? "";
      const isExcused = faults.some(({ target, startedAt, endedAt }) =>
        startedAt < arrivedAt && endedAt > leftAt - OVERLAP_MARGIN_MS &&
        [vm, "store", `store ${vm}`, `peer ${vm}`, `server i-${server}`]
          .includes(target)
      );
      const lateMs = Math.round(arrivedAt - leftAt);
      return isExcused ? [] : [
        `${id} reached i-${server} via ${vm} ${lateMs} ms after it left`,
      ];
    });
  });
}

/** Checks that no server got more requests than it tolerates while cold. */
function checkColdServers({ fleet }: Evidence): string[] {
  return fleet.servers.flatMap(({ crashCount }, index) =>
    crashCount === 0 ? [] : [
      `i-${index} crashed ${crashCount} times at too many requests while cold`,
    ]
  );
}

/**
 * Whether another fault affected the VM, its connections or any backend server
 * during the stop or shortly before it. Reloads don't count.
 */
function isDisturbed(
  stop: FaultRecord,
  faults: readonly FaultRecord[],
): boolean {
  return faults.some((fault) =>
    fault !== stop && fault.kind !== FaultKind.Reload &&
    fault.startedAt < stop.endedAt &&
    fault.endedAt > stop.startedAt - OVERLAP_MARGIN_MS &&
    (fault.target === stop.target || fault.target.startsWith("i-") ||
      fault.target.endsWith(` ${stop.target}`) ||
      fault.target.startsWith("server "))
  );
}

/** Whether the connection was refused, so that no request was sent on it. */
function isRefusedConnection(reason: string): boolean {
  return reason.includes("ECONNREFUSED");
}
