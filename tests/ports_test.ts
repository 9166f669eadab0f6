import assert from "node:assert/strict";
import { spawn } from "node:child_process";
import { once } from "node:events";
import process from "node:process";
import { test } from "node:test";

const PORTS = 300;
const SCRIPT = `
  import { findFreePorts } from ${
  JSON.stringify(new URL("../scripts/processes.js", import.meta.url).href)
};
  process.stdout.write(JSON.stringify(await findFreePorts(${PORTS})));
  process.stdin.resume();
`;

// Guards against concurrent fleets whose daemons get the same port.
test("processes that search for ports concurrently find different ones", async () => {
  const children = [1, 2].map(() =>
    spawn(process.execPath, ["--input-type=module", "-e", SCRIPT], {
      stdio: ["pipe", "pipe", "inherit"],
    })
  );
  try {
    const found = await Promise.all(children.map(async ({ stdout }) => {
      const [chunk] = await once(stdout, "data") as [Buffer];
      return JSON.parse(chunk.toString()) as number[];
    }));
    const ports = found.flat();
    assert.equal(new Set(ports).size, 2 * PORTS);
  } finally {
    for (const child of children) child.stdin.end();
    await Promise.all(children.map((child) => once(child, "exit")));
  }
});
