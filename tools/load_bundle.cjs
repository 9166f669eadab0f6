/**
 * Runs the bundled daemon with the V8 code cache that its build has written.
 *
 * V8 ignores a cache of another Node.js version or other flags. The daemon then
 * starts more slowly, as it does without a cache.
 */
const { existsSync, readFileSync, writeFileSync } = require("node:fs");
const { join } = require("node:path");
const { Script } = require("node:vm");

const bundle = join(__dirname, "bundle.cjs");
const cache = join(__dirname, "bundle.cache");
const parameters = "exports, require, module, __filename, __dirname";
// "//" comments out the first line of the bundle, a hashbang.
const source = `(function (${parameters}) {//${
  readFileSync(bundle, "utf8")
}\n})`;
const script = new Script(source, {
  filename: bundle,
  ...(existsSync(cache) && { cachedData: readFileSync(cache) }),
});
if (process.env["BUNDLE_WRITES_CACHE"] !== undefined) {
  // At exit the cache also contains the functions compiled during the start.
  process.on("exit", () => writeFileSync(cache, script.createCachedData()));
}
script.runInThisContext()(exports, require, module, bundle, __dirname);
