/** Virtual time: timers run in order when a test advances the time. */
import type { Clock } from "../src/services/clock/mod.ts";

interface Timer {
  readonly at: number;
  readonly order: number;
  readonly run: () => void;
}

/** Time that passes only when it is advanced. */
export class VirtualTime {
  #now = 0;
  #timerCount = 0;
  /** Binary heap of timers by time, then by order of their start. */
  readonly #heap: Timer[] = [];

  /** Milliseconds since the start. */
  get now(): number {
    return this.#now;
  }

  /** Runs `action` after `ms` milliseconds; the result cancels it. */
  startTimer(ms: number, action: () => void): () => void {
    let isCancelled = false;
    this.#timerCount += 1;
    this.#addTimer({
      at: this.#now + Math.max(0, ms),
      order: this.#timerCount,
      run: () => {
        if (!isCancelled) action();
      },
    });
    return () => {
      isCancelled = true;
    };
  }

  /** Advances time by `ms` milliseconds and runs the timers that become due. */
  async advance(ms: number): Promise<void> {
    const end = this.#now + ms;
    await runPendingPromises();
    while ((this.#heap[0]?.at ?? Infinity) <= end) {
      this.#now = this.#heap[0]?.at ?? end;
      while (this.#heap[0]?.at === this.#now) this.#removeTimer()?.run();
      await runPendingPromises();
    }
    this.#now = end;
  }

  /**
   * Advances time until `condition` returns true; throws after `limitMs`.
   * Resolves with the elapsed milliseconds.
   */
  async advanceUntil(
    condition: () => boolean,
    limitMs: number,
  ): Promise<number> {
    const startedAt = this.#now;
    while (!condition()) {
      if (this.#now - startedAt > limitMs) {
        throw new Error(`the condition was not met within ${limitMs} ms`);
      }
      await this.advance(10);
    }
    return this.#now - startedAt;
  }

  #addTimer(timer: Timer): void {
    const heap = this.#heap;
    let index = heap.push(timer) - 1;
    while (index > 0) {
      const parent = (index - 1) >> 1;
      if (!isEarlier(timer, heap[parent])) break;
      heap[index] = heap[parent] as Timer;
      index = parent;
    }
    heap[index] = timer;
  }

  #removeTimer(): Timer | undefined {
    const heap = this.#heap;
    const [top] = heap;
    const last = heap.pop();
    if (last === undefined || heap.length === 0) return top;
    let index = 0;
    while (true) {
      let child = 2 * index + 1;
      if (child >= heap.length) break;
      const right = heap[child + 1];
      if (right !== undefined && isEarlier(right, heap[child])) child += 1;
      if (!isEarlier(heap[child] as Timer, last)) break;
      heap[index] = heap[child] as Timer;
      index = child;
    }
    heap[index] = last;
    return top;
  }
}

function isEarlier(left: Timer, right: Timer | undefined): boolean {
  if (right === undefined) return false;
  return left.at < right.at ||
    (left.at === right.at && left.order < right.order);
}

function runPendingPromises(): Promise<void> {
  return new Promise((resolve) => setImmediate(resolve));
}

/** Clock of one VM; no timers run on it while the VM is paused. */
export class VirtualClock implements Clock {
  readonly #time: VirtualTime;
  #isPaused = false;
  #deferred: (() => void)[] = [];

  /** Creates the clock of a running VM. */
  constructor(time: VirtualTime) {
    this.#time = time;
  }

  /** Monotonic time in milliseconds; advances also while the VM is paused. */
  now(): number {
    return this.#time.now;
  }

  /** Wall-clock time in milliseconds since 1970. */
  wallNow(): number {
    return this.#time.now;
  }

  /** Runs `action` after `ms` milliseconds, once the VM is running. */
  startTimer(ms: number, action: () => void): () => void {
    return this.#time.startTimer(ms, () => this.runWhileRunning(action));
  }

  /** Resolves after `ms` milliseconds, or as soon as `signal` aborts. */
  sleep(ms: number, signal?: AbortSignal): Promise<void> {
    if (signal?.aborted) return Promise.resolve();
    return new Promise((resolve) => {
      const cancel = this.startTimer(ms, stop);
      signal?.addEventListener("abort", stop, { once: true });
      function stop(): void {
        cancel();
        signal?.removeEventListener("abort", stop);
        resolve();
      }
    });
  }

  /** Runs `action` now, or when a paused VM resumes. */
  runWhileRunning(action: () => void): void {
    if (this.#isPaused) this.#deferred.push(action);
    else action();
  }

  /** Suspends the VM. */
  setPaused(): void {
    this.#isPaused = true;
  }

  /** Resumes the VM and runs the actions that became due during the pause. */
  setRunning(): void {
    this.#isPaused = false;
    const dueActions = this.#deferred;
    this.#deferred = [];
    for (const action of dueActions) action();
  }
}
