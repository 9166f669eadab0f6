import assert from "node:assert/strict";
import { test } from "node:test";
import { getKnownRed } from "../../../tests/known_red.ts";
import { OutcomeKind, ServerPhase, Step } from "../../model/mod.ts";
import type { AttemptOutcome, Server } from "../../model/mod.ts";
import { FailureKind } from "../../model/mod.ts";
import { createSystemClock } from "../clock/mod.ts";
import { Dispatch } from "../dispatch/mod.ts";
import { Metrics } from "../metrics/mod.ts";
import { AttemptRunner } from "./attempt_runner.ts";
import type { AttemptParts, Job } from "./attempt_runner.ts";
import type { UpstreamAnswer } from "./upstream.ts";

/** Requests that one server gets from one VM at the same time. */
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

const JOB = {
  plan: {
    service: "rota",
    attempt: "r1",
    method: "GET",
    target: "/turns",
    headers: [],
    route: { id: "turns" },
    deadlineAt: 1e9,
  },
  body: { length: 0, isRepeatable: true, read: () => undefined },
  signal: new AbortController().signal,
} as unknown as Job;

interface Fixture {
  readonly runner: AttemptRunner;
  /** Ends the attempts that were sent, one each call. */
  readonly sent: (() => void)[];
  /** What is known of the server; a test changes it. */
  known: Server | undefined;
}

function createFixture(): Fixture {
  const sent: (() => void)[] = [];
  const parts = {
    clock: createSystemClock(),
    dispatch: new Dispatch(),
    metrics: new Metrics(),
    logger: { info: () => {} },
    detector: {
      recordStart: () => ({ startedAt: 0 }),
      recordEnd: () => {},
      recordDraining: () => {},
      isDraining: ({ phase }: Server) => phase === ServerPhase.Draining,
    },
    selection: {
      recordStart: () => true,
      recordEnd: () => {},
      findServer: () => fixture.known,
    },
    overload: { recordWork: () => {} },
    upstream: {
      send: () =>
        new Promise<AttemptOutcome<UpstreamAnswer>>((resolve) => {
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
  } as unknown as AttemptParts;
  const fixture: Fixture = {
    runner: new AttemptRunner(parts),
    sent,
    known: SERVER,
  };
  return fixture;
}

/** Ways in which a server leaves. */
const LEAVES: Record<string, Server | undefined> = {
  drains: { ...SERVER, phase: ServerPhase.Draining, revision: 2 },
  "is gone": undefined,
};

for (const [how, known] of Object.entries(LEAVES)) {
  const name = `a request that waits for a server is not sent once it ${how}`;
  // Guards against a choice that is old when its request is sent.
  test(name, getKnownRed(name), async () => {
    const fixture = createFixture();
    const { runner, sent } = fixture;
    const results = Array.from(
      { length: SERVER_CONCURRENCY + 1 },
      () => runner.run(JOB, SERVER, JOB.signal),
    );
    await new Promise((resolve) => setImmediate(resolve));
    assert.equal(sent.length, SERVER_CONCURRENCY);
    fixture.known = known;
    for (const end of [...sent]) end();
    await new Promise((resolve) => setImmediate(resolve));
    assert.equal(sent.length, SERVER_CONCURRENCY, "sent to a leaving server");
    const last = await results.at(-1);
    assert.equal(last?.kind, OutcomeKind.NotRun);
  });
}
