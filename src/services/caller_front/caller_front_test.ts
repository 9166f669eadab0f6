import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import { SILENT_LOGGER } from "../../../standins/silent_logger.ts";
import { VirtualClock, VirtualTime } from "../../../standins/virtual_clock.ts";
import { Channel } from "../../kernel/mod.ts";
import { Idempotency, RouteAccess } from "../../model/mod.ts";
import type { Refusal, Route } from "../../model/mod.ts";
import { Admission } from "../admission/mod.ts";
import type { RequestPlan } from "../admission/mod.ts";
import { ConfigurationState } from "../configuration/mod.ts";
import type { Configuration } from "../configuration/mod.ts";
import { FreshnessKind } from "../freshness/mod.ts";
import type { Forwarding } from "../forwarding/mod.ts";
import { MemoryBudget } from "../memory_budget/mod.ts";
import { NO_MEMORY_LIMITS } from "../../model/mod.ts";
import { Metrics } from "../metrics/mod.ts";
import type { Shutdown } from "../planned_stop/shutdown.ts";
import type { CallerConnection, CallerExchange } from "./exchange.ts";
import { CallerFront } from "./mod.ts";
import type { CallerFrontDependencies } from "./mod.ts";
import { RequestOrder } from "./request_order.ts";

const REMAINING_MS = 2_000;

/** A request of the test: its route, and how long a server works on it. */
interface Work {
  readonly isIdempotent: boolean;
  readonly workMs: number;
}

/** What happened to a request, in virtual milliseconds. */
interface Run {
  readonly work: Work;
  readonly number: number;
  readonly remainingMs: number;
  readonly startedAt: number;
  endedAt: number;
}

interface Fixture {
  readonly time: VirtualTime;
  readonly front: CallerFront;
  readonly connections: Channel<CallerConnection>;
  readonly runs: Run[];
  /** Requests that were refused, by number. */
  readonly refused: Map<number, Refusal>;
  open(works: readonly Work[]): void;
}

function createRoute(idempotency: Idempotency): Route {
  return {
    id: idempotency,
    method: "*",
    path: `/${idempotency}`,
    service: "rota",
    access: RouteAccess.Open,
    idempotency,
    deadlineMs: 60_000,
    floor: 0.5,
    revision: 0,
  };
}

function createAdmission(clock: VirtualClock): Admission {
  const state = new ConfigurationState();
  for (const idempotency of Object.values(Idempotency)) {
    state.routeTable.set(createRoute(idempotency));
  }
  return new Admission({
    clock,
    configuration: { state } as Configuration,
    freshness: {
      getReport: () => ({ kind: FreshnessKind.ConfirmedByLog, ageMs: 0 }),
      isFresh: () => true,
      recordLogRead: () => {},
      recordLogFailure: () => {},
    },
    shutdown: { hasTimeFor: () => true } as unknown as Shutdown,
    random: () => 0,
  });
}

function createFixture(pipelineLimit: number): Fixture {
  const time = new VirtualTime();
  const clock = new VirtualClock(time);
  const connections = new Channel<CallerConnection>();
  const works: Work[] = [];
  const runs: Run[] = [];
  const refused = new Map<number, Refusal>();
  const serve = async (plan: RequestPlan): Promise<undefined> => {
    const number = Number(plan.attempt);
    const work = works[number];
    if (work === undefined) return;
    const startedAt = clock.now();
    const remainingMs = plan.deadlineAt - startedAt;
    const run = { work, number, remainingMs, startedAt, endedAt: Infinity };
    runs.push(run);
    await clock.sleep(work.workMs);
    run.endedAt = clock.now();
  };
  const front = new CallerFront({
    clock,
    server: { listConnections: () => connections },
    admission: createAdmission(clock),
    startup: { waitUntilServing: () => Promise.resolve() },
    memory: new MemoryBudget({
      clock,
      limits: NO_MEMORY_LIMITS,
      metrics: new Metrics(),
      logger: SILENT_LOGGER,
    }),
    forwarding: {
      serve,
      startWait: () => ({ close: () => {} }),
    } as unknown as Forwarding,
    metrics: new Metrics(),
    logger: SILENT_LOGGER,
    pipelineLimit,
  } as unknown as CallerFrontDependencies);
  return {
    time,
    front,
    connections,
    runs,
    refused,
    open: (added) => {
      works.push(...added);
      connections.send(createConnection(works, refused, clock.now()));
    },
  };
}

function createConnection(
  works: readonly Work[],
  refused: Map<number, Refusal>,
  receivedAt: number,
): CallerConnection {
  const requests = new Channel<CallerExchange>();
  const order = new RequestOrder();
  for (const [number, { isIdempotent }] of works.entries()) {
    const route = isIdempotent
      ? Idempotency.Idempotent
      : Idempotency.NonIdempotent;
    requests.send({
      head: {
        method: "GET",
        target: `/${route}`,
        headers: [],
        receivedAt,
        attempt: String(number),
        remainingMs: REMAINING_MS,
      },
      signal: new AbortController().signal,
      tryPassOn: () => order.tryPassOn() !== undefined,
      sendRefusal: (refusal: Refusal) => {
        refused.set(number, refusal);
        return Promise.resolve();
      },
    } as Partial<CallerExchange> as CallerExchange);
  }
  requests.close();
  return { peer: "caller", listExchanges: () => requests };
}

test("four idempotent requests in one write take the time of one", async () => {
  const { time, front, runs, open } = createFixture(8);
  void front.run();
  open(Array.from({ length: 4 }, () => ({ isIdempotent: true, workMs: 900 })));
  await time.advance(1_000);
  assert.deepEqual(runs.map(({ endedAt }) => endedAt), [900, 900, 900, 900]);
  assert.deepEqual(
    runs.map(({ remainingMs }) => remainingMs),
    [2_000, 2_000, 2_000, 2_000],
  );
});

test("requests in one write have the time left since they were read", async () => {
  const { time, front, runs, refused, open } = createFixture(8);
  void front.run();
  open(Array.from({ length: 4 }, () => ({ isIdempotent: false, workMs: 900 })));
  await time.advance(10_000);
  assert.deepEqual(
    runs.map(({ remainingMs }) => remainingMs),
    [2_000, 1_100, 200],
  );
  assert.deepEqual([...refused.keys()], [3]);
  assert.equal(refused.get(3)?.run, "not run");
});

/** Whether two runs overlap in time. */
function isOverlap(first: Run, second: Run): boolean {
  return first.startedAt < second.endedAt && second.startedAt < first.endedAt;
}

const WORKS = fc.array(
  fc.record({
    isIdempotent: fc.boolean(),
    workMs: fc.integer({ min: 1, max: 30 }),
  }),
  { minLength: 1, maxLength: 24 },
);

test("for any requests, order, limit and exclusion are kept", async () => {
  await fc.assert(
    fc.asyncProperty(
      WORKS,
      fc.integer({ min: 1, max: 5 }),
      async (works, limit) => {
        const { time, front, runs, open } = createFixture(limit);
        void front.run();
        open(works);
        await time.advance(works.length * 30);
        assert.deepEqual(runs.map(({ number }) => number), [...works.keys()]);
        for (const run of runs) {
          const beside = runs.filter((other) =>
            other !== run && isOverlap(run, other)
          );
          const running = beside.filter((other) =>
            other.startedAt <= run.startedAt
          );
          assert.ok(running.length < limit);
          if (!run.work.isIdempotent) assert.deepEqual(beside, []);
        }
      },
    ),
    { seed: 20_261_206, numRuns: 200 },
  );
});
