/** Tests the bundle that the users' platform runs. */
import assert from "node:assert/strict";
import { spawnSync } from "node:child_process";
import { readFileSync, rmSync, writeFileSync } from "node:fs";
import process from "node:process";
import { before, test } from "node:test";
import { fileURLToPath } from "node:url";

const ROOT = fileURLToPath(new URL("../../", import.meta.url));
const CACHE = `${ROOT}target/bundle.cache`;
/** Exit code of a daemon that is started without settings. */
const EXIT_USAGE = 2;

before(() => {
  const { status, stderr } = run(["tools/bundle.mjs"]);
  assert.equal(status, 0, stderr);
});

function run(args: readonly string[]): {
  readonly status: number | null;
  readonly stderr: string;
} {
  return spawnSync(process.execPath, args, { cwd: ROOT, encoding: "utf8" });
}

function readArguments(): string[] {
  const deployment = readFileSync(`${ROOT}deploy/system.toml`, "utf8");
  const [, command = ""] = deployment.match(/^run = "node (.*)"$/m) ?? [];
  return command.split(" ");
}

test("the deployed command starts the daemon, which requires settings", () => {
  const { status, stderr } = run(readArguments());
  assert.equal(status, EXIT_USAGE);
  assert.match(stderr, /--vm: is required/);
});

test("the deployed command accepts the compiled code", () => {
  const args = readArguments();
  const loader = readFileSync(`${ROOT}target/rhubarbwalld.cjs`, "utf8");
  const reporting = `${ROOT}target/reporting.cjs`;
  writeFileSync(
    reporting,
    `${loader}\nprocess.exit(script.cachedDataRejected ? 11 : 10);\n`,
  );
  const { status } = run([...args.slice(0, -1), reporting]);
  rmSync(reporting);
  assert.equal(status, 10);
});

for (const damaged of ["nothing of the kind", ""]) {
  test(`damaged compiled code ("${damaged}") is ignored`, () => {
    const original = readFileSync(CACHE);
    writeFileSync(CACHE, damaged);
    const { status } = run(readArguments());
    writeFileSync(CACHE, original);
    assert.equal(status, EXIT_USAGE);
  });
}
