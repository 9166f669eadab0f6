/** Start-time fair queuing among teams, as a queue class for p-queue. */
import type { QueueAddOptions } from "p-queue";

/** A unit of work that p-queue runs. */
export type QueuedRun = () => Promise<unknown>;

/** Options by which the queue orders work. */
export interface FairOptions extends QueueAddOptions {
  /** Work of the same team is run in the order it was added. */
  readonly team: string;
}

interface Element {
  readonly run: QueuedRun;
  readonly id: string | undefined;
  /** Virtual time at which the work would start on its team's equal share. */
  start: number;
}

interface TeamQueue {
  readonly elements: Element[];
  /** Virtual time at which the team's newest work would end. */
  finish: number;
}

const NO_TEAM = "";

/**
 * Orders work by virtual start times: each team that has work waiting gets an
 * equal share of the dispatches, however much it adds.
 *
 * Nothing of a team stays once all work is gone, so memory is bounded.
 */
export class FairQueue {
  readonly #teams = new Map<string, TeamQueue>();
  #virtualTime = 0;
  #size = 0;

  /** Number of units of work that wait. */
  get size(): number {
    return this.#size;
  }

  /** Adds work. */
  enqueue(run: QueuedRun, options?: Partial<FairOptions>): void {
    const team = options?.team ?? NO_TEAM;
    const queue = this.#teams.get(team) ?? {
      elements: [],
      finish: this.#virtualTime,
    };
    const start = Math.max(this.#virtualTime, queue.finish);
    queue.elements.push({ run, id: options?.id, start });
    queue.finish = start + 1;
    this.#teams.set(team, queue);
    this.#size += 1;
  }

  /** Takes the work with the smallest virtual start time. */
  dequeue(): QueuedRun | undefined {
    const entry = this.#findNext();
    if (entry === undefined) return undefined;
    const element = entry.elements.shift();
    if (element === undefined) return undefined;
    this.#size -= 1;
    this.#virtualTime = element.start;
    this.#removeAllIfEmpty();
    return element.run;
  }

  /** Lists the work of one team, in order. */
  filter(options: Readonly<Partial<FairOptions>>): QueuedRun[] {
    const queue = this.#teams.get(options.team ?? NO_TEAM);
    return queue?.elements.map((element) => element.run) ?? [];
  }

  /** Counts the work of one team that waits. */
  count(team: string): number {
    return this.#teams.get(team)?.elements.length ?? 0;
  }

  /** Does nothing: order comes from fairness alone. */
  setPriority(_id: string, _priority: number): void {}

  /** Removes work that was cancelled; its team's later work moves up. */
  remove(idOrRun: string | QueuedRun): void {
    for (const queue of this.#teams.values()) {
      const index = queue.elements.findIndex((element) =>
        element.id === idOrRun || element.run === idOrRun
      );
      if (index === -1) continue;
      queue.elements.splice(index, 1);
      for (const later of queue.elements.slice(index)) later.start -= 1;
      queue.finish -= 1;
      this.#size -= 1;
      this.#removeAllIfEmpty();
      return;
    }
  }

  /** Finds the team whose work starts first, and forgets teams gone idle. */
  #findNext(): TeamQueue | undefined {
    let best: TeamQueue | undefined;
    let bestStart = Infinity;
    for (const [team, queue] of this.#teams) {
      const [first] = queue.elements;
      if (first === undefined) this.#removeIfPast(team, queue);
      if (first === undefined || first.start >= bestStart) continue;
      best = queue;
      bestStart = first.start;
    }
    return best;
  }

  #removeIfPast(team: string, queue: TeamQueue): void {
    if (queue.finish <= this.#virtualTime) this.#teams.delete(team);
  }

  /** Shares count from anew once nothing waits. */
  #removeAllIfEmpty(): void {
    if (this.#size > 0) return;
    this.#teams.clear();
    this.#virtualTime = 0;
  }
}
