/** Body of a request, buffered so that a retry can send it again. */
import { REPLAYABLE_BODY_LIMIT_BYTES } from "../../constants.ts";
import type { IncomingBody } from "../caller_front/exchange.ts";

/** Body that attempts read; one that is not fully buffered can be read once. */
export interface RequestBody {
  /** Length in bytes; undefined if unknown. */
  readonly length: number | undefined;
  /** Whether another attempt can send the complete body. */
  readonly isReplayable: boolean;
  /** Reads the body; undefined if there is none. */
  read(): AsyncIterable<Uint8Array> | undefined;
}

/**
 * Reads a body before a server is selected, so that no selected server waits
 * for a slow caller. Of a long body only the beginning is buffered and the rest
 * is streamed. Resolves to undefined if `signal` aborts first; throws if the
 * caller disconnects before the body ends.
 */
export async function readRequestBody(
  incoming: IncomingBody,
  signal: AbortSignal,
): Promise<RequestBody | undefined> {
  if (incoming.length === 0) {
    return { length: 0, isReplayable: true, read: () => undefined };
  }
  const reader = incoming.read()[Symbol.asyncIterator]();
  const aborted = waitForAbort(signal);
  const buffered: Uint8Array[] = [];
  let length = 0;
  while (length <= REPLAYABLE_BODY_LIMIT_BYTES) {
    const next = await Promise.race([reader.next(), aborted]);
    if (next === undefined) return undefined;
    if (next.done) {
      return { length, isReplayable: true, read: () => listChunks(buffered) };
    }
    buffered.push(next.value);
    length += next.value.length;
  }
  return createStreamedBody(incoming.length, buffered, reader);
}

/** Resolves to undefined when `signal` aborts. */
function waitForAbort(signal: AbortSignal): Promise<undefined> {
  return new Promise((resolve) => {
    if (signal.aborted) return resolve(undefined);
    const onAbort = (): void => resolve(undefined);
    signal.addEventListener("abort", onAbort, { once: true });
  });
}

function createStreamedBody(
  length: number | undefined,
  buffered: readonly Uint8Array[],
  reader: AsyncIterator<Uint8Array>,
): RequestBody {
  let isRead = false;
  return {
    length,
    get isReplayable() {
      return !isRead;
    },
    read: async function* () {
      isRead = true;
      yield* buffered;
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
