import assert from "node:assert/strict";
import { test } from "node:test";
import { MAX_CONNECTIONS_PER_SERVER } from "../../constants.ts";
import { Dispatch, DispatchKind } from "./mod.ts";

/** Adds jobs that end when `end` is called. */
function addJobs(dispatch: Dispatch, slots: number, count: number): {
  readonly end: () => void;
  readonly results: Promise<unknown>[];
} {
  let end: () => void = () => {};
  const ended = new Promise<void>((resolve) => end = resolve);
  const { signal } = new AbortController();
  const results = Array.from(
    { length: count },
    () => dispatch.runOnServer({ id: "s1", slots }, signal, () => ended),
  );
  return { end, results };
}

const JOBS = 20;
/** Jobs that run at the same time at a server, by its number of slots. */
const CONCURRENCY: readonly (readonly [number, number])[] = [
  [1, 4],
  [2, 4],
  [4, 4],
  [6, 6],
  [8, 8],
  [50, MAX_CONNECTIONS_PER_SERVER],
];

for (const [slots, running] of CONCURRENCY) {
  // Guards against slots that a VM can't use.
  test(`${running} jobs run at a server with ${slots} slots`, async () => {
    const dispatch = new Dispatch();
    const { end, results } = addJobs(dispatch, slots, JOBS);
    const waiting = JOBS - running;
    assert.deepEqual(dispatch.countServerJobs(), { running, waiting });
    end();
    await Promise.all(results);
    assert.deepEqual(dispatch.countServerJobs(), { running: 0, waiting: 0 });
  });
}

// Guards against a request that waits for a server beyond its deadline.
test("a job that waits for a server is dropped when its signal aborts", async () => {
  const dispatch = new Dispatch();
  const { end, results } = addJobs(dispatch, 4, 4);
  const controller = new AbortController();
  let hasRun = false;
  const waiting = dispatch.runOnServer(
    { id: "s1", slots: 4 },
    controller.signal,
    () => Promise.resolve(hasRun = true),
  );
  controller.abort();
  assert.equal((await waiting).kind, DispatchKind.Cancelled);
  assert.equal(dispatch.countServerJobs().waiting, 0);
  end();
  await Promise.all(results);
  assert.equal(hasRun, false);
});
