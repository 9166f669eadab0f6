import assert from "node:assert/strict";
import { test } from "node:test";
import { VirtualClock, VirtualTime } from "../../../standins/virtual_clock.ts";
import { Startup } from "./mod.ts";

interface World {
  readonly time: VirtualTime;
  readonly startup: Startup;
  readonly setServing: () => void;
}

function createWorld(): World {
  const time = new VirtualTime();
  let setServing = (): void => {};
  const firstServing = new Promise<void>((resolve) => setServing = resolve);
  const clock = new VirtualClock(time);
  return { time, startup: new Startup({ clock, firstServing }), setServing };
}

/** Starts a wait; returns a function that tells whether it has ended. */
function startWait(
  { startup }: World,
  remainingMs: number,
  signal = new AbortController().signal,
): () => boolean {
  let hasEnded = false;
  void startup.waitUntilServing(remainingMs, signal).then(() => {
    hasEnded = true;
  });
  return () => hasEnded;
}

// Guards against refusals by all VMs while they start together after a loss of
// power.
test("requests that arrive during the start wait for the first configuration", async () => {
  const world = createWorld();
  const hasEnded = startWait(world, 1_500);
  await world.time.advance(300);
  assert.equal(hasEnded(), false);
  world.setServing();
  await world.time.advance(0);
  assert.equal(hasEnded(), true);
  assert.equal(startWait(world, 1_500)(), false);
  await world.time.advance(0);
});

// Guards against requests that are held until the caller gives up.
test("a wait ends while the caller has most of its time left", async () => {
  const world = createWorld();
  const isShortEnded = startWait(world, 500);
  const isLongEnded = startWait(world, 10_000);
  await world.time.advance(199);
  assert.equal(isShortEnded(), false);
  await world.time.advance(2);
  assert.equal(isShortEnded(), true);
  await world.time.advance(798);
  assert.equal(isLongEnded(), false);
  await world.time.advance(2);
  assert.equal(isLongEnded(), true);
});

test("a wait ends when the caller disconnects", async () => {
  const world = createWorld();
  const caller = new AbortController();
  const hasEnded = startWait(world, 5_000, caller.signal);
  await world.time.advance(10);
  caller.abort();
  await world.time.advance(0);
  assert.equal(hasEnded(), true);
});
