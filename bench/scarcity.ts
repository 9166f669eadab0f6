/** Value to callers when capacity is scarce, by what decides on requests. */
import process from "node:process";
import { SCARCITY_LOADS } from "../standins/scarcity_loads.ts";
import type { ScarcityLoad } from "../standins/scarcity_loads.ts";
import type { ScarcityResult } from "../standins/scarcity_result.ts";
import { Decider, runScarcity } from "../standins/scarcity_run.ts";
import { printLine, printTable } from "./report.ts";

const SEED = 1;
/** Waits that a central queue accepts; the best is what others compare with. */
const CENTRAL_WAIT_RATIOS = [0.2, 0.4, 0.6, 0.8, 1];

/** Prints one table for each load. */
export async function runScarcityBench(): Promise<void> {
  printLine("value: of responses in time to all requests; by kind: value,");
  printLine("share served, mean wait of served requests in ms");
  // Optional third argument: part of the name of the loads to run.
  const name = process.argv[3] ?? "";
  for (const load of SCARCITY_LOADS) {
    if (load.name.includes(name)) await printLoad(load);
  }
}

async function printLoad(load: ScarcityLoad): Promise<void> {
  printLine("");
  printLine(load.name);
  const central = await findBestCentral(load);
  const rows = [[
    "decider",
    "value",
    "of central",
    ...load.kinds.map(({ name }) => name),
    "worst kind",
    "worst team",
    "refused while free",
    "slots in use",
    "oscillation",
  ]];
  for (const decider of Object.values(Decider)) {
    const result = decider === Decider.Central
      ? central
      : await runScarcity({ load, decider, seed: SEED });
    rows.push([
      decider,
      result.valueRatio.toFixed(3),
      (result.valueRatio / central.valueRatio).toFixed(3),
      ...load.kinds.map(({ name }) => formatKind(result, name)),
      result.worstKind.toFixed(2),
      result.worstTeam.toFixed(2),
      String(result.refusedWhileFree),
      result.use.toFixed(2),
      result.oscillation.toFixed(2),
    ]);
  }
  printTable(rows);
}

async function findBestCentral(load: ScarcityLoad): Promise<ScarcityResult> {
  let best: ScarcityResult | undefined;
  for (const centralWaitRatio of CENTRAL_WAIT_RATIOS) {
    const result = await runScarcity({
      load,
      decider: Decider.Central,
      seed: SEED,
      centralWaitRatio,
    });
    if (best === undefined || result.valueRatio > best.valueRatio) {
      best = result;
    }
  }
  if (best === undefined) throw new Error("no wait ratio was tried");
  return best;
}

function formatKind(result: ScarcityResult, name: string): string {
  const totals = result.kinds.get(name);
  if (totals === undefined) return "";
  const { requests, served, value, offered, waitMs } = totals;
  const wait = served > 0 ? Math.round(waitMs / served) : 0;
  return `${(value / offered).toFixed(2)} ${
    (served / requests).toFixed(2)
  } ${wait}`;
}
