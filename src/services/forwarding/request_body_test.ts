import assert from "node:assert/strict";
import { test } from "node:test";
import { REPLAYABLE_BODY_LIMIT_BYTES } from "../../constants.ts";
import { readRequestBody } from "./request_body.ts";
import type { RequestBody } from "./request_body.ts";

const CHUNK_BYTES = 1_024;

/** Creates a body that delivers one chunk for each call of `send`. */
function createIncoming(): {
  readonly read: () => AsyncGenerator<Uint8Array>;
  send(isLast: boolean): Promise<void>;
} {
  let wake: (isLast: boolean) => void = () => {};
  return {
    read: async function* () {
      while (true) {
        const isLast = await new Promise<boolean>((resolve) => wake = resolve);
        yield new Uint8Array(CHUNK_BYTES);
        if (isLast) return;
      }
    },
    send: async (isLast) => {
      wake(isLast);
      await new Promise((resolve) => setImmediate(resolve));
    },
  };
}

async function countBytes(body: RequestBody): Promise<number> {
  let count = 0;
  for await (const chunk of body.read() ?? []) count += chunk.length;
  return count;
}

// Guards against selecting a server while the caller is still sending.
test("a short body without a length is complete before it is forwarded", async () => {
  const incoming = createIncoming();
  let isRead = false;
  const { signal } = new AbortController();
  const reading = readRequestBody(
    { length: undefined, read: incoming.read },
    signal,
  ).finally(() => isRead = true);
  await incoming.send(false);
  assert.equal(isRead, false);
  await incoming.send(true);
  const body = await reading;
  assert.ok(body);
  assert.equal(body.length, 2 * CHUNK_BYTES);
  assert.ok(body.isReplayable);
  assert.equal(await countBytes(body), 2 * CHUNK_BYTES);
  assert.equal(await countBytes(body), 2 * CHUNK_BYTES);
});

test("a long body is streamed once, from its beginning", async () => {
  const chunks = REPLAYABLE_BODY_LIMIT_BYTES / CHUNK_BYTES + 5;
  const body = await readRequestBody({
    length: chunks * CHUNK_BYTES,
    read: async function* () {
      for (let index = 0; index < chunks; index += 1) {
        yield await Promise.resolve(new Uint8Array(CHUNK_BYTES));
      }
    },
  }, new AbortController().signal);
  assert.ok(body);
  assert.equal(body.length, chunks * CHUNK_BYTES);
  assert.ok(body.isReplayable);
  assert.equal(await countBytes(body), chunks * CHUNK_BYTES);
  assert.equal(body.isReplayable, false);
});
