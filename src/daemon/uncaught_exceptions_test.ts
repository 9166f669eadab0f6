import assert from "node:assert/strict";
import { test } from "node:test";
import { ExceptionAction, UncaughtExceptions } from "./uncaught_exceptions.ts";

// Guards against a process that ends, with all its requests, after one error.
test("a process goes on after single exceptions", () => {
  const exceptions = new UncaughtExceptions();
  for (let at = 0; at < 600_000; at += 1_000) {
    assert.equal(exceptions.record(at), ExceptionAction.Continue);
  }
});

test("a process stops as planned when exceptions go on", () => {
  const exceptions = new UncaughtExceptions();
  const actions = Array.from(
    { length: 20 },
    (_exception, index) => exceptions.record(index * 100),
  );
  assert.equal(actions.at(-1), ExceptionAction.Stop);
  assert.equal(actions.at(-2), ExceptionAction.Continue);
});
