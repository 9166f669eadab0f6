import assert from "node:assert/strict";
import { test } from "node:test";
import { REPLAYABLE_BODY_LIMIT_BYTES } from "../../constants.ts";
import { UNBOUNDED_HOLD } from "../memory_budget/mod.ts";
import { BodyClaimKind, readRequestBody } from "./request_body.ts";
import type { BodyClaim, RequestBody } from "./request_body.ts";

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

type ClaimedBody = Extract<BodyClaim, { kind: BodyClaimKind.Claimed }>;

function claimBody(body: RequestBody): ClaimedBody {
  const claim = body.claim();
  assert.equal(claim.kind, BodyClaimKind.Claimed);
  return claim as ClaimedBody;
}

async function countBytes({ chunks }: ClaimedBody): Promise<number> {
  let count = 0;
  for await (const chunk of chunks ?? []) count += chunk.length;
  return count;
}

const LONG_CHUNKS = REPLAYABLE_BODY_LIMIT_BYTES / CHUNK_BYTES + 5;

async function readLongBody(length: number | undefined): Promise<RequestBody> {
  const body = await readRequestBody(
    {
      length,
      read: async function* () {
        for (let index = 0; index < LONG_CHUNKS; index += 1) {
          yield await Promise.resolve(new Uint8Array(CHUNK_BYTES));
        }
      },
    },
    new AbortController().signal,
    UNBOUNDED_HOLD,
  );
  assert.ok(body);
  return body;
}

// Guards against selecting a server while the caller is still sending.
test("a short body without a length is complete before it is forwarded", async () => {
  const incoming = createIncoming();
  let isRead = false;
  const { signal } = new AbortController();
  const reading = readRequestBody(
    { length: undefined, read: incoming.read },
    signal,
    UNBOUNDED_HOLD,
  ).finally(() => isRead = true);
  await incoming.send(false);
  assert.equal(isRead, false);
  await incoming.send(true);
  const body = await reading;
  assert.ok(body);
  assert.equal(body.length, 2 * CHUNK_BYTES);
  const claims = [claimBody(body), claimBody(body)];
  assert.ok(body.canClaim);
  for (const claim of claims) {
    assert.equal(await countBytes(claim), 2 * CHUNK_BYTES);
  }
});

for (const length of [LONG_CHUNKS * CHUNK_BYTES, undefined]) {
  const kind = length === undefined ? "in chunks" : "with a length";
  // Guards against two attempts that each send a part of the body.
  test(`a long body ${kind} is sent by one attempt, from its beginning`, async () => {
    const body = await readLongBody(length);
    assert.equal(body.length, length);
    const claim = claimBody(body);
    // A second attempt may start before the first has read anything.
    assert.equal(body.canClaim, false);
    assert.equal(body.claim().kind, BodyClaimKind.Unavailable);
    assert.equal(await countBytes(claim), LONG_CHUNKS * CHUNK_BYTES);
    claim.release();
    assert.equal(body.canClaim, false);
    assert.equal(body.claim().kind, BodyClaimKind.Unavailable);
  });
}

// Guards against a refused connection that ends a request with a long body.
test("a long body that was claimed but not read can be claimed again", async () => {
  const body = await readLongBody(undefined);
  const first = claimBody(body);
  first.release();
  const second = claimBody(body);
  first.release();
  assert.equal(body.canClaim, false, "released by an earlier claim");
  await assert.rejects(countBytes(first), /without a claim/);
  assert.equal(await countBytes(second), LONG_CHUNKS * CHUNK_BYTES);
});
