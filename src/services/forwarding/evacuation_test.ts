import assert from "node:assert/strict";
import { test } from "node:test";
import { SILENT_LOGGER } from "../../../standins/silent_logger.ts";
import { VirtualClock, VirtualTime } from "../../../standins/virtual_clock.ts";
import {
  Idempotency,
  PresetName,
  RefusalKind,
  RouteAccess,
  RunState,
  ServerPhase,
} from "../../model/mod.ts";
import type { Refusal, Server } from "../../model/mod.ts";
import type { RequestPlan } from "../admission/mod.ts";
import type { CallerExchange } from "../caller_front/exchange.ts";
import { Configuration } from "../configuration/mod.ts";
import { EjectionState } from "../detector/mod.ts";
import type { Detector } from "../detector/mod.ts";
import { Dispatch } from "../dispatch/mod.ts";
import { EvacuatedDomains } from "../evacuation/mod.ts";
import { EvacuationUpdateKind } from "../feed/source.ts";
import { FreshnessKind } from "../freshness/mod.ts";
import { Metrics } from "../metrics/mod.ts";
import { Overload } from "../overload/mod.ts";
import { Shutdown } from "../planned_stop/shutdown.ts";
import { createSeededRandom } from "../random/mod.ts";
import { Selection } from "../selection/mod.ts";
import { Availability, ServerNotices } from "../server_notices/mod.ts";
import { MemoryBudget } from "../memory_budget/mod.ts";
import { NO_MEMORY_LIMITS } from "../../model/mod.ts";
import { NO_WARM_UP } from "../warm_up/mod.ts";
import { startEvacuatedQueues } from "./evacuated_queues.ts";
import { Forwarding } from "./mod.ts";
import type { ForwardingDependencies } from "./mod.ts";
import type { Attempt } from "./upstream.ts";

/** Server of this VM's domain; it is selected unless its queue is long. */
const NEAR: Server = {
  id: "s1",
  service: "rota",
  host: "10.0.0.1",
  port: 80,
  failureDomain: "a",
  slots: 16,
  phase: ServerPhase.Active,
  revision: 1,
};
const FAR: Server = { ...NEAR, id: "s2", failureDomain: "b" };
const REQUESTS = 20;
/** Requests of a VM that run at one server at the same time. */
const RUNNING = 8;

const PLAN: RequestPlan = {
  method: "POST",
  target: "/swaps",
  headers: [],
  route: {
    id: "swaps",
    method: "*",
    path: "/swaps",
    service: "rota",
    access: RouteAccess.Open,
    idempotency: Idempotency.NonIdempotent,
    deadlineMs: 5_000,
    floor: 0.5,
    revision: 1,
  },
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

class Fixture {
  /** Attempts that were sent; none of them ends. */
  readonly attempts: Attempt[] = [];
  readonly refusals: Refusal[] = [];
  readonly selection: Selection;
  readonly notices: ServerNotices;
  readonly #time = new VirtualTime();
  readonly #evacuation: EvacuatedDomains;
  readonly #forwarding: Forwarding;
  #offset = 0;

  constructor() {
    const clock = new VirtualClock(this.#time);
    const random = createSeededRandom(1);
    const metrics = new Metrics();
    const logger = SILENT_LOGGER;
    const configuration = new Configuration("cell", clock);
    configuration.state.services.set("rota", { id: "rota", revision: 1 });
    for (const server of [NEAR, FAR]) configuration.setServer(server);
    this.#evacuation = new EvacuatedDomains({ metrics, logger });
    this.notices = new ServerNotices({ clock, metrics, logger });
    this.notices.setEvacuation(this.#evacuation);
    const detector = {
      recordStart: (server) => ({ server, startedAt: 0, isSlow: false }),
      recordEnd: () => {},
      getEjectionState: () => EjectionState.Admitted,
      isSuspect: () => false,
      getFailureProbability: () => 0,
      getAdmittedMs: () => Infinity,
    } as Partial<Detector> as Detector;
    const dispatch = new Dispatch();
    const overload = new Overload(random);
    this.selection = new Selection({
      configuration,
      detector,
      notices: this.notices,
      clock,
      random,
      loads: { setSource: () => {}, countOthers: () => 0 },
      failureDomain: "a",
      warmUp: NO_WARM_UP,
    });
    const { selection, notices } = this;
    const evacuation = this.#evacuation;
    startEvacuatedQueues({ configuration, dispatch, evacuation, selection });
    this.#forwarding = new Forwarding({
      admission: {
        checkPlan: () => undefined,
        getFreshness: () => ({ kind: FreshnessKind.ConfirmedByLog, ageMs: 0 }),
      } as Partial<ForwardingDependencies["admission"]> as never,
      clock,
      detector,
      notices,
      selection,
      dispatch,
      metrics,
      overload,
      shutdown: new Shutdown({ clock, overload, logger, graceMs: 6_000 }),
      logger,
      upstream: {
        send: (attempt) => {
          this.attempts.push(attempt);
          return new Promise(() => {});
        },
        probe: () => Promise.resolve(true),
        countConnections: () => ({ inUse: 0, idle: 0, waiting: 0 }),
        close: () => {},
      },
      retryBudget: {
        recordRequest: () => {},
        recordResponse: () => {},
        acquire: () => true,
        isAmple: () => true,
      },
      random,
      warmUp: NO_WARM_UP,
      memory: new MemoryBudget({
        clock,
        limits: NO_MEMORY_LIMITS,
        metrics,
        logger: SILENT_LOGGER,
      }),

      attemptPrefix: "test",
    });
  }

  async sendRequests(count: number): Promise<void> {
    const exchange = {
      body: { length: 0, read: async function* () {} },
      signal: new AbortController().signal,
      isResponseStarted: false,
      sendRefusal: (refusal) => {
        this.refusals.push(refusal);
        return Promise.resolve();
      },
    } as Partial<CallerExchange> as CallerExchange;
    for (let index = 0; index < count; index += 1) {
      const wait = this.#forwarding.startWait(PLAN, exchange);
      void this.#forwarding.serve(PLAN, exchange, wait);
    }
    await this.#time.advance(1);
  }

  async publishEvacuation(
    domain: string,
    kind = EvacuationUpdateKind.Evacuated,
  ): Promise<void> {
    this.#offset += 1;
    this.#evacuation.apply({ kind, offset: this.#offset, domain });
    await this.#time.advance(1);
  }

  countAttempts(server: Server): number {
    return this.attempts.filter((attempt) => attempt.server.id === server.id)
      .length;
  }
}

// Guards against requests that wait for a slot of an evacuated server until
// those that run there have ended.
test("requests that wait for an evacuated server are sent elsewhere at once", async () => {
  const fixture = new Fixture();
  await fixture.sendRequests(REQUESTS);
  assert.equal(fixture.countAttempts(NEAR), RUNNING);
  const before = fixture.countAttempts(FAR);
  await fixture.publishEvacuation("a");
  assert.equal(fixture.countAttempts(NEAR), RUNNING);
  assert.equal(fixture.countAttempts(FAR), Math.max(before, RUNNING));
  assert.deepEqual(fixture.refusals, []);
});

test("a request whose connection opens after the evacuation is not sent", async () => {
  const fixture = new Fixture();
  await fixture.sendRequests(1);
  const [attempt] = fixture.attempts;
  assert.equal(attempt?.server.id, NEAR.id);
  assert.equal(attempt.isAllowed(), true);
  await fixture.publishEvacuation("a");
  assert.equal(attempt.isAllowed(), false);
  await fixture.publishEvacuation("a", EvacuationUpdateKind.Restored);
  assert.equal(attempt.isAllowed(), true);
});

test("without another domain, requests are refused at once with the cause", async () => {
  const fixture = new Fixture();
  await fixture.sendRequests(REQUESTS);
  await fixture.publishEvacuation("b");
  await fixture.publishEvacuation("a");
  const sent = fixture.attempts.length;
  assert.equal(fixture.refusals.length, REQUESTS - sent);
  await fixture.sendRequests(1);
  assert.equal(fixture.attempts.length, sent);
  assert.equal(fixture.refusals.length, REQUESTS - sent + 1);
  for (const { kind, run, retryAfterMs } of fixture.refusals) {
    assert.equal(kind, RefusalKind.Evacuated);
    assert.equal(run, RunState.NotRun);
    assert.ok(retryAfterMs > 0);
  }
});

test("slots, queues and selection leave evacuated servers out", async () => {
  const fixture = new Fixture();
  const { selection, notices } = fixture;
  assert.equal(selection.countSlots("rota"), NEAR.slots + FAR.slots);
  await fixture.publishEvacuation("a");
  assert.equal(selection.countSlots("rota"), FAR.slots);
  assert.equal(notices.getAvailability(NEAR), Availability.Evacuated);
  assert.equal(selection.isUsable(NEAR), false);
  assert.equal(selection.hasOnlyEvacuated("rota"), false);
  await fixture.sendRequests(1);
  assert.equal(fixture.countAttempts(FAR), 1);
  await fixture.publishEvacuation("a", EvacuationUpdateKind.Restored);
  assert.equal(selection.countSlots("rota"), NEAR.slots + FAR.slots);
  assert.equal(selection.isUsable(NEAR), true);
});
