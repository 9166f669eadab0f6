import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import { parsePath, resolveNormalizedPath } from "./target.ts";

const PATHS: readonly (readonly [path: string, normalized: string])[] = [
  ["/a/b", "/a/b"],
  ["/a//b", "/a/b"],
  ["/a/./b/", "/a/b/"],
  ["/open/../private/x", "/private/x"],
  ["/open/%2e%2E/private/x", "/private/x"],
  ["/open%2f..%5cprivate", "/private"],
  ["/../..", "/"],
  ["/a/..", "/"],
  ["/a/b/..", "/a/"],
];

for (const [path, normalized] of PATHS) {
  // Guards against a path that reaches a route under another spelling.
  test(`the normalized path of ${path} is ${normalized}`, () => {
    assert.equal(resolveNormalizedPath(path), normalized);
  });
}

test("a path is returned as it was sent, without the query", () => {
  assert.equal(parsePath("/a//%2e/b?c=/../"), "/a//%2e/b");
  assert.equal(parsePath("/a\\b"), undefined);
  assert.equal(parsePath("a"), undefined);
});

test("normalizing a normalized path changes nothing", () => {
  const segment = fc.constantFrom("a", "b", "", ".", "..", "%2e", "%2f");
  fc.assert(
    fc.property(fc.array(segment, { maxLength: 8 }), (segments) => {
      const normalized = resolveNormalizedPath(`/${segments.join("/")}`);
      assert.equal(resolveNormalizedPath(normalized), normalized);
      assert.doesNotMatch(normalized, /\/\/|\/\.\.?(\/|$)|%2e|%2f/i);
    }),
    { seed: 7, numRuns: 300 },
  );
});
