/** Runs one benchmark by name: `npm run bench -- path`. */
import process from "node:process";
import { runGrayBench } from "./gray.ts";
import { runIdleBench } from "./idle.ts";
import { runMemoryBench } from "./memory.ts";
import { runOverloadBench, runRetryBench } from "./overload.ts";
import { runPathBench } from "./path.ts";
import { runScarcityBench } from "./scarcity.ts";
import { runSharesBench } from "./shares.ts";
import { runSlopesBench } from "./slopes.ts";

const BENCHES: Readonly<Record<string, () => Promise<void>>> = {
  gray: runGrayBench,
  idle: runIdleBench,
  memory: runMemoryBench,
  overload: runOverloadBench,
  path: runPathBench,
  retry: runRetryBench,
  scarcity: runScarcityBench,
  shares: runSharesBench,
  slopes: runSlopesBench,
};

const name = process.argv[2] ?? "";
const runBench = BENCHES[name];
if (runBench === undefined) {
  const names = Object.keys(BENCHES).join(", ");
  process.stderr.write(`bench: expected one of ${names}\n`);
  process.exit(2);
}
await runBench();
process.exit();
