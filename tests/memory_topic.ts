/** Topics of a simulated store in virtual time, with faults for each client. */
import type { VirtualClock } from "../standins/virtual_clock.ts";
import { createPosition, getEra, getOffsetInEra } from "../src/model/mod.ts";
import { FeedReadKind } from "../src/services/feed/source.ts";
import type {
  EraListener,
  EraSource,
  FeedRead,
  FeedSource,
} from "../src/services/feed/source.ts";

/** Duration of a call to the store, in milliseconds. */
const CALL_MS = 4;
/** Timeout of a call to the store after its wait, in milliseconds. */
const CALL_TIMEOUT_MS = 1_000;

/** Options of {@linkcode MemoryTopic}. */
interface MemoryTopicOptions<Update> {
  /** Returns an update's key; the newest update of each key is retained. */
  readonly getKey: (update: Update) => string;
  /** Returns whether an update removes its key. */
  readonly isRemoval: (update: Update) => boolean;
}

/** Era of a store, and the newest one that each VM knows. */
export class MemoryEras {
  era = 0;
  readonly #known = new Map<string, number>();
  readonly #listeners = new Map<string, EraListener>();

  createSource(vm: string): EraSource {
    return {
      addListener: (listener) => void this.#listeners.set(vm, listener),
    };
  }

  recordAnswer(vm: string): void {
    const earlier = this.#known.get(vm);
    this.#known.set(vm, this.era);
    if (earlier === undefined || earlier === this.era) return;
    this.#listeners.get(vm)?.({ earlier, era: this.era });
  }
}

/** A keyed topic of the store, with faults for individual clients. */
export class MemoryTopic<Update> {
  readonly updates: Update[] = [];
  /** VMs whose calls are rejected. */
  readonly rejectedClients = new Set<string>();
  /** VMs whose calls get no response and time out. */
  readonly hangingClients = new Set<string>();
  /** Additional duration of calls by VM, in milliseconds. */
  readonly delays = new Map<string, number>();
  /** Returns whether the response to a VM is lost; runs once for each call. */
  isLost: (vm: string) => boolean = () => false;
  isDown = false;
  calls = 0;
  /** Times of all reads of the newest updates. */
  readonly newestReads: number[] = [];
  /** Offset of the oldest update in the history. */
  #firstOffset = 0;
  readonly #newest = new Map<string, Update>();
  readonly #waiters = new Set<() => void>();
  readonly #options: MemoryTopicOptions<Update>;
  readonly #eras: MemoryEras;
  #isPaused = false;
  /** End of the updates that readers get while updates are paused. */
  #pausedEnd = 0;

  constructor(options: MemoryTopicOptions<Update>, eras = new MemoryEras()) {
    this.#options = options;
    this.#eras = eras;
  }

  /** Position of the next update. */
  get nextPosition(): number {
    return createPosition(this.#eras.era, this.updates.length);
  }

  /** Goes back to the first `length` updates, in a new era. */
  restoreCopy(length: number): void {
    this.updates.length = length;
    this.#firstOffset = Math.min(this.#firstOffset, length);
    this.#newest.clear();
    for (const update of this.updates) this.#setNewest(update);
    for (const wake of this.#waiters) wake();
  }

  add(update: Update): void {
    this.updates.push(update);
    this.#setNewest(update);
    if (this.#isPaused) return;
    for (const wake of this.#waiters) wake();
  }

  /** Removes the history; the newest update of each key is retained. */
  removeHistory(): void {
    this.#firstOffset = this.updates.length;
  }

  /** Hides new updates from readers until {@linkcode releaseUpdates}. */
  pauseUpdates(): void {
    this.#isPaused = true;
    this.#pausedEnd = this.updates.length;
  }

  /** Ends {@linkcode pauseUpdates} and removes the history. */
  releaseUpdates(): void {
    this.#isPaused = false;
    this.removeHistory();
    for (const wake of this.#waiters) wake();
  }

  #setNewest(update: Update): void {
    const key = this.#options.getKey(update);
    if (this.#options.isRemoval(update)) this.#newest.delete(key);
    else this.#newest.set(key, update);
  }

  createSource(vm: string, clock: VirtualClock): FeedSource<Update> {
    const read = async (
      createRead: () => FeedRead<Update>,
      isDue: () => boolean,
      waitMs: number,
    ): Promise<FeedRead<Update>> => {
      this.calls += 1;
      await clock.sleep(CALL_MS + (this.delays.get(vm) ?? 0));
      if (this.isDown || this.rejectedClients.has(vm)) {
        return { kind: FeedReadKind.Unavailable, reason: "rejected" };
      }
      if (!isDue() && waitMs > 0) await this.#waitForUpdate(clock, waitMs);
      if (this.hangingClients.has(vm) || this.isLost(vm)) {
        await clock.sleep(CALL_TIMEOUT_MS);
        return { kind: FeedReadKind.Unavailable, reason: "no response" };
      }
      if (this.isDown || this.rejectedClients.has(vm)) {
        return { kind: FeedReadKind.Unavailable, reason: "rejected" };
      }
      this.#eras.recordAnswer(vm);
      return createRead();
    };
    return {
      readNewest: () => {
        this.newestReads.push(clock.now());
        return read(
          () => createUpdates([...this.#newest.values()], this.nextPosition),
          () => true,
          0,
        );
      },
      readFrom: (position, waitMs) => {
        const offset = getOffsetInEra(position);
        const isOutdated = (): boolean => getEra(position) !== this.#eras.era;
        return read(
          () => {
            if (isOutdated()) return { kind: FeedReadKind.EraChanged };
            if (offset < this.#firstOffset) {
              return { kind: FeedReadKind.OutOfRange };
            }
            return createUpdates(
              this.updates.slice(offset, this.#end),
              Math.max(position, createPosition(this.#eras.era, this.#end)),
            );
          },
          () => isOutdated() || offset < this.#end,
          waitMs,
        );
      },
    };
  }

  /** End of the updates that a read from a position returns. */
  get #end(): number {
    return this.#isPaused ? this.#pausedEnd : this.updates.length;
  }

  #waitForUpdate(clock: VirtualClock, waitMs: number): Promise<void> {
    return new Promise((resolve) => {
      const stop = (): void => {
        this.#waiters.delete(stop);
        resolve();
      };
      this.#waiters.add(stop);
      clock.startTimer(waitMs, stop);
    });
  }
}

function createUpdates<Update>(
  updates: readonly Update[],
  next: number,
): FeedRead<Update> {
  return { kind: FeedReadKind.Updates, updates, next, isComplete: true };
}
