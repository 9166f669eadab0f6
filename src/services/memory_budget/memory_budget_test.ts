import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import { SILENT_LOGGER } from "../../../standins/silent_logger.ts";
import { VirtualClock, VirtualTime } from "../../../standins/virtual_clock.ts";
import type { IncomingBody } from "../caller_front/exchange.ts";
import {
  readResponseBody,
  ResponseBodyKind,
} from "../forwarding/response_body.ts";
import { readRequestBody } from "../forwarding/request_body.ts";
import type { UpstreamResponse } from "../forwarding/upstream.ts";
import { Metrics } from "../metrics/mod.ts";
import { Bound, MemoryBudget, MemoryDecisionKind } from "./mod.ts";
import type { MemoryHold, MemoryScope } from "./mod.ts";

const LIMITS = { connectionBytes: 100, serverBytes: 50, vmBytes: 400 };
const SERVER: MemoryScope = { kind: Bound.Server, server: "rota-1" };

function createConnectionScope(connection: string): MemoryScope {
  return { kind: Bound.Connection, connection };
}

interface Fixture {
  readonly budget: MemoryBudget;
  readonly metrics: Metrics;
}

function createFixture(): Fixture {
  const metrics = new Metrics();
  const clock = new VirtualClock(new VirtualTime());
  const logger = SILENT_LOGGER;
  const budget = new MemoryBudget({ clock, limits: LIMITS, metrics, logger });
  return { budget, metrics };
}

function acquire(
  { budget }: Fixture,
  scope: MemoryScope,
  bytes: number,
): MemoryHold | Bound {
  const decision = budget.acquire(scope, bytes);
  switch (decision.kind) {
    case MemoryDecisionKind.Held:
      return decision.hold;
    case MemoryDecisionKind.Full:
      return decision.bound;
  }
}

function acquireHold(
  fixture: Fixture,
  scope: MemoryScope,
  bytes: number,
): MemoryHold {
  const result = acquire(fixture, scope, bytes);
  if (typeof result === "string") throw new Error(`reached ${result}`);
  return result;
}

test("a connection's requests are refused at its limit", () => {
  const fixture = createFixture();
  const hold = acquireHold(fixture, createConnectionScope("a"), 60);
  assert.equal(
    acquire(fixture, createConnectionScope("a"), 60),
    Bound.Connection,
  );
  acquireHold(fixture, createConnectionScope("b"), 60);
  hold.release();
  acquireHold(fixture, createConnectionScope("a"), 60);
});

test("buffers fill half of the VM's limit, requests all of it", () => {
  const fixture = createFixture();
  const holds = ["a", "b", "c", "d"].map((name) =>
    acquireHold(fixture, createConnectionScope(name), 50)
  );
  assert.equal(holds[0]?.tryAdd(1), false);
  for (const name of ["e", "f", "g", "h"]) {
    acquireHold(fixture, createConnectionScope(name), 50);
  }
  assert.equal(acquire(fixture, createConnectionScope("i"), 50), Bound.Vm);
  assert.deepEqual(fixture.metrics.getReport().counters, {
    'memory_bounds{kind="vm_not_buffered"}': 1,
    'memory_bounds{kind="vm_refused"}': 1,
  });
});

// Guards against a body that no server ever gets, since it exceeds the limit.
test("one body above a server's limit is sent if no other is", () => {
  const fixture = createFixture();
  const hold = acquireHold(fixture, SERVER, 1_000);
  assert.equal(acquire(fixture, SERVER, 10), Bound.Server);
  acquireHold(fixture, { kind: Bound.Server, server: "rota-2" }, 10);
  hold.release();
  acquireHold(fixture, SERVER, 10);
});

test("for any requests, bounds hold and all bytes are released", () => {
  const step = fc.record({
    connection: fc.constantFrom("a", "b", "c", "d", "e", "f"),
    bytes: fc.integer({ min: 0, max: 60 }),
    added: fc.integer({ min: 0, max: 60 }),
    isReleased: fc.boolean(),
  });
  fc.assert(
    fc.property(fc.array(step), (steps) => {
      const fixture = createFixture();
      const holds: MemoryHold[] = [];
      for (const { connection, bytes, added, isReleased } of steps) {
        const scope = createConnectionScope(connection);
        const result = acquire(fixture, scope, bytes);
        if (typeof result === "string") continue;
        holds.push(result);
        result.tryAdd(added);
        assert.ok(fixture.budget.usedBytes <= LIMITS.vmBytes);
        if (isReleased) result.release();
      }
      for (const hold of holds) hold.release();
      assert.equal(fixture.budget.usedBytes, 0);
    }),
    { seed: 20_261_206 },
  );
});

async function* listParts(count: number): AsyncGenerator<Uint8Array> {
  for (let index = 0; index < count; index += 1) {
    yield await Promise.resolve(new Uint8Array(30));
  }
}

test("a response that the budget can't hold is streamed completely", async () => {
  const fixture = createFixture();
  const hold = acquireHold(fixture, createConnectionScope("a"), 20);
  const response = {
    hasBody: true,
    readBody: () => listParts(5),
  } as Partial<UpstreamResponse> as UpstreamResponse;
  const body = await readResponseBody(response, hold);
  assert.equal(body.kind, ResponseBodyKind.Streamed);
  let bytes = 0;
  if (body.kind === ResponseBodyKind.Streamed) {
    for await (const chunk of body.chunks) bytes += chunk.length;
  }
  assert.equal(bytes, 150);
});

test("a request body that the budget can't hold is sent by one attempt", async () => {
  const fixture = createFixture();
  const hold = acquireHold(fixture, createConnectionScope("a"), 20);
  const incoming: IncomingBody = { length: 150, read: () => listParts(5) };
  const { signal } = new AbortController();
  const body = await readRequestBody(incoming, signal, hold);
  body?.claim();
  assert.equal(body?.canClaim, false);
});
