import assert from "node:assert/strict";
import { test } from "node:test";
import * as fc from "fast-check";
import { createSeededRandom } from "../random/mod.ts";
import { Metrics } from "../metrics/mod.ts";
import { VerdictKind } from "../overload/policy.ts";
import type { PolicyRequest, PolicyVerdict } from "../overload/policy.ts";
import { SILENT_LOGGER } from "../../../standins/silent_logger.ts";
import { VirtualClock, VirtualTime } from "../../../standins/virtual_clock.ts";
import { ViewKind } from "./capacity_view.ts";
import type { CapacityView } from "./capacity_view.ts";
import { ClassShares } from "./class_shares.ts";
import {
  computeAheadMs,
  computeLateAheadMs,
  computeStartLimitMs,
} from "./assessment.ts";
import type { Assessment } from "./assessment.ts";
import { computeQueueMs } from "./capacity_view.ts";
import { evaluateDemand, ScarcityKind } from "./decision.ts";
import { Scarcity } from "./mod.ts";
import { computeRetryDelayMs } from "./retry_delay.ts";

const REQUEST: PolicyRequest = {
  id: "r1",
  service: "rota",
  route: "swap",
  team: "chaudhry",
  priority: 1,
  targetMs: 1_000,
  arrivedAt: 0,
  deadlineAt: 4_000,
};
const VIEW: CapacityView = {
  kind: ViewKind.Fleet,
  slots: 10,
  processingMs: 200,
  ownInFlight: 0,
  othersInFlight: 0,
  othersWaitingMs: [0, 0, 0, 0],
  shedRatio: 0,
  ageMs: 0,
};

/** Creates a policy that always has the view that `state` holds. */
function createPolicy(
  time: VirtualTime,
  state: { view: CapacityView },
): Scarcity {
  const policy = new Scarcity({
    clock: new VirtualClock(time),
    random: createSeededRandom(1),
    logger: SILENT_LOGGER,
    metrics: new Metrics(),
    getView: () => state.view,
  });
  const { service, route } = REQUEST;
  policy.recordProcessed({ service, route, latencyMs: 200 });
  return policy;
}

/** Admits a request; the verdict appears in the result once there is one. */
function startAdmit(
  policy: Scarcity,
  request: PolicyRequest,
  signal = new AbortController().signal,
): { verdict?: PolicyVerdict } {
  const result: { verdict?: PolicyVerdict } = {};
  void policy.admit(request, signal).then((verdict) => {
    result.verdict = verdict;
  });
  return result;
}

test("with free slots a request starts at once, whatever its priority", async () => {
  const time = new VirtualTime();
  const policy = createPolicy(time, { view: VIEW });
  for (const priority of [0, 1, 2, 7]) {
    const result = startAdmit(policy, { ...REQUEST, priority });
    await time.advance(0);
    assert.equal(result.verdict?.kind, VerdictKind.Start);
  }
});

test("a request waits while the queue is too long, and starts when it is short", async () => {
  const time = new VirtualTime();
  const state = { view: { ...VIEW, othersInFlight: 28 } };
  const policy = createPolicy(time, state);
  const result = startAdmit(policy, REQUEST);
  await time.advance(100);
  assert.deepEqual(result, {});
  assert.ok((policy.sumBacklog().get("rota")?.[1] ?? 0) > 0);
  state.view = VIEW;
  await time.advance(400);
  assert.equal(result.verdict?.kind, VerdictKind.Start);
  assert.equal(policy.sumBacklog().size, 0);
});

test("a request that can't be served before its deadline is refused at once", async () => {
  const time = new VirtualTime();
  const view = { ...VIEW, othersInFlight: 300 };
  const result = startAdmit(createPolicy(time, { view }), REQUEST);
  await time.advance(0);
  assert.equal(result.verdict?.kind, VerdictKind.Refuse);
});

test("a waiting request is refused as soon as its deadline can't be met", async () => {
  const time = new VirtualTime();
  const state = { view: { ...VIEW, othersInFlight: 28 } };
  const result = startAdmit(createPolicy(time, state), REQUEST);
  await time.advance(100);
  state.view = { ...VIEW, othersInFlight: 300 };
  await time.advance(40);
  assert.equal(result.verdict?.kind, VerdictKind.Refuse);
});

test("a waiting request whose caller disconnects leaves the queue", async () => {
  const time = new VirtualTime();
  const view = { ...VIEW, othersInFlight: 28 };
  const policy = createPolicy(time, { view });
  const caller = new AbortController();
  const result = startAdmit(policy, REQUEST, caller.signal);
  await time.advance(100);
  caller.abort();
  await time.advance(0);
  assert.equal(result.verdict?.kind, VerdictKind.Cancelled);
  assert.equal(policy.sumBacklog().size, 0);
});

test("without reports of other VMs, requests start unless servers report queues", async () => {
  const time = new VirtualTime();
  const local = { ...VIEW, kind: ViewKind.Local as const, ageMs: Infinity };
  const state = { view: { ...local, reportedQueueMs: 0 } };
  const policy = createPolicy(time, state);
  const first = startAdmit(policy, REQUEST);
  await time.advance(0);
  assert.equal(first.verdict?.kind, VerdictKind.Start);
  state.view = { ...local, reportedQueueMs: 900 };
  const second = startAdmit(policy, { ...REQUEST, priority: 2 });
  await time.advance(0);
  assert.notEqual(second.verdict?.kind, VerdictKind.Start);
});

test("a caller that repeats a refused request at once gets the same answer", async () => {
  const time = new VirtualTime();
  const view = { ...VIEW, othersInFlight: 100 };
  const kinds: (VerdictKind | undefined)[] = [];
  for (const _vm of [1, 2]) {
    const policy = createPolicy(time, { view });
    for (let attempt = 0; attempt < 5; attempt += 1) {
      const result = startAdmit(policy, REQUEST);
      await time.advance(0);
      kinds.push(result.verdict?.kind);
    }
  }
  assert.deepEqual(new Set(kinds), new Set([VerdictKind.Refuse]));
});

test("urgent callers that were refused return before others", () => {
  const inputs = { waitMs: 500, workMs: 200, admittedRatio: 0.5, minMs: 0 };
  const random = createSeededRandom(1);
  const means = [0, 2].map((level) => {
    const delays = Array.from(
      { length: 200 },
      () => computeRetryDelayMs({ level, ...inputs }, random),
    );
    return delays.reduce((sum, delay) => sum + delay, 0) / delays.length;
  });
  assert.ok((means[0] ?? 0) < (means[1] ?? 0));
});

test("property: more capacity never refuses or delays what less would start", () => {
  const rank = {
    [ScarcityKind.Start]: 0,
    [ScarcityKind.Wait]: 1,
    [ScarcityKind.Refuse]: 2,
  };
  fc.assert(fc.property(
    fc.record({
      slots: fc.integer({ min: 1, max: 200 }),
      more: fc.integer({ min: 0, max: 200 }),
      others: fc.integer({ min: 0, max: 600 }),
      waitingMs: fc.integer({ min: 0, max: 200_000 }),
      level: fc.integer({ min: 0, max: 2 }),
      workMs: fc.integer({ min: 1, max: 2_000 }),
      targetMs: fc.integer({ min: 1, max: 4_000 }),
      timeoutMs: fc.integer({ min: 1, max: 10_000 }),
      draw: fc.double({ min: 0, max: 1, noNaN: true }),
      isExempt: fc.boolean(),
    }),
    (input) => {
      const evaluate = (slots: number): number => {
        const assessment: Assessment = {
          view: {
            ...VIEW,
            slots,
            processingMs: input.workMs,
            othersInFlight: input.others,
            othersWaitingMs: [0, input.waitingMs, 0, 0],
          },
          shares: new ClassShares(),
          ownWaitingMs: [0, 0, 0, 0],
          now: 0,
        };
        const marginMs = input.workMs / 4;
        const slackMs = input.targetMs - input.workMs - marginMs;
        const decision = evaluateDemand({
          queueMs: computeQueueMs(assessment.view),
          startLimitMs: computeStartLimitMs(assessment, input.level, slackMs),
          aheadMs: computeAheadMs(assessment, input.level),
          lateAheadMs: computeLateAheadMs(assessment),
          workMs: input.workMs,
          marginMs,
          targetLeftMs: input.targetMs,
          remainingMs: input.timeoutMs,
          teamFactor: 1,
          draw: input.draw,
          isExempt: input.isExempt,
        });
        return rank[decision.kind];
      };
      assert.ok(evaluate(input.slots + input.more) <= evaluate(input.slots));
    },
  ));
});

test("property: no request waits past its deadline, and each gets one verdict", async () => {
  await fc.assert(
    fc.asyncProperty(
      fc.array(
        fc.record({
          priority: fc.integer({ min: 0, max: 3 }),
          targetMs: fc.integer({ min: 50, max: 2_000 }),
          timeoutMs: fc.integer({ min: 50, max: 3_000 }),
          others: fc.integer({ min: 0, max: 60 }),
        }),
        { maxLength: 20 },
      ),
      async (inputs) => {
        const time = new VirtualTime();
        const state = { view: VIEW };
        const policy = createPolicy(time, state);
        const results = [];
        for (const { priority, targetMs, timeoutMs, others } of inputs) {
          state.view = { ...VIEW, othersInFlight: others };
          const deadlineAt = time.now + timeoutMs;
          const result = startAdmit(policy, {
            ...REQUEST,
            priority,
            targetMs,
            arrivedAt: time.now,
            deadlineAt,
          });
          results.push({ result, deadlineAt });
          await time.advance(40);
        }
        state.view = { ...VIEW, othersInFlight: 60 };
        for (let step = 0; step < 80; step += 1) {
          await time.advance(40);
          for (const { result, deadlineAt } of results) {
            if (time.now <= deadlineAt + 40) continue;
            assert.notEqual(result.verdict, undefined);
          }
        }
      },
    ),
    { numRuns: 30 },
  );
});
