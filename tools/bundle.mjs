/**
 * Bundles the daemon into one file for deployment, with a V8 code cache.
 *
 * A VM starts the daemon again after each kill. A start from about 400 modules
 * takes 0.6 s of CPU time, one from a single file half of that, and the code
 * cache saves another quarter.
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
    // Its emoji tables take a tenth of the start time; help is plain text.
    "string-width": fileURLToPath(new URL("text_width.mjs", import.meta.url)),
  },
  define: { "import.meta.url": "bundleUrl" },
  banner: {
    js: 'const bundleUrl = require("node:url").pathToFileURL(__filename).href;',
  },
});
copyFileSync("tools/load_bundle.cjs", LOADER);
writeCache();

/** Writes the cache by a run without settings, which exits after loading. */
function writeCache() {
  rmSync(CACHE, { force: true });
  const { stderr } = spawnSync(process.execPath, [...readFlags(), LOADER], {
    env: { BUNDLE_WRITES_CACHE: "1" },
    encoding: "utf8",
  });
  if (!existsSync(CACHE)) throw new Error(`no code cache written: ${stderr}`);
}

/** Reads the deployment's flags; V8 rejects a cache made with other flags. */
function readFlags() {
  const deployment = readFileSync("deploy/system.toml", "utf8");
  const [, command] = deployment.match(/^run = "node (.*)"$/m) ?? [];
  if (command === undefined) {
    throw new Error('deploy/system.toml has no line run = "node ..."');
  }
  return command.split(" ").filter((word) => word.startsWith("--"));
}
