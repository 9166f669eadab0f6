/** Body of a request, buffered so that a retry can send it again. */
import { REPLAYABLE_BODY_LIMIT_BYTES } from "../../constants.ts";
import type { IncomingBody } from "../caller_front/exchange.ts";
import type { MemoryHold } from "../memory_budget/mod.ts";

/** Kinds of {@linkcode BodyClaim}. */
export enum BodyClaimKind {
  Claimed = "claimed",
  Unavailable = "unavailable",
}

/** Result of an attempt's claim on the body of its request. */
export type BodyClaim =
  | {
    readonly kind: BodyClaimKind.Claimed;
    /** Complete body, to be read once; undefined if there is none. */
    readonly chunks: AsyncIterable<Uint8Array> | undefined;
    /**
     * Lets another attempt claim the body, unless this one began to read it;
     * to be called when the attempt has ended.
     */
    readonly release: () => void;
  }
  /** Another attempt sends the body, or has sent part of it. */
  | { readonly kind: BodyClaimKind.Unavailable };

/**
 * Body that attempts send completely. Any number of attempts may claim a
 * buffered one; a streamed one can be read only once, by the attempt that
 * claimed it.
 */
export interface RequestBody {
  /** Length in bytes; undefined if unknown. */
  readonly length: number | undefined;
  /** Whether {@linkcode claim} would succeed now. */
  readonly canClaim: boolean;
  /** Claims the body for an attempt that starts. */
  claim(): BodyClaim;
}

/**
 * Reads a body before a server is selected, so that no selected server waits
 * for a slow caller. Of a long body, or if the memory budget allows no more,
 * only the beginning is buffered and the rest is streamed. Resolves to undefined if `signal` aborts first; throws if the
 * caller disconnects before the body ends.
 */
export async function readRequestBody(
  incoming: IncomingBody,
  signal: AbortSignal,
  hold: MemoryHold,
): Promise<RequestBody | undefined> {
  if (incoming.length === 0) {
    return createBufferedBody(0, () => undefined);
  }
  const reader = incoming.read()[Symbol.asyncIterator]();
  const aborted = waitForAbort(signal);
  const buffered: Uint8Array[] = [];
  let length = 0;
  while (length <= REPLAYABLE_BODY_LIMIT_BYTES) {
    const next = await Promise.race([reader.next(), aborted]);
    if (next === undefined) return undefined;
    if (next.done) {
      return createBufferedBody(length, () => listChunks(buffered));
    }
    buffered.push(next.value);
    length += next.value.length;
    if (!hold.tryAdd(next.value.length)) break;
  }
  return new StreamedBody(incoming.length, buffered, reader);
}

/** Resolves to undefined when `signal` aborts. */
function waitForAbort(signal: AbortSignal): Promise<undefined> {
  return new Promise((resolve) => {
    if (signal.aborted) return resolve(undefined);
    const onAbort = (): void => resolve(undefined);
    signal.addEventListener("abort", onAbort, { once: true });
  });
}

function createBufferedBody(
  length: number,
  read: () => AsyncIterable<Uint8Array> | undefined,
): RequestBody {
  return {
    length,
    canClaim: true,
    claim: () => ({
      kind: BodyClaimKind.Claimed,
      chunks: read(),
      release: () => {},
    }),
  };
}

/** Progress of a streamed body. */
enum StreamState {
  Free = "free",
  Claimed = "claimed",
  Read = "read",
}

/** A body whose beginning is buffered and whose rest is still being received. */
class StreamedBody implements RequestBody {
  readonly length: number | undefined;
  readonly #buffered: readonly Uint8Array[];
  readonly #reader: AsyncIterator<Uint8Array>;
  #state = StreamState.Free;
  /** Number of claims so far; only the newest one may read. */
  #claimCount = 0;

  constructor(
    length: number | undefined,
    buffered: readonly Uint8Array[],
    reader: AsyncIterator<Uint8Array>,
  ) {
    this.length = length;
    this.#buffered = buffered;
    this.#reader = reader;
  }

  get canClaim(): boolean {
    return this.#state === StreamState.Free;
  }

  claim(): BodyClaim {
    if (!this.canClaim) return { kind: BodyClaimKind.Unavailable };
    this.#state = StreamState.Claimed;
    this.#claimCount += 1;
    const id = this.#claimCount;
    return {
      kind: BodyClaimKind.Claimed,
      chunks: this.#read(id),
      release: () => this.#release(id),
    };
  }

  #release(id: number): void {
    if (id !== this.#claimCount || this.#state !== StreamState.Claimed) return;
    this.#state = StreamState.Free;
  }

  async *#read(id: number): AsyncGenerator<Uint8Array> {
    if (id !== this.#claimCount || this.#state !== StreamState.Claimed) {
      throw new Error("the request body is read without a claim");
    }
    this.#state = StreamState.Read;
    yield* this.#buffered;
    while (true) {
      const next = await this.#reader.next();
      if (next.done) return;
      yield next.value;
    }
  }
}

async function* listChunks(
  chunks: readonly Uint8Array[],
): AsyncGenerator<Uint8Array> {
  yield* chunks;
}
