/**
 * Checks request targets, so that no unusual spelling of a path bypasses a
 * route.
 */

/** Returns the path of a request target; undefined if it is unsafe to match. */
export function parsePath(target: string): string | undefined {
  if (!target.startsWith("/")) return undefined;
  const path = target.split("?", 1)[0] ?? "";
  if (/%2f|%5c|%2e|%00|\\|\/\//i.test(path)) return undefined;
  const segments = path.split("/");
  if (segments.includes(".") || segments.includes("..")) return undefined;
  if (/[#\s]/.test(target)) return undefined;
  return path;
}
