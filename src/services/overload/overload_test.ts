import assert from "node:assert/strict";
import { test } from "node:test";
import { OverloadPolicy, runOverload } from "../../../standins/overload_run.ts";
import { createSeededRandom } from "../random/mod.ts";
import { Overload, OverloadKind, OverloadReason } from "./mod.ts";
import type { Demand } from "./mod.ts";

const WORK_MS = 200;
const TARGET_MS = 800;
const DEADLINE_MS = 2_000;
const DEMAND: Demand = {
  service: "rota",
  route: "swap",
  priority: 1,
  queueMs: 0,
  targetMs: TARGET_MS,
  remainingMs: DEADLINE_MS,
};

function createOverload(): Overload {
  const overload = new Overload(createSeededRandom(1));
  overload.recordProcessingTime(DEMAND.service, DEMAND.route, WORK_MS);
  return overload;
}

test("a request that no server would start before its deadline is refused at once", () => {
  const overload = createOverload();
  const decision = overload.evaluate({ ...DEMAND, queueMs: 2_300 }, 0);
  assert.deepEqual(decision, {
    kind: OverloadKind.Refused,
    reason: OverloadReason.CannotStart,
    excessMs: 300,
  });
});

test("a queue that lasts less than half a second causes no refusals", () => {
  const overload = createOverload();
  for (let now = 0; now < 500; now += 20) {
    const decision = overload.evaluate(
      { ...DEMAND, priority: 2, queueMs: 1_500 },
      now,
    );
    assert.equal(decision.kind, OverloadKind.Accepted);
  }
});

test("a route with short requests accepts a queue with which it responds in time", () => {
  const overload = createOverload();
  overload.recordProcessingTime(DEMAND.service, "short", 50);
  const demand = { ...DEMAND, priority: 2, queueMs: 700 };
  for (let now = 0; now < 2_000; now += 100) {
    const short = overload.evaluate({ ...demand, route: "short" }, now);
    assert.equal(short.kind, OverloadKind.Accepted);
  }
});

test("processing times above the target do not count as overload", () => {
  const overload = createOverload();
  overload.recordProcessingTime(DEMAND.service, "slow", 900);
  for (let now = 0; now < 2_000; now += 100) {
    const decision = overload.evaluate(
      { ...DEMAND, route: "slow", priority: 2, queueMs: 850 },
      now,
    );
    assert.equal(decision.kind, OverloadKind.Accepted);
  }
});

for (const seed of [1, 2, 3]) {
  test(`burst: 1.7 times the capacity for 0.4 s causes no refusals (seed ${seed})`, async () => {
    const { refused, inTime, requests } = await runOverload({
      seed,
      steps: [
        { load: 0.5, forMs: 5_000 },
        { load: 1.7, forMs: 400 },
        { load: 0.5, forMs: 5_000 },
      ],
    });
    assert.equal(refused, 0);
    assert.ok(inTime > 0.97 * requests, `${inTime} of ${requests}`);
  });

  test(`twice the capacity: urgent requests finish in time and servers stay busy (seed ${seed})`, async () => {
    const steps = [{ load: 2, forMs: 15_000 }];
    const given = { seed, steps, urgentShare: 0.4 };
    const decided = await runOverload(given);
    const open = await runOverload({
      ...given,
      policy: OverloadPolicy.BoundedQueues,
    });
    const urgent = decided.urgentInTime / decided.urgentRequests;
    assert.ok(urgent > 0.7, `${urgent} of the urgent ones`);
    assert.ok(decided.inTime > 0.85 * decided.capacity);
    assert.ok(open.inTime < 0.25 * open.capacity, "without admission control");
  });

  test(`four times the capacity: no team or priority starves (seed ${seed})`, async () => {
    const { served, requests, servedByTeam, requestsByTeam } =
      await runOverload({
        seed,
        steps: [{ load: 4, forMs: 15_000 }],
        urgentShare: 0.3,
      });
    const least = 0.25 * served / requests;
    for (const [team, count] of requestsByTeam) {
      const share = (servedByTeam.get(team) ?? 0) / count;
      assert.ok(share >= least, `${team}: ${share} of at least ${least}`);
    }
  });

  test(`1.5 s after the overload ends, no request is refused (seed ${seed})`, async () => {
    const { refusedAfter } = await runOverload({
      seed,
      steps: [{ load: 2, forMs: 6_000 }, { load: 0.6, forMs: 6_000 }],
      recoveredAt: 7_500,
    });
    assert.equal(refusedAfter, 0);
  });
}
