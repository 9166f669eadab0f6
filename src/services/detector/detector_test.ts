import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import { ServerPhase } from "../../model/mod.ts";
import type { Server } from "../../model/mod.ts";
import { EjectionReason, Ejections } from "./ejections.ts";
import type { FloorView } from "./ejections.ts";
import { SequentialTest } from "./sequential_test.ts";

const HYPOTHESES = { healthy: 0.01, faulty: 0.3 };

function createServer(index: number, slots: number): Server {
  return {
    id: `server-${index}`,
    service: "rota",
    host: "127.0.0.1",
    port: 1,
    failureDomain: "domain-1",
    slots,
    phase: ServerPhase.Active,
    revision: 1,
  };
}

function eject(ejections: Ejections, view: FloorView, target: Target): boolean {
  return ejections.eject({
    server: `server-${target.index}`,
    reason: EjectionReason.Failures,
    score: target.score,
    trialAt: 0,
    remainingTrials: 1,
    trialIntervalMs: 1,
    lastTrialAt: 0,
  }, view);
}

interface Target {
  readonly index: number;
  readonly score: number;
}

const targets = fc.array(
  fc.record({
    index: fc.nat(9),
    score: fc.double({ min: 0, max: 100, noNaN: true }),
  }),
  { maxLength: 40 },
);

test("ejections never violate the floor, whichever servers fail", () => {
  fc.assert(fc.property(
    fc.array(fc.integer({ min: 1, max: 8 }), { minLength: 1, maxLength: 10 }),
    fc.double({ min: 0, max: 1, noNaN: true }),
    targets,
    (slots, floor, attempts) => {
      const servers = slots.map((count, index) => createServer(index, count));
      const ejections = new Ejections();
      for (const target of attempts) {
        if (target.index < servers.length) {
          eject(ejections, { servers, floor }, target);
        }
        assert.ok(ejections.countEjectableSlots({ servers, floor }) >= 0);
      }
    },
  ));
});

test("a removed server loses its ejection, and the floor still holds", () => {
  const servers = [0, 1, 2, 3].map((index) => createServer(index, 4));
  const ejections = new Ejections();
  eject(ejections, { servers, floor: 0.5 }, { index: 0, score: 5 });
  eject(ejections, { servers, floor: 0.5 }, { index: 1, score: 9 });
  const fewer = { servers: servers.slice(0, 3), floor: 0.5 };
  ejections.removeExcess(fewer);
  assert.ok(ejections.countEjectableSlots(fewer) >= 0);
  assert.equal(ejections.find("server-0"), undefined);
  assert.notEqual(ejections.find("server-1"), undefined);
});

test("when the floor limits ejections, the worst servers are ejected", () => {
  const servers = [0, 1, 2, 3].map((index) => createServer(index, 4));
  const view = { servers, floor: 0.75 };
  const ejections = new Ejections();
  assert.equal(eject(ejections, view, { index: 0, score: 5 }), true);
  assert.equal(eject(ejections, view, { index: 1, score: 4 }), false);
  assert.equal(eject(ejections, view, { index: 2, score: 9 }), true);
  assert.deepEqual(ejections.list().map(({ server }) => server), ["server-2"]);
});

test("bad outcomes raise the score, good ones lower it", () => {
  const sequential = new SequentialTest();
  sequential.add("vm-1", { good: 0, bad: 3 }, HYPOTHESES);
  const score = sequential.score;
  assert.ok(score > 9);
  sequential.add("vm-1", { good: 100, bad: 0 }, HYPOTHESES);
  assert.equal(sequential.score, 0);
});

test("the score separates the contributions of the VMs", () => {
  const sequential = new SequentialTest();
  sequential.add("vm-1", { good: 0, bad: 4 }, HYPOTHESES);
  assert.equal(sequential.getGreatestContribution(), sequential.score);
  sequential.add("vm-2", { good: 0, bad: 1 }, HYPOTHESES);
  assert.ok(sequential.getGreatestContribution() < sequential.score);
});
