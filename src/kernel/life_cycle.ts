/** Lifecycle manager: starts services, runs their tasks and stops them. */

import { setMaxListeners } from "node:events";

/** A synchronous or asynchronous step of a service's start or stop. */
export type LifeCycleStep = () => void | Promise<void>;

/** A long-running task; must end soon after its signal aborts. */
export type Task = (signal: AbortSignal) => Promise<void>;

/** Notified of failed tasks, failed stop steps and missed stop deadlines. */
export interface LifeCycleObserver {
  /** Records a failure of the service `owner`; `cause` is the thrown value. */
  recordFailure(owner: string, cause: unknown): void;
  /**
   * Records that a handler of the service `owner` threw `cause` while it
   * processed input of `peer`.
   */
  recordHandlerFailure(owner: string, peer: string, cause: unknown): void;
}

/** Runs the handlers of a listener, so that no input ends the process. */
export interface HandlerBoundary {
  /**
   * Runs `handler` for input of `peer`. If it throws or rejects, records the
   * failure and calls `handleFailure`.
   */
  run(
    peer: string,
    handler: LifeCycleStep,
    handleFailure: (cause: unknown) => void,
  ): void;
}

/** Tracks what one service started, so that nothing outlives the service. */
export class Scope {
  readonly name: string;
  readonly #observer: LifeCycleObserver;
  readonly #starts: LifeCycleStep[] = [];
  readonly #stops: LifeCycleStep[] = [];
  readonly #controller = new AbortController();
  readonly #tasks = new Set<Promise<void>>();

  /** Creates an empty scope for the service `name`. */
  constructor(name: string, observer: LifeCycleObserver) {
    this.name = name;
    this.#observer = observer;
    setMaxListeners(0, this.#controller.signal);
  }

  /** Aborts when the service stops. */
  get signal(): AbortSignal {
    return this.#controller.signal;
  }

  /** Adds a step of the service's start; steps run in the order of addition. */
  addStart(step: LifeCycleStep): void {
    this.#starts.push(step);
  }

  /** Adds a step of the service's stop; steps run in reverse order. */
  addStop(step: LifeCycleStep): void {
    this.#stops.push(step);
  }

  /** Runs a task until it ends or the service stops; reports its failure. */
  runTask(task: Task): void {
    const run = task(this.signal)
      .catch((cause: unknown) => this.#recordUnlessStopped(cause))
      .finally(() => this.#tasks.delete(run));
    this.#tasks.add(run);
  }

  /** Creates the boundary in which a listener of the service runs handlers. */
  createBoundary(): HandlerBoundary {
    return {
      run: (peer, handler, handleFailure) => {
        void this.#runHandler(peer, handler, handleFailure);
      },
    };
  }

  async #runHandler(
    peer: string,
    handler: LifeCycleStep,
    handleFailure: (cause: unknown) => void,
  ): Promise<void> {
    try {
      await handler();
    } catch (cause) {
      this.#observer.recordHandlerFailure(this.name, peer, cause);
      handleFailure(cause);
    }
  }

  /** Runs the start steps; rejects with the first error of a step. */
  async start(): Promise<void> {
    for (const step of this.#starts) await step();
  }

  /** Runs the stop steps, aborts the tasks and waits for them to end. */
  async stop(): Promise<void> {
    for (const step of this.#stops.toReversed()) {
      try {
        await step();
      } catch (cause) {
        this.#observer.recordFailure(this.name, cause);
      }
    }
    this.#controller.abort();
    await Promise.all(this.#tasks);
  }

  #recordUnlessStopped(cause: unknown): void {
    if (this.signal.aborted) return;
    this.#observer.recordFailure(this.name, cause);
  }
}

/** Starts scopes in order and stops them in reverse, within a deadline. */
export class LifeCycle {
  readonly #observer: LifeCycleObserver;
  readonly #started: Scope[] = [];

  /** Creates a manager that reports failures to `observer`. */
  constructor(observer: LifeCycleObserver) {
    this.#observer = observer;
  }

  /** Starts `scope`; {@linkcode stop} also stops it if its start fails. */
  async start(scope: Scope): Promise<void> {
    this.#started.push(scope);
    await scope.start();
  }

  /**
   * Stops all started scopes in reverse order.
   *
   * Returns false if `deadline` resolves first; the remaining scopes are then
   * not stopped.
   */
  async stop(deadline: Promise<unknown>): Promise<boolean> {
    const expired = deadline.then(() => false as const);
    while (this.#started.length > 0) {
      const scope = this.#started.pop();
      if (scope === undefined) break;
      const stopped = scope.stop().then(() => true as const);
      if (await Promise.race([stopped, expired])) continue;
      this.#observer.recordFailure(
        scope.name,
        new Error("did not stop before the deadline"),
      );
      return false;
    }
    return true;
  }
}
