/** The body of a request, held when it may have to be sent again. */
import { REPEATABLE_BODY_LIMIT_BYTES } from "../../constants.ts";
import type { IncomingBody } from "../caller_front/exchange.ts";

/** A body that attempts read; one that is not held can be read once. */
export interface RequestBody {
  /** Length in bytes; undefined if it is not known. */
  readonly length: number | undefined;
  /** Whether another attempt can send the whole body. */
  readonly isRepeatable: boolean;
  /** Reads the body; undefined when there is none. */
  read(): AsyncIterable<Uint8Array> | undefined;
}

/**
 * Reads a body before any server is selected, so that no selected server waits
 * for its caller. Of a long one only the beginning is held; the rest is
 * streamed. Undefined when `signal` aborts first; throws when the caller breaks
 * off.
 */
export async function readRequestBody(
  incoming: IncomingBody,
  signal: AbortSignal,
): Promise<RequestBody | undefined> {
  if (incoming.length === 0) {
    return { length: 0, isRepeatable: true, read: () => undefined };
  }
  const reader = incoming.read()[Symbol.asyncIterator]();
  const aborted = waitForAbort(signal);
  const held: Uint8Array[] = [];
  let length = 0;
  while (length <= REPEATABLE_BODY_LIMIT_BYTES) {
    const next = await Promise.race([reader.next(), aborted]);
    if (next === undefined) return undefined;
    if (next.done) {
      return { length, isRepeatable: true, read: () => listChunks(held) };
    }
    held.push(next.value);
    length += next.value.length;
  }
  return createStreamedBody(incoming.length, held, reader);
}

/** Resolves to undefined when `signal` aborts. */
function waitForAbort(signal: AbortSignal): Promise<undefined> {
  return new Promise((resolve) => {
    if (signal.aborted) return resolve(undefined);
    const stop = (): void => resolve(undefined);
    signal.addEventListener("abort", stop, { once: true });
  });
}

function createStreamedBody(
  length: number | undefined,
  held: readonly Uint8Array[],
  reader: AsyncIterator<Uint8Array>,
): RequestBody {
  let isRead = false;
  return {
    length,
    get isRepeatable() {
      return !isRead;
    },
    read: async function* () {
      isRead = true;
      yield* held;
      while (true) {
        const next = await reader.next();
        if (next.done) return;
        yield next.value;
      }
    },
  };
}

async function* listChunks(
  chunks: readonly Uint8Array[],
): AsyncGenerator<Uint8Array> {
  yield* chunks;
}
