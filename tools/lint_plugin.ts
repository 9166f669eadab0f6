/**
 * Lint rules of this project: function names begin with a listed verb, and
 * imports point only in the direction that docs/DESIGN.md gives.
 */
import { VERBS } from "./verbs.ts";

/** Function names that a library or the language prescribes. */
const PRESCRIBED_NAMES = new Set([
  "constructor",
  "keepSocketAlive",
  "reuseSocket",
  "enqueue",
  "dequeue",
  "filter",
  "next",
  "return",
  "throw",
  "main",
  "now",
  "wallNow",
  "_write",
]);

/** Other folders of src/ that each folder may import from. */
const ALLOWED_IMPORTS: Record<string, readonly string[]> = {
  kernel: ["model"],
  model: [],
  settings: ["model"],
  services: ["kernel", "model", "settings"],
  protocols: ["kernel", "model", "settings", "services"],
  daemon: ["kernel", "model", "settings", "services", "protocols"],
  ctl: ["model", "settings", "protocols", "services"],
};

/** Packages that encode or transport messages; decisions don't import them. */
const ENCODING_PACKAGES = new Set([
  "ws",
  "msgpackr",
  "node:http",
  "node:net",
  "zod",
]);

/** Folders in which an encoding package may be imported. */
const ENCODING_FOLDERS = new Set(["protocols", "settings", "daemon", "ctl"]);

/** Names of the users' platform; only the adapter in platform/ may use them. */
const PLATFORM_NAMES =
  /^(rhubarbwall-(attempt-id|deadline-remaining|server-load|not-executed|tenant|expected-instance|response-signature|instance-id)|keyed\.|\/?log-(append|read|newest|trim|join|leave|commit|owners)|\/resolve|\/readiness|PathPrefix|HealthCheckPath|TrafficSplit|ColdRemaining|ApiKeys|RatePerS)/i;

/** Files of src/ that may import the adapter. */
const ADAPTER_IMPORTERS = /\/src\/daemon\/wiring\//;

function findSourceFolder(filename: string): string | undefined {
  return /\/src\/([^/]+)\//.exec(filename)?.[1];
}

function hasListedVerb(name: string): boolean {
  const first = /^[a-z]+/.exec(name)?.[0];
  return first !== undefined && VERBS.includes(first);
}

function checkName(
  context: Deno.lint.RuleContext,
  node: Deno.lint.Node,
  name: string | undefined,
): void {
  if (name === undefined || PRESCRIBED_NAMES.has(name)) return;
  if (hasListedVerb(name)) return;
  context.report({
    node,
    message: `function name "${name}" must begin with a verb of tools/verbs.ts`,
  });
}

function findImportViolation(
  folder: string,
  source: string,
  isTest: boolean,
): string | undefined {
  if (isTest) return undefined;
  if (ENCODING_PACKAGES.has(source) && !ENCODING_FOLDERS.has(folder)) {
    return `${folder} must not import the encoding package ${source}`;
  }
  const target =
    /^(?:\.\.\/)+(kernel|model|settings|services|protocols|daemon|ctl)\//
      .exec(source)?.[1];
  if (target === undefined || target === folder) return undefined;
  if (ALLOWED_IMPORTS[folder]?.includes(target)) return undefined;
  return `${folder} must not import from ${target}`;
}

const plugin: Deno.lint.Plugin = {
  name: "rhubarbwall",
  rules: {
    "function-verbs": {
      create(context) {
        return {
          FunctionDeclaration(node) {
            checkName(context, node, node.id?.name);
          },
          MethodDefinition(node) {
            if (node.kind !== "method") return;
            if (node.key.type === "Identifier") {
              checkName(context, node, node.key.name);
            }
            if (node.key.type === "PrivateIdentifier") {
              checkName(context, node, node.key.name);
            }
          },
        };
      },
    },
    "platform-names": {
      create(context) {
        if (findSourceFolder(context.filename) === undefined) return {};
        return {
          Literal(node) {
            if (typeof node.value !== "string") return;
            if (!PLATFORM_NAMES.test(node.value)) return;
            const message = `"${node.value}" may be used only in platform/`;
            context.report({ node, message });
          },
          ImportDeclaration(node) {
            if (!node.source.value.includes("/platform/")) return;
            if (ADAPTER_IMPORTERS.test(context.filename)) return;
            const message = "only src/daemon/wiring/ may import platform/";
            context.report({ node, message });
          },
        };
      },
    },
    "import-direction": {
      create(context) {
        const folder = findSourceFolder(context.filename);
        if (folder === undefined) return {};
        const isTest = context.filename.endsWith("_test.ts");
        return {
          ImportDeclaration(node) {
            const fault = findImportViolation(
              folder,
              node.source.value,
              isTest,
            );
            if (fault !== undefined) context.report({ node, message: fault });
          },
        };
      },
    },
  },
};

export default plugin;
