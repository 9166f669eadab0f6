import assert from "node:assert/strict";
import { spawnSync } from "node:child_process";
import process from "node:process";
import { test } from "node:test";

const MODULE = new URL("./bounded_output.js", import.meta.url).href;

/** Runs a script with an output to standard output; returns what it wrote. */
function runScript(body: string): string {
  const script = `
    import { BoundedOutput } from ${JSON.stringify(MODULE)};
    const output = new BoundedOutput(1);
    ${body}`;
  const args = ["--input-type=module", "-e", script];
  return spawnSync(process.execPath, args, { encoding: "utf8" }).stdout;
}

// Guards against the loss of the lines that say why a process ended.
test("lines that are buffered when the process exits are written", () => {
  const written = runScript(`
    output.write("first\\n");
    output.write("last\\n");
    process.exit(0);`);
  assert.equal(written, "first\nlast\n");
});

// Guards against a write for each line, and against lines out of order.
test("lines are written together and in order", () => {
  const lines = Array.from(
    { length: 5_000 },
    (_line, index) => `line ${index}`,
  );
  const written = runScript(`
    for (let index = 0; index < 5000; index += 1) {
      output.write("line " + index + "\\n");
    }
    setTimeout(() => {}, 400);`);
  assert.equal(written, lines.join("\n") + "\n");
});
