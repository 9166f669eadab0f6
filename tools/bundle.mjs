/**
 * Bundles the daemon into one file for deployment, with its compiled code.
 *
 * Every VM pays for a start again after each kill. From some 400 modules it costs
 * 0.6 s of processor time, from one file half of that, and a quarter less with
 * code that is compiled already.
 */
import { spawnSync } from "node:child_process";
import { copyFileSync, existsSync, readFileSync, rmSync } from "node:fs";
import process from "node:process";
import { fileURLToPath } from "node:url";
import { build } from "esbuild";

const LOADER = "target/rhubarbwalld.cjs";
const CACHE = "target/bundle.cache";

await build({
  entryPoints: ["src/daemon/main.ts"],
  outfile: "target/bundle.cjs",
  bundle: true,
  platform: "node",
  target: "node20",
  format: "cjs",
  minifySyntax: true,
  minifyWhitespace: true,
  sourcemap: "linked",
  logLevel: "warning",
  alias: {
    // Its tables of emojis take a tenth of a start; help is plain text.
    "string-width": fileURLToPath(new URL("text_width.mjs", import.meta.url)),
  },
  define: { "import.meta.url": "bundleUrl" },
  banner: {
    js: 'const bundleUrl = require("node:url").pathToFileURL(__filename).href;',
  },
});
copyFileSync("tools/load_bundle.cjs", LOADER);
writeCache();

/** Runs the daemon without settings, which ends it once all is loaded. */
function writeCache() {
  rmSync(CACHE, { force: true });
  const { stderr } = spawnSync(process.execPath, [...readFlags(), LOADER], {
    env: { BUNDLE_WRITES_CACHE: "1" },
    encoding: "utf8",
  });
  if (!existsSync(CACHE)) throw new Error(`no compiled code: ${stderr}`);
}

/** Reads the flags of the deployment; V8 takes only code made with the same. */
function readFlags() {
  const deployment = readFileSync("deploy/system.toml", "utf8");
  const [, command] = deployment.match(/^run = "node (.*)"$/m) ?? [];
  if (command === undefined) throw new Error("deploy/system.toml runs no node");
  return command.split(" ").filter((word) => word.startsWith("--"));
}
