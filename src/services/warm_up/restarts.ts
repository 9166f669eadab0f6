/**
 * Servers that could not be reached, which may have restarted.
 *
 * A restarted server is cold, but its new entry may arrive after the first
 * request that reaches it.
 */
import type { Server, ServerId, ServiceId } from "../../model/mod.ts";

/**
 * Share of a service's servers, 0 to 1, from which this VM's own link is the
 * likely reason why they could not be reached. When a failure domain restarts,
 * it contains about half of a service's servers.
 */
const LINK_FAULT_RATIO = 0.75;
/**
 * Time in multiples of the cold time for which a server that was not reached
 * again is considered cold. A VM without permits never tries such a server, and
 * a server that stays down is removed from the list within a few seconds.
 */
const UNREACHED_RATIO = 2;

/** A server that could not be reached. */
interface Mark {
  readonly service: ServiceId;
  /** Monotonic time of the newest failure, in milliseconds. */
  readonly failedAt: number;
  /** Time at which it was first reached again; undefined before that. */
  readonly reachedAt: number | undefined;
  /** Time until which it is considered cold. */
  readonly until: number;
}

/** Tracks for how long servers may be cold after an assumed restart. */
export class Restarts {
  readonly #marks = new Map<ServerId, Mark>();

  /** Whether any server is marked. */
  get hasMarks(): boolean {
    return this.#marks.size > 0;
  }

  /** Records that a server refused a connection or could not be reached. */
  recordUnreachable(server: Server, coldMs: number, now: number): void {
    this.#marks.set(server.id, {
      service: server.service,
      failedAt: now,
      reachedAt: undefined,
      until: now + UNREACHED_RATIO * coldMs,
    });
  }

  /** Records that a server was reached. */
  recordReached(server: Server, coldMs: number, now: number): void {
    const mark = this.#marks.get(server.id);
    if (mark === undefined || mark.reachedAt !== undefined) return;
    this.#marks.set(server.id, {
      ...mark,
      reachedAt: now,
      until: now + coldMs,
    });
  }

  /**
   * Returns the time until which a server is considered cold; -Infinity if it
   * is not. An entry that changed after the failure takes precedence.
   */
  getColdUntil(server: Server): number {
    const mark = this.#marks.get(server.id);
    if (mark === undefined) return -Infinity;
    const isSuperseded = (server.listedAt ?? -Infinity) >= mark.failedAt;
    return isSuperseded ? -Infinity : mark.until;
  }

  /**
   * Removes the marks of a service if so many of its servers are marked that
   * this VM's own link is the likely cause. Returns whether it did so.
   */
  removeLinkFault(service: ServiceId, serverCount: number): boolean {
    const marked = [...this.#marks]
      .filter(([, mark]) => mark.service === service);
    if (marked.length < LINK_FAULT_RATIO * serverCount) return false;
    for (const [id] of marked) this.#marks.delete(id);
    return true;
  }

  /** Removes marks that have ended. */
  removeEnded(now: number): void {
    for (const [id, { until }] of this.#marks) {
      if (now >= until) this.#marks.delete(id);
    }
  }
}
