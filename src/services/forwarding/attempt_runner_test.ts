import assert from "node:assert/strict";
import { test } from "node:test";
import { SILENT_LOGGER } from "../../../standins/silent_logger.ts";
import {
  FailureKind,
  OutcomeKind,
  RefusalKind,
  ServerPhase,
  Step,
} from "../../model/mod.ts";
import type { AttemptOutcome, Server } from "../../model/mod.ts";
import { createRefusal } from "../admission/mod.ts";
import { createSystemClock } from "../clock/mod.ts";
import { Configuration } from "../configuration/mod.ts";
import type { Detector } from "../detector/mod.ts";
import { Dispatch } from "../dispatch/mod.ts";
import { MemoryBudget } from "../memory_budget/mod.ts";
import { NO_MEMORY_LIMITS } from "../../model/mod.ts";
import { Metrics } from "../metrics/mod.ts";
import { Selection } from "../selection/mod.ts";
import { ServerNotices } from "../server_notices/mod.ts";
import { NO_WARM_UP, PermitKind } from "../warm_up/mod.ts";
import type { WarmUpLimiter } from "../warm_up/mod.ts";
import { AttemptRunner } from "./attempt_runner.ts";
import type { AttemptDependencies, RequestContext } from "./attempt_runner.ts";
import { BodyClaimKind } from "./request_body.ts";
import { checkResponse } from "./response_check.ts";
import type { Attempt, UpstreamResponse } from "./upstream.ts";

/** Maximum number of requests from one VM to one server at the same time. */
const SERVER_CONCURRENCY = 4;

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

const CONTEXT = {
  plan: {
    service: "rota",
    attempt: "r1",
    method: "GET",
    target: "/turns",
    headers: [],
    route: { id: "turns" },
    deadlineAt: 1e9,
  },
  body: {
    length: 0,
    canClaim: true,
    claim: () => ({
      kind: BodyClaimKind.Claimed,
      chunks: undefined,
      release: () => {},
    }),
  },
  signal: new AbortController().signal,
  waitSignal: new AbortController().signal,
} as unknown as RequestContext;

interface Fixture {
  readonly runner: AttemptRunner;
  /** Functions that end the sent attempts, one for each. */
  readonly sent: (() => void)[];
  readonly attempts: Attempt[];
  readonly configuration: Configuration;
  readonly notices: ServerNotices;
  /** Whether admitted requests may still run. */
  readonly plans: { isAllowed: boolean };
  /** Whether the server may be sent a request with regard to its warm-up. */
  readonly permits: { isGranted: boolean };
}

function createFixture(limits = NO_MEMORY_LIMITS): Fixture {
  const sent: (() => void)[] = [];
  const attempts: Attempt[] = [];
  const clock = createSystemClock();
  const configuration = new Configuration("cell", clock);
  configuration.setServer(SERVER);
  const detector = {
    recordStart: () => ({ startedAt: 0 }),
    recordEnd: () => {},
    recordLeaving: () => {},
  } as unknown as Detector;
  const plans = { isAllowed: true };
  const permits = { isGranted: true };
  const warmUp: WarmUpLimiter = {
    ...NO_WARM_UP,
    acquire: () => ({
      kind: permits.isGranted ? PermitKind.Unneeded : PermitKind.Denied,
    }),
    checkPermit: () => permits.isGranted,
  };
  const metrics = new Metrics();
  const logger = SILENT_LOGGER;
  const notices = new ServerNotices({ clock, metrics, logger });
  const deps = {
    admission: {
      checkPlan: () =>
        plans.isAllowed
          ? undefined
          : createRefusal(RefusalKind.KeyUnknown, Step.Key),
    },
    clock,
    detector,
    notices,
    warmUp,
    selection: new Selection({
      configuration,
      detector,
      notices,
      warmUp: NO_WARM_UP,
      clock,
      random: () => 0,
      loads: { setSource: () => {}, countOthers: () => 0 },
      failureDomain: "a",
    }),
    dispatch: new Dispatch(),
    metrics,
    memory: new MemoryBudget({
      clock,
      limits,
      metrics,
      logger: SILENT_LOGGER,
    }),
    logger,
    overload: { recordProcessingTime: () => {} },
    upstream: {
      send: (attempt: Attempt) =>
        new Promise<AttemptOutcome<UpstreamResponse>>((resolve) => {
          attempts.push(attempt);
          sent.push(() =>
            resolve({
              kind: OutcomeKind.MayHaveRun,
              failure: {
                kind: FailureKind.ConnectionLost,
                step: Step.FirstByte,
                peer: SERVER.id,
              },
            })
          );
        }),
    },
    attemptPrefix: "test",
  } as unknown as AttemptDependencies;
  const runner = new AttemptRunner(deps);
  return { runner, sent, attempts, configuration, notices, plans, permits };
}

/** Changes that may happen while a request waits. */
const CHANGES: Record<string, (fixture: Fixture) => void> = {
  "its server drains": ({ configuration }) =>
    configuration.setServer({
      ...SERVER,
      phase: ServerPhase.Draining,
      revision: 2,
    }),
  "its server says that it is leaving": ({ notices }) =>
    void notices.recordLeaving(SERVER),
  "its server asks for a pause": ({ notices }) =>
    notices.recordPause(SERVER, 1_000),
  "its server is removed": ({ configuration }) =>
    configuration.removeServer(SERVER.id),
  "its server has become cold": ({ permits }) =>
    void (permits.isGranted = false),
  "its key is withdrawn": ({ plans }) => void (plans.isAllowed = false),
};

for (const [change, apply] of Object.entries(CHANGES)) {
  // Guards against sending to a server that was selected before a change.
  test(`a request that waits for a server is not sent once ${change}`, async () => {
    const fixture = createFixture();
    const { runner, sent } = fixture;
    const results = Array.from(
      { length: SERVER_CONCURRENCY + 1 },
      () => runner.run(CONTEXT, SERVER, CONTEXT.signal),
    );
    await new Promise((resolve) => setImmediate(resolve));
    assert.equal(sent.length, SERVER_CONCURRENCY);
    apply(fixture);
    for (const end of [...sent]) end();
    await new Promise((resolve) => setImmediate(resolve));
    assert.equal(sent.length, SERVER_CONCURRENCY, "sent despite the change");
    const last = await results.at(-1);
    assert.equal(last?.kind, OutcomeKind.NotRun);
  });
}

// Guards against a request that waits for a server after its wait has ended.
test("a request that waits for a server is dropped when its wait ends", async () => {
  const { runner, sent } = createFixture();
  const wait = new AbortController();
  const { signal } = new AbortController();
  const running = Array.from(
    { length: SERVER_CONCURRENCY },
    () => runner.run(CONTEXT, SERVER, signal),
  );
  const context = { ...CONTEXT, waitSignal: wait.signal };
  const waiting = runner.run(context, SERVER, signal);
  wait.abort();
  const result = await waiting;
  assert.equal(result.kind, OutcomeKind.NotRun);
  for (const end of sent) end();
  await Promise.all(running);
  assert.equal(sent.length, SERVER_CONCURRENCY);
});

for (const [change, apply] of Object.entries(CHANGES)) {
  // Guards against sending on a connection that was opened before a change.
  test(`a request that waits for a connection is not sent once ${change}`, async () => {
    const fixture = createFixture();
    const { runner, sent, attempts } = fixture;
    const result = runner.run(CONTEXT, SERVER, CONTEXT.signal);
    await new Promise((resolve) => setImmediate(resolve));
    assert.equal(attempts[0]?.isAllowed(), true);
    apply(fixture);
    assert.equal(attempts[0]?.isAllowed(), false);
    for (const end of sent) end();
    await result;
  });
}

// Guards against a server that crashes because of the bodies it holds.
test("a server with too many bytes of bodies gets no further body", async () => {
  const limits = { ...NO_MEMORY_LIMITS, serverBytes: 100 };
  const { runner, sent } = createFixture(limits);
  const context = { ...CONTEXT, body: { ...CONTEXT.body, length: 60 } };
  const first = runner.run(context, SERVER, CONTEXT.signal);
  const second = await runner.run(context, SERVER, CONTEXT.signal);
  assert.equal(second.kind, OutcomeKind.NotRun);
  assert.equal(sent.length, 1);
  sent[0]?.();
  await first;
  const third = runner.run(context, SERVER, CONTEXT.signal);
  await new Promise((resolve) => setImmediate(resolve));
  assert.equal(sent.length, 2);
  sent[1]?.();
  await third;
});

const OTHER_REFUSALS: Record<string, Partial<UpstreamResponse>> = {
  "not run": { status: 503, isNotRun: true },
  "misdirected": { status: 421, isMisdirected: true },
};

for (const [kind, fields] of Object.entries(OTHER_REFUSALS)) {
  // Guards against a faulty server that sends its refusal of an earlier request.
  test(`after a refusal of another request (${kind}), this one may have run`, async () => {
    const attempt = { id: "r2", server: SERVER } as Attempt;
    const response: UpstreamResponse = {
      status: 200,
      headers: [],
      attempt: "r1",
      isNotRun: false,
      isLeaving: false,
      pauseMs: undefined,
      load: undefined,
      hasBody: false,
      readBody: async function* () {},
      cancel: () => {},
      ...fields,
    };
    const result = await checkResponse(attempt, response, createSystemClock());
    assert.equal(result.kind, OutcomeKind.MayHaveRun);
  });
}
