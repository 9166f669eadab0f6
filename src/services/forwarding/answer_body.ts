/** Buffers short responses until they are complete and streams long ones. */
import { HELD_ANSWER_LIMIT_BYTES } from "../../constants.ts";
import { EXPIRED, runWithin } from "../clock/mod.ts";
import type { Clock } from "../clock/mod.ts";
import { BodyError } from "./upstream.ts";
import type { UpstreamAnswer } from "./upstream.ts";

/**
 * Maximum time to read the body of a discarded response, in milliseconds. A new
 * connection costs a server only about 1 ms, so a long wait is not worth it.
 */
const RELEASE_LIMIT_MS = 100;

/** How a response body is forwarded to the caller. */
export enum AnswerBodyKind {
  None = "none",
  Whole = "whole",
  Streamed = "streamed",
}

/** Body of a response. */
export type AnswerBody =
  | { readonly kind: AnswerBodyKind.None }
  | { readonly kind: AnswerBodyKind.Whole; readonly bytes: Uint8Array }
  | {
    readonly kind: AnswerBodyKind.Streamed;
    /** Throws if the body breaks off. */
    readonly chunks: AsyncIterable<Uint8Array>;
  };

/**
 * Reads a body until it is complete or too long to be buffered.
 *
 * Throws a {@linkcode BodyError} if it breaks off before that.
 */
export async function readAnswerBody(
  answer: UpstreamAnswer,
): Promise<AnswerBody> {
  if (!answer.hasBody) return { kind: AnswerBodyKind.None };
  const reader = answer.readBody()[Symbol.asyncIterator]();
  const held: Uint8Array[] = [];
  let size = 0;
  while (size <= HELD_ANSWER_LIMIT_BYTES) {
    const next = await reader.next();
    if (next.done) {
      return { kind: AnswerBodyKind.Whole, bytes: Buffer.concat(held) };
    }
    held.push(next.value);
    size += next.value.length;
  }
  return {
    kind: AnswerBodyKind.Streamed,
    chunks: mergeChunks(held, reader),
  };
}

/**
 * Discards the body of a response so that its connection can be reused.
 *
 * Closes the connection if the body is too long or does not end in time.
 */
export async function releaseAnswer(
  answer: UpstreamAnswer,
  clock: Clock,
): Promise<void> {
  try {
    const body = await runWithin(
      clock,
      RELEASE_LIMIT_MS,
      () => readAnswerBody(answer),
    );
    if (body === EXPIRED || body.kind === AnswerBodyKind.Streamed) {
      answer.cancel();
    }
  } catch (error) {
    answer.cancel();
    if (!(error instanceof BodyError)) throw error;
  }
}

async function* mergeChunks(
  held: readonly Uint8Array[],
  reader: AsyncIterator<Uint8Array>,
): AsyncGenerator<Uint8Array> {
  yield* held;
  while (true) {
    const next = await reader.next();
    if (next.done) return;
    yield next.value;
  }
}
