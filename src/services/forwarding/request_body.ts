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
 * Reads a short body whole before any server is involved; a longer one is
 * streamed. Throws when the caller breaks off.
 */
export async function readRequestBody(
  incoming: IncomingBody,
): Promise<RequestBody> {
  const { length } = incoming;
  if (length === 0) {
    return { length, isRepeatable: true, read: () => undefined };
  }
  if (length === undefined || length > REPEATABLE_BODY_LIMIT_BYTES) {
    return createStreamedBody(incoming);
  }
  const chunks: Uint8Array[] = [];
  for await (const chunk of incoming.read()) chunks.push(chunk);
  return { length, isRepeatable: true, read: () => listChunks(chunks) };
}

function createStreamedBody(incoming: IncomingBody): RequestBody {
  let isRead = false;
  return {
    length: incoming.length,
    get isRepeatable() {
      return !isRead;
    },
    read: async function* () {
      isRead = true;
      yield* incoming.read();
    },
  };
}

async function* listChunks(
  chunks: readonly Uint8Array[],
): AsyncGenerator<Uint8Array> {
  yield* chunks;
}
