/** Requests of one service that wait in this VM, in the order of their start. */
import type { TeamId } from "../../model/mod.ts";
import { ALL_LEVELS, LATE_LEVEL } from "./capacity_view.ts";
import { WaitLane } from "./decision.ts";

/** What the queue needs to know of a waiting request. */
export interface WaitingItem {
  readonly team: TeamId;
  /** Level of its priority. */
  readonly level: number;
  /** Expected work, in slot-milliseconds. */
  readonly workMs: number;
  /** Monotonic time after which its response would be late, in ms. */
  readonly targetAt: number;
  /** Monotonic time of its deadline, in milliseconds. */
  readonly deadlineAt: number;
}

interface Entry<Item> {
  readonly item: Item;
  lane: WaitLane;
  /** Virtual time at which it ends if all teams have equal shares of slots. */
  readonly finish: number;
}

/**
 * Orders requests by lane, then by level, then fairly among teams by slot time.
 *
 * In a lane and level the request with the earliest virtual finish goes first,
 * which also prefers requests with little work.
 */
export class WaitingQueue<Item extends WaitingItem> {
  #entries: Entry<Item>[] = [];
  /** Virtual finish of each team's newest request. */
  readonly #finishes = new Map<TeamId, number>();
  #virtualTime = 0;

  /** Number of waiting requests. */
  get size(): number {
    return this.#entries.length;
  }

  /** Adds a request. */
  add(item: Item, lane: WaitLane): void {
    const start = Math.max(
      this.#virtualTime,
      this.#finishes.get(item.team) ?? 0,
    );
    const finish = start + item.workMs;
    this.#finishes.set(item.team, finish);
    this.#entries.push({ item, lane, finish });
    this.#entries.sort(computeOrder);
  }

  /** Removes a request; returns false if it does not wait. */
  remove(item: Item): boolean {
    const index = this.#entries.findIndex((entry) => entry.item === item);
    if (index === -1) return false;
    this.#entries.splice(index, 1);
    if (this.#entries.length === 0) this.#removeTeams();
    return true;
  }

  /** Removes a request that starts, and advances virtual time to it. */
  claim(item: Item): void {
    const entry = this.#entries.find((other) => other.item === item);
    if (entry === undefined) return;
    const start = entry.finish - item.workMs;
    this.#virtualTime = Math.max(this.#virtualTime, start);
    this.remove(item);
  }

  /** Returns the request that starts next. */
  getFirst(): Item | undefined {
    return this.#entries[0]?.item;
  }

  /** Lists all waiting requests, in order. */
  list(): Item[] {
    return this.#entries.map(({ item }) => item);
  }

  /** Returns the level of a waiting request, or the level of all late ones. */
  getLevel(item: Item): number {
    const entry = this.#entries.find((other) => other.item === item);
    return entry?.lane === WaitLane.Late ? LATE_LEVEL : item.level;
  }

  /**
   * Moves the requests that can no longer be answered within their target, with
   * a wait of `queueMs` at the servers, to the lane `Late`.
   */
  expireTargets(queueMs: number, now: number): void {
    for (const entry of this.#entries) {
      const { targetAt, workMs } = entry.item;
      if (now + queueMs + workMs > targetAt) entry.lane = WaitLane.Late;
    }
    this.#entries.sort(computeOrder);
  }

  /** Removes and returns the requests that can't end before their deadline. */
  collectExpired(queueMs: number, now: number): Item[] {
    const expired = this.list().filter(({ deadlineAt, workMs }) =>
      now + queueMs + workMs > deadlineAt
    );
    for (const item of expired) this.remove(item);
    return expired;
  }

  /** Sums the waiting work by level, in slot-milliseconds. */
  sumWork(): number[] {
    const sums = ALL_LEVELS.map(() => 0);
    for (const { item, lane } of this.#entries) {
      const level = lane === WaitLane.Late ? LATE_LEVEL : item.level;
      sums[level] = (sums[level] ?? 0) + item.workMs;
    }
    return sums;
  }

  /** Resets all shares once no request waits, which bounds memory. */
  #removeTeams(): void {
    this.#finishes.clear();
    this.#virtualTime = 0;
  }
}

function computeOrder(
  left: Entry<WaitingItem>,
  right: Entry<WaitingItem>,
): number {
  if (left.lane !== right.lane) return left.lane === WaitLane.Late ? 1 : -1;
  if (left.item.level !== right.item.level) {
    return left.item.level - right.item.level;
  }
  return left.finish - right.finish;
}
