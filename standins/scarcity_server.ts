/** A backend server in virtual time that sheds requests and may be lost. */
import type { VirtualTime } from "./virtual_clock.ts";

/** How a request at a server ended. */
export enum ServerResult {
  Done = "done",
  Shed = "shed",
  Lost = "lost",
}

interface Job {
  readonly workMs: number;
  readonly resolve: (result: ServerResult) => void;
}

/** Options of {@linkcode ScarcityServer}. */
export interface ScarcityServerOptions {
  readonly time: VirtualTime;
  readonly slots: number;
  /** Length of its queue at which it sheds requests. */
  readonly queueLimit: number;
  /** Returns its speed, 1 is full speed. */
  readonly getSpeed: () => number;
}

/** Runs requests in its slots, in order of arrival. */
export class ScarcityServer {
  readonly #options: ScarcityServerOptions;
  readonly #waiting: Job[] = [];
  readonly #running = new Set<Job>();
  /** Whether it accepts requests. */
  isUp = true;

  constructor(options: ScarcityServerOptions) {
    this.#options = options;
  }

  get slots(): number {
    return this.#options.slots;
  }

  get running(): number {
    return this.#running.size;
  }

  get waiting(): number {
    return this.#waiting.length;
  }

  /** Runs a request that needs `workMs` at full speed. */
  run(workMs: number): Promise<ServerResult> {
    return new Promise((resolve) => {
      if (!this.isUp) return resolve(ServerResult.Shed);
      if (this.#running.size < this.#options.slots) {
        return this.#start({ workMs, resolve });
      }
      if (this.#waiting.length >= this.#options.queueLimit) {
        return resolve(ServerResult.Shed);
      }
      this.#waiting.push({ workMs, resolve });
    });
  }

  /** Loses all requests and refuses further ones. */
  kill(): void {
    this.isUp = false;
    const jobs = [...this.#running, ...this.#waiting];
    this.#running.clear();
    this.#waiting.length = 0;
    for (const { resolve } of jobs) resolve(ServerResult.Lost);
  }

  #start(job: Job): void {
    const { time, getSpeed } = this.#options;
    this.#running.add(job);
    time.startTimer(job.workMs / getSpeed(), () => {
      if (!this.#running.delete(job)) return;
      const next = this.#waiting.shift();
      if (next !== undefined) this.#start(next);
      job.resolve(ServerResult.Done);
    });
  }
}
