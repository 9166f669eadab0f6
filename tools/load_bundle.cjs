/**
 * Runs the bundled daemon from the code that V8 compiled when it was built.
 *
 * A cache that is missing, or made by another version of Node.js or with other
 * flags, is left aside by V8; the daemon then starts as it would without.
 */
const { existsSync, readFileSync, writeFileSync } = require("node:fs");
const { join } = require("node:path");
const { Script } = require("node:vm");

const bundle = join(__dirname, "bundle.cjs");
const cache = join(__dirname, "bundle.cache");
const parameters = "exports, require, module, __filename, __dirname";
// The comment covers the first line, which names the interpreter.
const source = `(function (${parameters}) {//${
  readFileSync(bundle, "utf8")
}\n})`;
const script = new Script(source, {
  filename: bundle,
  ...(existsSync(cache) && { cachedData: readFileSync(cache) }),
});
if (process.env["BUNDLE_WRITES_CACHE"] !== undefined) {
  // At the end, functions are compiled that only the start calls.
  process.on("exit", () => writeFileSync(cache, script.createCachedData()));
}
script.runInThisContext()(exports, require, module, bundle, __dirname);
