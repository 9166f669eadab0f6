/** `npm run model`: checks the core protocol with the model checker SPIN. */
import { execFileSync, spawnSync } from "node:child_process";
import { mkdtempSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join, resolve } from "node:path";
import process from "node:process";

const SPEC = resolve("specs/seats.pml");
/** Memory limit of the checker. */
const MEMORY_MB = 6_000;

/** A run of the checker. */
interface ModelRun {
  readonly name: string;
  /** Preprocessor flags of the model. */
  readonly flags: readonly string[];
  /** Whether the checker must find a violation. */
  readonly mustFail: boolean;
}

/** Mutations of the model; each removes a rule that the protocol needs. */
const MUTATIONS: readonly string[] = [
  "NO_MAJORITY",
  "NO_WAIT",
  "AGE_FROM_RESPONSE",
  "TRANSFER_BEFORE_STOP",
];

const RUNS: readonly ModelRun[] = [
  { name: "the protocol", flags: ["-DFAULTS=0"], mustFail: false },
  ...MUTATIONS.map((mutation) => ({
    name: `mutation ${mutation}`,
    flags: ["-DFAULTS=0", `-DMUTATION_${mutation}`],
    mustFail: true,
  })),
];

function checkTools(): void {
  for (const [tool, name] of [["spin", "spin"], ["gcc", "gcc"]] as const) {
    const found = spawnSync(tool, ["--version"]);
    if (found.error === undefined) continue;
    process.stderr.write(
      `model: ${tool} is missing; install the Debian package ${name}\n`,
    );
    process.exit(1);
  }
}

/** Runs the checker once; returns whether the result is as expected. */
function runModel(run: ModelRun, folder: string): boolean {
  execFileSync("spin", ["-a", ...run.flags, SPEC], { cwd: folder });
  execFileSync("gcc", [
    "-O2",
    "-w",
    "-DSAFETY",
    "-DCOLLAPSE",
    `-DMEMLIM=${MEMORY_MB}`,
    "-o",
    "pan",
    "pan.c",
  ], { cwd: folder });
  const { stdout } = spawnSync("./pan", ["-m5000000", "-w26"], {
    cwd: folder,
    encoding: "utf8",
  });
  const states = /(\d+) states, stored/.exec(stdout)?.[1] ?? "no";
  const errors = Number(/errors: (\d+)/.exec(stdout)?.[1] ?? -1);
  const isComplete = !/out of memory|depth too small|truncated/i.test(stdout);
  const isExpected = run.mustFail ? errors > 0 : errors === 0 && isComplete;
  const found = errors > 0 ? "violation found" : "no violation";
  const verdict = isExpected ? "ok    " : "FAILED";
  process.stdout.write(`${verdict} ${run.name}: ${found}, ${states} states\n`);
  return isExpected;
}

checkTools();
const folder = mkdtempSync(join(tmpdir(), "model-"));
const results = RUNS.map((run) => runModel(run, folder));
rmSync(folder, { recursive: true });
process.exit(results.every((isExpected) => isExpected) ? 0 : 1);
