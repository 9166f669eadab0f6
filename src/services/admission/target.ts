/**
 * Checks request targets, so that no unusual spelling of a path bypasses a
 * route.
 */

/** Returns the path of a request target; undefined if it is unsafe to match. */
export function parsePath(target: string): string | undefined {
  if (!target.startsWith("/")) return undefined;
  if (/[#\s\\]/.test(target)) return undefined;
  return target.split("?", 1)[0] ?? "";
}

/**
 * Returns the path that a server may see if it normalizes `path`: escaped
 * slashes and dots decoded, empty segments removed, dot segments resolved.
 *
 * A request is refused if its normalized path belongs to another route than its
 * path as sent; otherwise `/open/../private` would bypass the access rules of
 * the private route.
 */
export function resolveNormalizedPath(path: string): string {
  const decoded = path
    .replace(/%2f|%5c/gi, "/")
    .replace(/%2e/gi, ".");
  const parts: string[] = [];
  const segments = decoded.split("/");
  for (const segment of segments) {
    if (segment === "..") parts.pop();
    else if (segment !== "." && segment !== "") parts.push(segment);
  }
  const last = segments.at(-1) ?? "";
  const isDirectory = last === "" || last === "." || last === "..";
  const joined = `/${parts.join("/")}`;
  return isDirectory && parts.length > 0 ? `${joined}/` : joined;
}
