/** Buffers short responses until they are complete and streams long ones. */
import { BUFFERED_RESPONSE_LIMIT_BYTES } from "../../constants.ts";
import { UNBOUNDED_HOLD } from "../memory_budget/mod.ts";
import type { MemoryHold } from "../memory_budget/mod.ts";
import { runWithTimeout, TIMED_OUT } from "../clock/mod.ts";
import type { Clock } from "../clock/mod.ts";
import { BodyError } from "./upstream.ts";
import type { UpstreamResponse } from "./upstream.ts";

/**
 * Maximum time to read the body of a discarded response, in milliseconds. A new
 * connection costs a server only about 1 ms, so a long wait is not worth it.
 */
const RELEASE_TIMEOUT_MS = 100;

/** How a response body is forwarded to the caller. */
export enum ResponseBodyKind {
  None = "none",
  Buffered = "whole",
  Streamed = "streamed",
}

/** Body of a response. */
export type ResponseBody =
  | { readonly kind: ResponseBodyKind.None }
  | { readonly kind: ResponseBodyKind.Buffered; readonly bytes: Uint8Array }
  | {
    readonly kind: ResponseBodyKind.Streamed;
    /** Throws if the body breaks off. */
    readonly chunks: AsyncIterable<Uint8Array>;
  };

/**
 * Reads a body until it is complete or too long to be buffered, or until the
 * memory budget allows no more.
 *
 * Throws a {@linkcode BodyError} if it breaks off before that.
 */
export async function readResponseBody(
  response: UpstreamResponse,
  hold: MemoryHold,
): Promise<ResponseBody> {
  if (!response.hasBody) return { kind: ResponseBodyKind.None };
  const reader = response.readBody()[Symbol.asyncIterator]();
  const buffered: Uint8Array[] = [];
  let size = 0;
  while (size <= BUFFERED_RESPONSE_LIMIT_BYTES) {
    const next = await reader.next();
    if (next.done) {
      return {
        kind: ResponseBodyKind.Buffered,
        bytes: Buffer.concat(buffered),
      };
    }
    buffered.push(next.value);
    size += next.value.length;
    if (!hold.tryAdd(next.value.length)) break;
  }
  return {
    kind: ResponseBodyKind.Streamed,
    chunks: mergeChunks(buffered, reader),
  };
}

/**
 * Discards the body of a response so that its connection can be reused.
 *
 * Closes the connection if the body is too long or does not end in time.
 */
export async function releaseResponse(
  response: UpstreamResponse,
  clock: Clock,
): Promise<void> {
  try {
    const body = await runWithTimeout(
      clock,
      RELEASE_TIMEOUT_MS,
      () => readResponseBody(response, UNBOUNDED_HOLD),
    );
    if (body === TIMED_OUT || body.kind === ResponseBodyKind.Streamed) {
      response.cancel();
    }
  } catch (error) {
    response.cancel();
    if (!(error instanceof BodyError)) throw error;
  }
}

async function* mergeChunks(
  buffered: readonly Uint8Array[],
  reader: AsyncIterator<Uint8Array>,
): AsyncGenerator<Uint8Array> {
  yield* buffered;
  while (true) {
    const next = await reader.next();
    if (next.done) return;
    yield next.value;
  }
}
