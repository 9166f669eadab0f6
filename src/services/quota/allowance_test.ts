import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import { Allowance } from "./allowance.ts";

const WINDOW_MS = 5_000;

/** Admits what the allowance has tokens for; returns the times in ms. */
function listAdmitted(
  limits: { ratePerSecond: number; burst: number; windowMs: number },
  gapsMs: readonly number[],
): number[] {
  const allowance = new Allowance(limits, 60_000);
  const admitted: number[] = [];
  let now = 0;
  for (const gapMs of gapsMs) {
    now += gapMs;
    allowance.addTime(limits, gapMs / 1_000);
    if (allowance.level < 1) continue;
    allowance.take(1);
    admitted.push(now);
  }
  return admitted;
}

test("whatever is asked when, no window holds more than rate and burst", () => {
  const gaps = fc.array(
    fc.oneof(fc.nat(5), fc.nat(400), fc.integer({ min: 400, max: 6_000 })),
    { maxLength: 400 },
  );
  fc.assert(fc.property(
    fc.integer({ min: 1, max: 40 }),
    fc.integer({ min: 1, max: 60 }),
    gaps,
    (ratePerSecond, burst, gapsMs) => {
      const limits = { ratePerSecond, burst, windowMs: WINDOW_MS };
      const times = listAdmitted(limits, gapsMs);
      const most = ratePerSecond * WINDOW_MS / 1_000 + burst;
      times.forEach((end, index) => {
        const first = times.findIndex((at) => at > end - WINDOW_MS);
        assert.ok(index - first + 1 <= most + 1e-9);
      });
    },
  ));
});

test("a whole burst is admitted at once after a pause", () => {
  const limits = { ratePerSecond: 10, burst: 30, windowMs: WINDOW_MS };
  const gaps = Array.from({ length: 40 }, () => 0);
  assert.equal(listAdmitted(limits, gaps).length, 30);
});

test("a steady team gets a part of its burst in every window", () => {
  const limits = { ratePerSecond: 10, burst: 10, windowMs: WINDOW_MS };
  const gaps = Array.from({ length: 440 }, () => 1_000 / 11);
  assert.ok(listAdmitted(limits, gaps).length >= 430);
});
