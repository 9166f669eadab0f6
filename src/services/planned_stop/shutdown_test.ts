import assert from "node:assert/strict";
import { test } from "node:test";
import { SILENT_LOGGER } from "../../../standins/silent_logger.ts";
import { VirtualClock, VirtualTime } from "../../../standins/virtual_clock.ts";
import { Overload } from "../overload/mod.ts";
import { createSeededRandom } from "../random/mod.ts";
import { Shutdown } from "./shutdown.ts";

const GRACE_MS = 6_000;
/** Processing time of every request. */
const WORK_MS = 500;

interface Fixture {
  readonly time: VirtualTime;
  readonly shutdown: Shutdown;
}

function createFixture(): Fixture {
  const time = new VirtualTime();
  const clock = new VirtualClock(time);
  const overload = new Overload(createSeededRandom(1));
  overload.recordProcessingTime("rota", "swaps", WORK_MS);
  const shutdown = new Shutdown({
    clock,
    overload,
    logger: SILENT_LOGGER,
    graceMs: GRACE_MS,
  });
  return { time, shutdown };
}

/** Time since the stop signal, request, and whether it is accepted. */
const CASES: [number, Record<string, number>, boolean][] = [
  [0, { remainingMs: 10_000 }, true],
  [3_800, { remainingMs: 10_000 }, true],
  [4_000, { remainingMs: 10_000 }, false],
  // The target is longer than what such requests usually take.
  [3_000, { remainingMs: 10_000, targetMs: 3_000 }, false],
  // The caller's deadline passes before the process exits.
  [5_000, { remainingMs: 300 }, true],
  [5_300, { remainingMs: 300 }, false],
];

for (const [atMs, { remainingMs = 0, targetMs }, expected] of CASES) {
  const title =
    `${atMs} ms into a planned stop, a request with ${remainingMs}` +
    ` ms left and target ${targetMs} is ${expected ? "accepted" : "refused"}`;
  test(title, async () => {
    const { time, shutdown } = createFixture();
    const request = {
      service: "rota",
      route: "swaps",
      targetMs,
      remainingMs,
      receivedAt: time.now,
    };
    assert.equal(shutdown.hasTimeFor(request), true);
    shutdown.start();
    await time.advance(atMs);
    assert.equal(shutdown.hasTimeFor(request), expected);
  });
}

/** Time since the stop signal at which a request arrives, its time, result. */
const LATE_CASES: [number, number, boolean][] = [
  [3_000, 10_000, true],
  [3_010, 10_000, false],
  // The deadline passes while the process still runs.
  [3_010, 2_300, true],
  [3_010, 2_400, false],
  [5_000, 300, true],
];

for (const [atMs, remainingMs, expected] of LATE_CASES) {
  // Guards against a request that takes longer than usual, and that is cut
  // without a response although it came when few seconds were left.
  test(`a request that arrives ${atMs} ms into a planned stop with ${remainingMs} ms left is ${expected ? "accepted" : "refused"}`, async () => {
    const { time, shutdown } = createFixture();
    shutdown.start();
    await time.advance(atMs);
    const isAccepted = shutdown.hasTimeFor({
      service: "rota",
      route: "swaps",
      targetMs: undefined,
      remainingMs,
      receivedAt: time.now,
    });
    assert.equal(isAccepted, expected);
  });
}

test("waiting requests are told of the end before the process exits", async () => {
  const { time, shutdown } = createFixture();
  let ends = 0;
  shutdown.addEndListener(() => ends += 1);
  const remove = shutdown.addEndListener(() => ends += 10);
  remove();
  shutdown.start();
  shutdown.start();
  await time.advance(GRACE_MS * 0.9);
  assert.equal(ends, 1);
});
