/** Start-time fair queuing among teams, as a queue class for p-queue. */
import type { QueueAddOptions } from "p-queue";

/** Job that p-queue runs. */
export type QueuedRun = () => Promise<unknown>;

/** Options by which the queue orders jobs. */
export interface FairOptions extends QueueAddOptions {
  /** Team of the job; jobs of one team run in the order they were added. */
  readonly team: string;
  /**
   * Expected work; teams get equal shares of its sum.
   * @default 1
   */
  readonly work?: number;
}

interface QueuedJob {
  readonly run: QueuedRun;
  readonly id: string | undefined;
  readonly work: number;
  /** Virtual time at which the job would start if all teams had equal shares. */
  start: number;
}

interface TeamQueue {
  readonly jobs: QueuedJob[];
  /** Virtual time at which the team's newest job would end. */
  finish: number;
}

const NO_TEAM = "";

/**
 * Orders jobs by virtual start time: each team with waiting jobs gets an equal
 * share of the dispatched work, however many jobs it adds.
 *
 * All state is removed once the queue is empty, which bounds memory.
 */
export class FairQueue {
  readonly #teams = new Map<string, TeamQueue>();
  #virtualTime = 0;
  #size = 0;

  /** Number of waiting jobs. */
  get size(): number {
    return this.#size;
  }

  /** Adds a job to the end of its team's queue. */
  enqueue(run: QueuedRun, options?: Partial<FairOptions>): void {
    const team = options?.team ?? NO_TEAM;
    const queue = this.#teams.get(team) ?? {
      jobs: [],
      finish: this.#virtualTime,
    };
    const start = Math.max(this.#virtualTime, queue.finish);
    const work = options?.work ?? 1;
    queue.jobs.push({ run, id: options?.id, work, start });
    queue.finish = start + work;
    this.#teams.set(team, queue);
    this.#size += 1;
  }

  /** Removes and returns the job with the smallest virtual start time. */
  dequeue(): QueuedRun | undefined {
    const entry = this.#findNext();
    if (entry === undefined) return undefined;
    const job = entry.jobs.shift();
    if (job === undefined) return undefined;
    this.#size -= 1;
    this.#virtualTime = job.start;
    this.#removeAllIfEmpty();
    return job.run;
  }

  /** Lists the waiting jobs of one team, in order. */
  filter(options: Readonly<Partial<FairOptions>>): QueuedRun[] {
    const queue = this.#teams.get(options.team ?? NO_TEAM);
    return queue?.jobs.map((job) => job.run) ?? [];
  }

  /** Counts the waiting jobs of one team. */
  count(team: string): number {
    return this.#teams.get(team)?.jobs.length ?? 0;
  }

  /** Does nothing: required by p-queue, but only fairness sets the order. */
  setPriority(_id: string, _priority: number): void {}

  /** Removes a cancelled job; later jobs of its team move up. */
  remove(idOrRun: string | QueuedRun): void {
    for (const queue of this.#teams.values()) {
      const index = queue.jobs.findIndex((job) =>
        job.id === idOrRun || job.run === idOrRun
      );
      if (index === -1) continue;
      const work = queue.jobs[index]?.work ?? 0;
      queue.jobs.splice(index, 1);
      for (const later of queue.jobs.slice(index)) later.start -= work;
      queue.finish -= work;
      this.#size -= 1;
      this.#removeAllIfEmpty();
      return;
    }
  }

  /** Finds the team whose job starts first; removes idle teams on the way. */
  #findNext(): TeamQueue | undefined {
    let best: TeamQueue | undefined;
    let bestStart = Infinity;
    for (const [team, queue] of this.#teams) {
      const [first] = queue.jobs;
      if (first === undefined) this.#removeIfIdle(team, queue);
      if (first === undefined || first.start >= bestStart) continue;
      best = queue;
      bestStart = first.start;
    }
    return best;
  }

  #removeIfIdle(team: string, queue: TeamQueue): void {
    if (queue.finish <= this.#virtualTime) this.#teams.delete(team);
  }

  /** Resets virtual time and all shares once no job is waiting. */
  #removeAllIfEmpty(): void {
    if (this.#size > 0) return;
    this.#teams.clear();
    this.#virtualTime = 0;
  }
}
