/** Goodput and fairness of an overloaded service, in virtual time. */
import {
  OVERLOAD_CAPACITY_PER_S,
  OVERLOAD_TEAMS,
  OverloadPolicy,
  runOverload,
} from "../standins/overload_run.ts";
import type { OverloadResult } from "../standins/overload_run.ts";
import { printLine, printTable } from "./report.ts";

const SEED = 1;
const RUN_MS = 30_000;
/** Arriving work, in multiples of the service's capacity. */
const LOADS = [1, 1.5, 2, 4];
/** Load of the heavy team, in multiples of each other team's load. */
const HEAVY_FACTOR = 5;
/** Sum of all teams' rate limits as a share of the capacity, 0 to 1. */
const LIMITED_SHARE = 0.9;

/** Prints goodput at several loads and the effect of a heavy team on others. */
export async function runOverloadBench(): Promise<void> {
  printLine("40% of requests urgent; in time and served as shares of capacity");
  const rows = [
    ["load", "policy", "in time", "served", "urgent in time", "worst class"],
  ];
  for (const load of LOADS) {
    for (const policy of Object.values(OverloadPolicy)) {
      const result = await runOverload({
        seed: SEED,
        steps: [{ load, forMs: RUN_MS }],
        urgentShare: 0.4,
        policy,
      });
      rows.push([
        String(load),
        policy,
        formatShare(result.inTime, result.capacity),
        formatShare(result.served, result.capacity),
        formatShare(result.urgentInTime, result.urgentRequests),
        formatRatio(computeWorstShare(result)),
      ]);
    }
  }
  printTable(rows);
  printLine("");
  await printHeavyTeam();
}

async function printHeavyTeam(): Promise<void> {
  const limit = LIMITED_SHARE * OVERLOAD_CAPACITY_PER_S / OVERLOAD_TEAMS;
  const limits = { ratePerSecond: limit, burst: limit / 2 };
  printLine("others at 0.95 of their rate, heavy team at 5 times their load");
  const rows = [["limits", "policy", "worst other team", "heavy team"]];
  const load = 0.95 * LIMITED_SHARE * (HEAVY_FACTOR + OVERLOAD_TEAMS - 1) /
    OVERLOAD_TEAMS;
  for (const teamLimits of [limits, undefined]) {
    for (
      const policy of [
        OverloadPolicy.AdmissionControl,
        OverloadPolicy.UnboundedQueues,
      ]
    ) {
      const result = await runOverload({
        seed: SEED,
        steps: [{ load, forMs: RUN_MS }],
        firstTeamLoad: HEAVY_FACTOR,
        policy,
        ...(teamLimits && { limits: teamLimits }),
      });
      const shares = Array.from(
        { length: OVERLOAD_TEAMS },
        (_team, team) => computeTeamShare(result, team),
      );
      rows.push([
        teamLimits === undefined ? "none" : "rate and burst",
        policy,
        formatRatio(Math.min(...shares.slice(1))),
        formatRatio(shares[0] ?? 0),
      ]);
    }
  }
  printTable(rows);
}

/** Prints the load on the servers by callers that retry at once. */
export async function runRetryBench(): Promise<void> {
  printLine("requests as shares of capacity; refused callers retry at once");
  const rows = [["load", "retries", "policy", "arrivals", "in time", "served"]];
  for (const load of [0.9, 1.5]) {
    for (const callerRetries of [0, 3, 10]) {
      for (const policy of Object.values(OverloadPolicy)) {
        const result = await runOverload({
          seed: SEED,
          steps: [{ load, forMs: RUN_MS }],
          callerRetries,
          policy,
        });
        rows.push([
          String(load),
          String(callerRetries),
          policy,
          formatShare(result.arrivals, result.capacity),
          formatShare(result.inTime, result.capacity),
          formatShare(result.served, result.capacity),
        ]);
      }
    }
  }
  printTable(rows);
}

/**
 * Computes the share of requests served in the worst class (team and urgency),
 * divided by the share served of all requests.
 */
function computeWorstShare(result: OverloadResult): number {
  const all = result.served / result.requests;
  const shares = [...result.requestsByTeam].map(([key, count]) =>
    (result.servedByTeam.get(key) ?? 0) / count
  );
  return Math.min(...shares) / all;
}

function computeTeamShare(result: OverloadResult, team: number): number {
  const classes = [`urgent ${team}`, `other ${team}`];
  const sum = (counts: ReadonlyMap<string, number>): number =>
    classes.reduce((total, kind) => total + (counts.get(kind) ?? 0), 0);
  return sum(result.servedByTeam) / sum(result.requestsByTeam);
}

function formatShare(count: number, all: number): string {
  return formatRatio(count / all);
}

function formatRatio(ratio: number): string {
  return ratio.toFixed(2);
}
