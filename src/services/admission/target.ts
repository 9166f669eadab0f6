/** Checks the target of a request, so that routes can't be stepped around. */

/** Path of a target that is safe to match; undefined when it is not. */
export function parsePath(target: string): string | undefined {
  if (!target.startsWith("/")) return undefined;
  const path = target.split("?", 1)[0] ?? "";
  if (/%2f|%5c|%2e|%00|\\|\/\//i.test(path)) return undefined;
  const segments = path.split("/");
  if (segments.includes(".") || segments.includes("..")) return undefined;
  if (/[#\s]/.test(target)) return undefined;
  return path;
}
