import assert from "node:assert/strict";
import { test } from "node:test";
import { SILENT_LOGGER } from "../../../standins/silent_logger.ts";
import { VirtualClock, VirtualTime } from "../../../standins/virtual_clock.ts";
import {
  FailureKind,
  Idempotency,
  OutcomeKind,
  PresetName,
  RefusalKind,
  RouteAccess,
  RunState,
  ServerPhase,
  Step,
} from "../../model/mod.ts";
import type {
  AttemptOutcome,
  Refusal,
  Route,
  Server,
} from "../../model/mod.ts";
import { createRefusal } from "../admission/mod.ts";
import type { RequestPlan } from "../admission/mod.ts";
import type { CallerExchange } from "../caller_front/exchange.ts";
import { Configuration } from "../configuration/mod.ts";
import { EjectionState } from "../detector/mod.ts";
import type { Detector } from "../detector/mod.ts";
import { Dispatch } from "../dispatch/mod.ts";
import { FreshnessKind } from "../freshness/mod.ts";
import type { LogFields } from "../logging/mod.ts";
import { MemoryBudget } from "../memory_budget/mod.ts";
import { NO_MEMORY_LIMITS } from "../../model/mod.ts";
import { Metrics } from "../metrics/mod.ts";
import { Overload } from "../overload/mod.ts";
import { Shutdown } from "../planned_stop/shutdown.ts";
import { createSeededRandom } from "../random/mod.ts";
import { Selection } from "../selection/mod.ts";
import { ServerNotices } from "../server_notices/mod.ts";
import { NO_WARM_UP } from "../warm_up/mod.ts";
import { Forwarding } from "./mod.ts";
import type { ForwardingDependencies } from "./mod.ts";
import type { Attempt, UpstreamResponse } from "./upstream.ts";

const SERVER: Server = {
  id: "s1",
  service: "rota",
  host: "10.0.0.1",
  port: 80,
  failureDomain: "a",
  slots: 4,
  phase: ServerPhase.Active,
  revision: 1,
};

const ROUTE: Route = {
  id: "swaps",
  method: "*",
  path: "/swaps",
  service: "rota",
  access: RouteAccess.Open,
  idempotency: Idempotency.NonIdempotent,
  deadlineMs: 5_000,
  floor: 0.5,
  revision: 1,
};

interface Fixture {
  readonly forwarding: Forwarding;
  readonly notices: ServerNotices;
  readonly lines: { message: string; fields: LogFields | undefined }[];
  /** Attempts that were sent. */
  readonly attempts: Attempt[];
  /** Whether admitted requests may still run. */
  readonly plans: { isAllowed: boolean };
}

/** Creates a fixture; `send` responds to the attempts. */
function createFixture(
  send: (
    attempt: Attempt,
    plans: Fixture["plans"],
  ) => AttemptOutcome<UpstreamResponse> = refuseUnexpected,
): Fixture {
  const time = new VirtualTime();
  const clock = new VirtualClock(time);
  const random = createSeededRandom(1);
  const metrics = new Metrics();
  const configuration = new Configuration("cell", clock);
  configuration.setServer(SERVER);
  configuration.setServer({ ...SERVER, id: "s2", host: "10.0.0.2" });
  const notices = new ServerNotices({ clock, metrics, logger: SILENT_LOGGER });
  const detector: Partial<Detector> = {
    recordStart: (server) => ({ server, startedAt: 0, isSlow: false }),
    recordEnd: () => {},
    getEjectionState: () => EjectionState.Admitted,
    isSuspect: () => false,
    getFailureProbability: () => 0,
    getAdmittedMs: () => Infinity,
  };
  const overload = new Overload(random);
  const plans = { isAllowed: true };
  const lines: Fixture["lines"] = [];
  const attempts: Attempt[] = [];
  const admission: Partial<ForwardingDependencies["admission"]> = {
    checkPlan: () =>
      plans.isAllowed
        ? undefined
        : createRefusal(RefusalKind.ConfigurationStale, Step.Freshness),
    getFreshness: () => ({ kind: FreshnessKind.Stale, ageMs: 4_200 }),
  };
  const forwarding = new Forwarding({
    admission: admission as ForwardingDependencies["admission"],
    clock,
    detector: detector as Detector,
    notices,
    warmUp: NO_WARM_UP,
    selection: new Selection({
      configuration,
      detector: detector as Detector,
      notices,
      warmUp: NO_WARM_UP,
      clock,
      random,
      loads: { setSource: () => {}, countOthers: () => 0 },
      failureDomain: "a",
    }),
    dispatch: new Dispatch(),
    metrics,
    memory: new MemoryBudget({
      clock,
      limits: NO_MEMORY_LIMITS,
      metrics,
      logger: SILENT_LOGGER,
    }),
    overload,
    shutdown: new Shutdown({
      clock,
      overload,
      logger: SILENT_LOGGER,
      graceMs: 6_000,
    }),
    logger: {
      ...SILENT_LOGGER,
      info: (message, fields) => void lines.push({ message, fields }),
    },
    upstream: {
      send: (attempt) => {
        attempts.push(attempt);
        return Promise.resolve(send(attempt, plans));
      },
      probe: () => Promise.resolve(true),
      countConnections: () => ({ inUse: 0, waiting: 0, idle: 0 }),
      close: () => {},
    },
    retryBudget: {
      recordRequest: () => {},
      recordResponse: () => {},
      acquire: () => true,
      isAmple: () => true,
    },
    random,
    attemptPrefix: "test",
  });
  return { forwarding, notices, lines, attempts, plans };
}

function refuseUnexpected(): never {
  throw new Error("no request may be sent");
}

const PLAN: RequestPlan = {
  method: "POST",
  target: "/swaps",
  headers: [],
  route: ROUTE,
  service: "rota",
  attempt: "r1",
  version: 1,
  priority: 0,
  team: undefined,
  key: "",
  preset: {
    name: PresetName.Ordinary,
    rateFactor: 1,
    deadlineFactor: 1,
    retries: true,
    revision: 1,
  },
  arrivedAt: 0,
  deadlineAt: 5_000,
};

function createExchange(refusals: Refusal[]): CallerExchange {
  const exchange: Partial<CallerExchange> = {
    body: { length: 0, read: async function* () {} },
    signal: new AbortController().signal,
    isResponseStarted: false,
    sendRefusal: (refusal) => {
      refusals.push(refusal);
      return Promise.resolve();
    },
  };
  return exchange as CallerExchange;
}

/** Serves a request of a caller that stays connected. */
async function serveRequest(
  forwarding: Forwarding,
  plan: RequestPlan,
  refusals: Refusal[],
): Promise<void> {
  const exchange = createExchange(refusals);
  const wait = forwarding.startWait(plan, exchange);
  await forwarding.serve(plan, exchange, wait);
  wait.close();
}

// Guards against a refusal whose cause can't be found in the logs.
test("a request that becomes stale before its dispatch is refused with a line", async () => {
  const { forwarding, lines, plans } = createFixture();
  plans.isAllowed = false;
  const refusals: Refusal[] = [];
  await serveRequest(forwarding, PLAN, refusals);
  assert.equal(refusals[0]?.kind, RefusalKind.ConfigurationStale);
  const line = lines.find(({ message }) => message === "refused a request");
  assert.equal(line?.fields?.["request"], "r1");
  assert.equal(line?.fields?.["refusal"], RefusalKind.ConfigurationStale);
  assert.equal(line?.fields?.["confirmedAgoMs"], 4_200);
});

// Guards against a refusal that names the server as the cause of an outage of
// the store.
test("a request that becomes stale while a connection opens is refused as stale", async () => {
  const { forwarding, attempts, notices } = createFixture((_attempt, plans) => {
    plans.isAllowed = false;
    const failure = {
      kind: FailureKind.NoServer,
      step: Step.Connect,
      peer: SERVER.id,
    };
    return { kind: OutcomeKind.NotRun, failure };
  });
  notices.recordPause({ ...SERVER, id: "s2" }, 3_000);
  const refusals: Refusal[] = [];
  await serveRequest(forwarding, PLAN, refusals);
  assert.equal(attempts.length, 1);
  assert.equal(refusals[0]?.kind, RefusalKind.ConfigurationStale);
  assert.equal(refusals[0]?.run, RunState.NotRun);
});

// Guards against a status that promises "not run" for a request that may have
// run: its configuration became stale after an attempt without a response.
test("a request that may have run is not refused as stale", async () => {
  const { forwarding, attempts } = createFixture((_attempt, plans) => {
    plans.isAllowed = false;
    const failure = {
      kind: FailureKind.ConnectionLost,
      step: Step.FirstByte,
      peer: SERVER.id,
    };
    return { kind: OutcomeKind.MayHaveRun, failure };
  });
  const refusals: Refusal[] = [];
  const route = { ...ROUTE, idempotency: Idempotency.Idempotent };
  await serveRequest(forwarding, { ...PLAN, route }, refusals);
  assert.equal(attempts.length, 1);
  assert.equal(refusals[0]?.kind, RefusalKind.ResponseLost);
  assert.equal(refusals[0]?.run, RunState.Unknown);
});

// Guards against requests that wait for servers which want none.
test("a request is refused at once while all servers of its service are paused", async () => {
  const { forwarding, notices } = createFixture();
  notices.recordPause(SERVER, 2_000);
  notices.recordPause({ ...SERVER, id: "s2" }, 3_000);
  const refusals: Refusal[] = [];
  for (let index = 0; index < 100; index += 1) {
    await serveRequest(forwarding, PLAN, refusals);
  }
  const delays = refusals.map(({ retryAfterMs }) => retryAfterMs);
  assert.equal(delays.length, 100);
  assert.ok(Math.min(...delays) >= 2_000, "told to return before the end");
  assert.ok(Math.max(...delays) - Math.min(...delays) >= 1_000, "not spread");
});

// Guards against a request that runs although its caller left while it waited
// for a token.
test("a request whose caller has left reaches no server", async () => {
  const { forwarding, attempts } = createFixture();
  const refusals: Refusal[] = [];
  const exchange = { ...createExchange(refusals), signal: AbortSignal.abort() };
  const wait = forwarding.startWait(PLAN, exchange);
  assert.ok(wait.signal.aborted && wait.waitSignal.aborted);
  await forwarding.serve(PLAN, exchange, wait);
  wait.close();
  assert.equal(attempts.length, 0);
  assert.equal(refusals[0]?.run, RunState.NotRun);
});
