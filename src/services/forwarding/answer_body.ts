/** Holds short answers until they are whole and passes long ones on. */
import { HELD_ANSWER_LIMIT_BYTES } from "../../constants.ts";
import { EXPIRED, runWithin } from "../clock/mod.ts";
import type { Clock } from "../clock/mod.ts";
import { BodyError } from "./upstream.ts";
import type { UpstreamAnswer } from "./upstream.ts";

/**
 * Time for the body of an answer that is not passed on, in milliseconds. A new
 * connection costs a server about 1 ms, so little is worth waiting for.
 */
const RELEASE_LIMIT_MS = 100;

/** How the body of an answer is passed on. */
export enum AnswerBodyKind {
  None = "none",
  Whole = "whole",
  Streamed = "streamed",
}

/** Body of an answer. */
export type AnswerBody =
  | { readonly kind: AnswerBodyKind.None }
  | { readonly kind: AnswerBodyKind.Whole; readonly bytes: Uint8Array }
  | {
    readonly kind: AnswerBodyKind.Streamed;
    /** Throws when the rest will not come. */
    readonly chunks: AsyncIterable<Uint8Array>;
  };

/**
 * Reads a body until it is whole or too long to be held.
 *
 * Throws a BodyError when it breaks off before either.
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
 * Passes over the body of an answer, so that its connection can be used again.
 *
 * A body that is not whole soon, or that is too long, costs the connection.
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
