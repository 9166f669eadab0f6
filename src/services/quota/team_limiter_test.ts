import assert from "node:assert/strict";
import { test } from "node:test";
import { acquireUntilAborted, LimitKind } from "./team_limiter.ts";
import type { LimitDecision } from "./team_limiter.ts";

// Guards against a request that is forwarded after its caller left, and against
// a token that nobody uses.
test("a wait for a token ends when its signal aborts, and a late token is returned", async () => {
  const controller = new AbortController();
  let grant: (decision: LimitDecision) => void = () => {};
  let refunds = 0;
  const acquired = acquireUntilAborted(
    controller.signal,
    () => new Promise((resolve) => grant = resolve),
  );
  controller.abort();
  assert.equal((await acquired).kind, LimitKind.Cancelled);
  grant({ kind: LimitKind.Within, refund: () => void (refunds += 1) });
  await new Promise((resolve) => setImmediate(resolve));
  assert.equal(refunds, 1);
});

test("no token is acquired once the signal has aborted", async () => {
  const decision = await acquireUntilAborted(AbortSignal.abort(), () => {
    throw new Error("a token was requested");
  });
  assert.equal(decision.kind, LimitKind.Cancelled);
});
