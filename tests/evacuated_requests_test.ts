import assert from "node:assert/strict";
import { test } from "node:test";
import {
  RecordKind,
  RefusalKind,
  RouteAccess,
  RunState,
  ServerPhase,
} from "../src/model/mod.ts";
import type { Refusal } from "../src/model/mod.ts";
import { AdmissionKind } from "../src/services/admission/mod.ts";
import type { CallerExchange } from "../src/services/caller_front/exchange.ts";
import { ServiceName } from "../src/services/catalog.ts";
import type { Attempt } from "../src/services/forwarding/upstream.ts";
import { Availability } from "../src/services/server_notices/mod.ts";
import { listBasicChanges } from "./harness.ts";
import { VirtualFleet } from "./virtual_fleet.ts";

const VM = "vm-01";
/** Failure domain of the VM and of most slots; `FAR` is another one. */
const NEAR = "domain-2";
const FAR = "domain-1";
const REQUESTS = 20;
/** Requests of a VM that run at the server of `NEAR` at the same time. */
const RUNNING = 8;
/** The same for the server of `FAR`, which has four slots. */
const RUNNING_FAR = 4;
/** Time in which a VM reads a record of the log, in milliseconds. */
const READ_MS = 1_000;

/** A VM with a server in each of two domains; no attempt there ends. */
class Fixture {
  readonly attempts: Attempt[] = [];
  readonly refusals: Refusal[] = [];
  readonly fleet = new VirtualFleet({
    size: 1,
    sendAttempt: (attempt) => {
      this.attempts.push(attempt);
      return new Promise(() => {});
    },
  });

  async start(): Promise<this> {
    const route = { access: RouteAccess.Open };
    for (const change of listBasicChanges({ servers: [1], route })) {
      this.fleet.publish(change);
    }
    this.fleet.publish({
      kind: RecordKind.ServerSet,
      server: {
        id: "near",
        service: "rota",
        host: "127.0.0.1",
        port: 2,
        failureDomain: NEAR,
        slots: 16,
        phase: ServerPhase.Active,
      },
    });
    await this.fleet.start();
    return this;
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
    const admission = this.fleet.find(VM, ServiceName.Admission);
    const forwarding = this.fleet.find(VM, ServiceName.Forwarding);
    for (let index = 0; index < count; index += 1) {
      const receivedAt = this.fleet.find(VM, ServiceName.Clock).now();
      const head = {
        method: "POST",
        target: "/swaps",
        headers: [],
        receivedAt,
      };
      const decision = admission.admit(head);
      if (decision.kind !== AdmissionKind.Admitted) throw new Error("refused");
      const wait = forwarding.startWait(decision.plan, exchange);
      void forwarding.serve(decision.plan, exchange, wait);
    }
    await this.fleet.time.advance(1);
  }

  /** Evacuates a domain; returns the revision with which it is restored. */
  async publishEvacuation(domain: string): Promise<number> {
    const revision = this.fleet
      .publish({ kind: RecordKind.DomainEvacuate, domain });
    await this.fleet.time.advance(READ_MS);
    return revision;
  }

  countAttempts(domain: string): number {
    return this.attempts
      .filter(({ server }) => server.failureDomain === domain).length;
  }
}

// Guards against requests that wait for a slot of an evacuated server until
// those that run there have ended.
test("requests that wait for an evacuated server are sent elsewhere at once", async () => {
  const fixture = await new Fixture().start();
  await fixture.sendRequests(REQUESTS);
  assert.equal(fixture.countAttempts(NEAR), RUNNING);
  assert.ok(fixture.countAttempts(FAR) < RUNNING_FAR);
  const [attempt] = fixture.attempts;
  assert.equal(attempt?.isAllowed(), true);
  await fixture.publishEvacuation(NEAR);
  assert.equal(attempt.isAllowed(), false);
  assert.equal(fixture.countAttempts(NEAR), RUNNING);
  assert.equal(fixture.countAttempts(FAR), RUNNING_FAR);
  assert.deepEqual(fixture.refusals, []);
});

test("without another domain, requests are refused at once with the cause", async () => {
  const fixture = await new Fixture().start();
  await fixture.sendRequests(REQUESTS);
  await fixture.publishEvacuation(FAR);
  await fixture.publishEvacuation(NEAR);
  const sent = fixture.attempts.length;
  await fixture.sendRequests(1);
  assert.equal(fixture.attempts.length, sent);
  assert.equal(fixture.refusals.length, REQUESTS - sent + 1);
  for (const { kind, run, retryAfterMs } of fixture.refusals) {
    assert.equal(kind, RefusalKind.Evacuated);
    assert.equal(run, RunState.NotRun);
    assert.ok(retryAfterMs > 0);
  }
});

test("slots and selection leave evacuated servers out until they are restored", async () => {
  const fixture = await new Fixture().start();
  const { fleet } = fixture;
  const selection = fleet.find(VM, ServiceName.Selection);
  const slots = selection.countSlots("rota");
  const base = await fixture.publishEvacuation(NEAR);
  assert.equal(selection.countSlots("rota"), slots - 16);
  const report = selection.getReport().find(({ server }) => server === "near");
  assert.equal(report?.availability, Availability.Evacuated);
  await fixture.sendRequests(1);
  assert.equal(fixture.countAttempts(FAR), 1);
  fleet.publish({ kind: RecordKind.DomainRestore, domain: NEAR }, base);
  await fleet.time.advance(READ_MS);
  assert.equal(selection.countSlots("rota"), slots);
});
