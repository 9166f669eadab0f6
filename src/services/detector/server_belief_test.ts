import assert from "node:assert/strict";
import { test } from "node:test";
import { ServerBelief } from "./server_belief.ts";

/** Failure probability above which other servers are preferred. */
const AVOIDED_CHANCE = 0.5;
const SLOW = { good: 0, failed: 0, slow: 1 };
const FAILED = { good: 0, failed: 1, slow: 0 };

test("a path that is lost for one VM in five: the others still use the server", () => {
  const belief = new ServerBelief(0);
  // Six of 32 VMs notice the loss of their own path within some seconds.
  for (let vm = 0; vm < 6; vm += 1) belief.recordOthers(SLOW, vm * 800);
  assert.ok(belief.getChance(4_000) < AVOIDED_CHANCE);
});

test("a path that is lost for this VM: only this VM avoids the server", () => {
  const belief = new ServerBelief(0);
  belief.recordOwn(SLOW, 0);
  belief.recordOwn(SLOW, 300);
  assert.ok(belief.getChance(300) > AVOIDED_CHANCE);
  assert.ok(belief.getSharedChance(300) < AVOIDED_CHANCE);
});

test("a hanging server: timeouts on many VMs suffice to avoid it", () => {
  const belief = new ServerBelief(0);
  for (let vm = 0; vm < 8; vm += 1) belief.recordOthers(SLOW, vm * 100);
  assert.ok(belief.getChance(800) > AVOIDED_CHANCE);
});

test("errors of a server count regardless of which VM observes them", () => {
  const belief = new ServerBelief(0);
  belief.recordOthers(FAILED, 0);
  belief.recordOthers(FAILED, 50);
  assert.ok(belief.getChance(50) > AVOIDED_CHANCE);
});

test("many slow responses of one VM count as one", () => {
  const one = new ServerBelief(0);
  const many = new ServerBelief(0);
  one.recordOthers(SLOW, 0);
  many.recordOthers({ ...SLOW, slow: 8 }, 0);
  assert.equal(one.getChance(0), many.getChance(0));
});
