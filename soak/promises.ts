/** What must hold whatever fails, judged by what callers and servers saw. */
import type { PlatformFleet } from "../scripts/platform_fleet.ts";
import { PLATFORM_DIALECT } from "../platform/dialect.ts";
import { EndKind } from "./callers.ts";
import type { CallerRecord } from "./callers.ts";
import { FaultKind } from "./faults.ts";
import type { FaultRecord } from "./faults.ts";
import type { LeaveRecord } from "./leaves.ts";

/** Everything that one run saw. */
export interface Evidence {
  readonly fleet: PlatformFleet;
  readonly callers: readonly CallerRecord[];
  readonly faults: readonly FaultRecord[];
  readonly leaves: readonly LeaveRecord[];
  /** When each withdrawn key was taken away. */
  readonly withdrawnAt: ReadonlyMap<string, number>;
  /** Team whose rate is limited, by its key. */
  readonly limited: { readonly key: string; readonly window: number };
}

/** Time after which a withdrawn key must be refused, in milliseconds. */
const REVOKE_MS = 5_000;
/** Time after which a server that leaves gets no request, in milliseconds. */
const DRAIN_MS = 2_000;
/** Window of a team's rate and burst, in milliseconds. */
const QUOTA_WINDOW_MS = 5_000;
/** Time within which the fleet gives up all before a stop, in milliseconds. */
const TOUCH_MS = 3_000;
/** Statuses that promise that a request has not run. */
const NOT_RUN = new Set([408, 421, 429, 503]);

interface Run {
  readonly id: string;
  readonly runAt: number;
}

/** Lists every promise that was broken, with its request. */
export function listBroken(evidence: Evidence): string[] {
  const runs = listRuns(evidence.fleet);
  return [
    ...checkOnce(evidence, runs),
    ...checkNotRun(evidence, runs),
    ...checkWhole(evidence),
    ...checkWithdrawn(evidence, runs),
    ...checkQuota(evidence, runs),
    ...checkPlannedStops(evidence),
    ...checkLeaves(evidence),
  ];
}

function listRuns(fleet: PlatformFleet): Run[] {
  return fleet.servers.flatMap((server) =>
    server.seen.map(({ headers, runAt }) => ({
      id: String(headers[PLATFORM_DIALECT.attemptField]),
      runAt,
    }))
  );
}

function countById(runs: readonly Run[]): Map<string, number> {
  const counts = new Map<string, number>();
  for (const { id } of runs) counts.set(id, (counts.get(id) ?? 0) + 1);
  return counts;
}

/** A request that is not idempotent runs at most once. */
function checkOnce({ callers }: Evidence, runs: readonly Run[]): string[] {
  const counts = countById(runs);
  return callers
    .filter(({ id, isUnsafe }) => isUnsafe && (counts.get(id) ?? 0) > 1)
    .map(({ id }) => `${id} ran ${counts.get(id)} times`);
}

/** A refusal that says "not run" is true for what must run once. */
function checkNotRun({ callers }: Evidence, runs: readonly Run[]): string[] {
  const counts = countById(runs);
  return callers.filter(({ end, id, isUnsafe }) =>
    isUnsafe && end.kind === EndKind.Answered && NOT_RUN.has(end.status) &&
    counts.has(id)
  ).map(({ id }) => `${id} was refused as not run, and ran`);
}

/** A success is the whole answer to its own request. */
function checkWhole({ callers }: Evidence): string[] {
  return callers.flatMap(({ id, end, isUnsafe }) => {
    if (end.kind !== EndKind.Answered || end.status !== 200) return [];
    const path = `/${isUnsafe ? "swap" : "look"}/${id}`;
    const isOwn = end.attempt === id && end.path === path;
    return isOwn ? [] : [`${id} got the answer to ${end.attempt} ${end.path}`];
  });
}

/** A key that was taken away long before a request runs nothing. */
function checkWithdrawn(
  { callers, withdrawnAt }: Evidence,
  runs: readonly Run[],
): string[] {
  const counts = countById(runs);
  return callers.filter(({ id, key, sentAt }) =>
    sentAt > (withdrawnAt.get(key) ?? Infinity) + REVOKE_MS && counts.has(id)
  ).map(({ id, key }) => `${id} ran for the withdrawn key ${key}`);
}

/** No window holds more than the team's rate and burst, and the tolerance. */
function checkQuota(
  { callers, limited }: Evidence,
  runs: readonly Run[],
): string[] {
  const ids = new Set(
    callers.filter(({ key }) => key === limited.key).map(({ id }) => id),
  );
  const times = runs.filter(({ id }) => ids.has(id))
    .map(({ runAt }) => runAt).toSorted((left, right) => left - right);
  let first = 0;
  for (const [index, end] of times.entries()) {
    while ((times[first] ?? end) <= end - QUOTA_WINDOW_MS) first += 1;
    const count = index - first + 1;
    if (count <= limited.window) continue;
    return [`${count} requests of the limited team in one window`];
  }
  return [];
}

/** A planned stop of a VM that nothing else befalls cuts no request. */
function checkPlannedStops({ callers, faults }: Evidence): string[] {
  const stops = faults.filter((fault) =>
    fault.kind === FaultKind.PlannedStop && !isDisturbed(fault, faults)
  );
  return stops.flatMap((stop) =>
    callers.filter(({ vm, sentAt, end }) =>
      vm.name === stop.on && sentAt >= stop.startedAt - TOUCH_MS &&
      sentAt < stop.endedAt && end.kind === EndKind.Broken &&
      !isRefusedConnection(end.reason)
    ).map(({ id, end }) =>
      `${id} was cut by a planned stop of ${stop.on}: ${
        end.kind === EndKind.Broken ? end.reason : ""
      }`
    )
  );
}

/** A VM that nothing befalls sends nothing to a server that has left. */
function checkLeaves({ fleet, callers, faults, leaves }: Evidence): string[] {
  const vms = new Map(callers.map(({ id, vm }) => [id, vm.name]));
  return leaves.flatMap(({ server, leftAt, backAt }) => {
    const seen = fleet.servers[server]?.seen ?? [];
    return seen.flatMap(({ headers, arrivedAt }) => {
      if (arrivedAt <= leftAt + DRAIN_MS || arrivedAt >= backAt) return [];
      const id = String(headers[PLATFORM_DIALECT.attemptField]);
      const vm = vms.get(id) ?? "";
      const isExcused = faults.some(({ on, startedAt, endedAt }) =>
        startedAt < arrivedAt && endedAt > leftAt - TOUCH_MS &&
        [vm, "store", `store ${vm}`, `peer ${vm}`, `server i-${server}`]
          .includes(on)
      );
      const lateMs = Math.round(arrivedAt - leftAt);
      return isExcused
        ? []
        : [`${id} reached i-${server} by ${vm} ${lateMs} ms after it left`];
    });
  });
}

/** Whether another fault struck the VM, or its way to any server, meanwhile. */
function isDisturbed(
  stop: FaultRecord,
  faults: readonly FaultRecord[],
): boolean {
  return faults.some((fault) =>
    fault !== stop && fault.kind !== FaultKind.Reload &&
    fault.startedAt < stop.endedAt &&
    fault.endedAt > stop.startedAt - TOUCH_MS &&
    (fault.on === stop.on || fault.on.startsWith("i-") ||
      fault.on.endsWith(` ${stop.on}`) || fault.on.startsWith("server "))
  );
}

/** A connection that was never accepted has carried no request. */
function isRefusedConnection(reason: string): boolean {
  return reason.includes("ECONNREFUSED");
}
