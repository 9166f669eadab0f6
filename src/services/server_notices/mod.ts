/**
 * Server notices service: what servers reported about themselves in responses
 * to this VM, and whether they may be sent requests.
 *
 * A notice takes precedence over the server's entry, which may be older or come
 * from a VM that is behind. It concerns one start of a server: only a later
 * start of the same server ends it, or the end of the pause.
 */
import { ServerPhase } from "../../model/mod.ts";
import type { Server, ServerId } from "../../model/mod.ts";
import type { Clock } from "../clock/mod.ts";
import type { EvacuationView } from "../evacuation/mod.ts";
import type { Logger } from "../logging/mod.ts";
import { Counter } from "../metrics/mod.ts";
import type { Metrics } from "../metrics/mod.ts";

/** Whether a server may be sent requests now. */
export enum Availability {
  Available = "available",
  /** It leaves, by its entry or by its own responses. */
  Leaving = "leaving",
  /** Its failure domain is evacuated. */
  Evacuated = "evacuated",
  /** It asked to get no requests for some time. */
  Paused = "paused",
}

/** Kinds of {@linkcode ServerNotice}. */
enum NoticeKind {
  Leaving = "leaving",
  Paused = "paused",
}

/** What one start of a server reported about itself. */
type ServerNotice =
  | { readonly kind: NoticeKind.Leaving; readonly start: number }
  | {
    readonly kind: NoticeKind.Paused;
    readonly start: number;
    /** Monotonic time at which the pause ends, in milliseconds. */
    readonly until: number;
  };

/**
 * Maximum length of a pause. A faulty server may ask for years; after ten
 * minutes it is tried again, like one that was replaced.
 */
const PAUSE_MAX_MS = 600_000;
/** Time after a pause until a server gets its full share of requests. */
const PAUSE_RAMP_MS = 1_000;
/** Maximum number of servers with a notice; the oldest is dropped. */
const MAX_NOTICES = 10_000;

/** Dependencies of {@linkcode ServerNotices}. */
export interface ServerNoticesDependencies {
  readonly clock: Clock;
  readonly metrics: Metrics;
  readonly logger: Logger;
}

/** Stores the notices of servers. */
export class ServerNotices {
  readonly #deps: ServerNoticesDependencies;
  readonly #notices = new Map<ServerId, ServerNotice>();
  #evacuation: EvacuationView | undefined;

  /** Creates the service without notices. */
  constructor(deps: ServerNoticesDependencies) {
    this.#deps = deps;
  }

  /** Sets the evacuated failure domains; without them, there are none. */
  setEvacuation(evacuation: EvacuationView): void {
    this.#evacuation = evacuation;
  }

  /** Returns whether a server may be sent requests now. */
  getAvailability(server: Server): Availability {
    const availability = this.#getOwnAvailability(server);
    if (availability === Availability.Leaving) return availability;
    return this.#evacuation?.isEvacuated(server.failureDomain)
      ? Availability.Evacuated
      : availability;
  }

  /** Returns what a server's entry and responses say. */
  #getOwnAvailability(server: Server): Availability {
    if (server.phase === ServerPhase.Draining) return Availability.Leaving;
    const notice = this.#find(server);
    switch (notice?.kind) {
      case undefined:
        return Availability.Available;
      case NoticeKind.Leaving:
        return Availability.Leaving;
      case NoticeKind.Paused:
        return this.#deps.clock.now() < notice.until
          ? Availability.Paused
          : Availability.Available;
    }
  }

  /** Returns the rest of a server's pause in milliseconds; 0 if it has none. */
  getPauseMs(server: Server): number {
    const notice = this.#find(server);
    if (notice?.kind !== NoticeKind.Paused) return 0;
    return Math.max(0, notice.until - this.#deps.clock.now());
  }

  /** Returns the share of requests, 0 to 1, that a server gets after a pause. */
  getRampRatio(server: Server): number {
    const notice = this.#find(server);
    if (notice?.kind !== NoticeKind.Paused) return 1;
    const sinceMs = this.#deps.clock.now() - notice.until;
    return Math.min(1, Math.max(0, sinceMs / PAUSE_RAMP_MS));
  }

  /** Returns the start that a server's own responses said to be leaving. */
  findLeavingStart(id: ServerId): number | undefined {
    const notice = this.#notices.get(id);
    return notice?.kind === NoticeKind.Leaving ? notice.start : undefined;
  }

  /**
   * Records that a server's response said that it leaves. Returns whether that
   * is news.
   */
  recordLeaving(server: Server): boolean {
    const isNew = this.setLeaving(server.id, getStart(server));
    if (!isNew) return false;
    this.#deps.metrics.add(Counter.ServerNotices, NoticeKind.Leaving);
    this.#deps.logger.info("a server's response says that it is leaving", {
      server: server.id,
      start: getStart(server),
      phase: server.phase,
      offset: server.revision,
    });
    return true;
  }

  /**
   * Records that a start of a server is leaving, from this or another VM.
   * Returns whether that is news; a notice of a later start stays.
   */
  setLeaving(id: ServerId, start: number): boolean {
    const earlier = this.#notices.get(id);
    if (earlier !== undefined && earlier.start > start) return false;
    if (this.findLeavingStart(id) === start) return false;
    this.#set(id, { kind: NoticeKind.Leaving, start });
    return true;
  }

  /**
   * Records that a server wants no requests for `pauseMs` milliseconds. Pauses
   * overlap, since responses may overtake each other: the latest end holds.
   */
  recordPause(server: Server, pauseMs: number): void {
    const start = getStart(server);
    const earlier = this.#find(server);
    if (earlier?.kind === NoticeKind.Leaving) return;
    const until = this.#deps.clock.now() + Math.min(pauseMs, PAUSE_MAX_MS);
    if (earlier !== undefined && earlier.until >= until) return;
    this.#set(server.id, { kind: NoticeKind.Paused, start, until });
    this.#deps.metrics.add(Counter.ServerNotices, NoticeKind.Paused);
    this.#deps.logger.info("a server asked for a pause", {
      server: server.id,
      start,
      askedMs: Math.round(pauseMs),
      pauseMs: Math.round(until - this.#deps.clock.now()),
    });
  }

  #find(server: Server): ServerNotice | undefined {
    const notice = this.#notices.get(server.id);
    return notice?.start === getStart(server) ? notice : undefined;
  }

  #set(id: ServerId, notice: ServerNotice): void {
    this.#notices.delete(id);
    this.#notices.set(id, notice);
    if (this.#notices.size <= MAX_NOTICES) return;
    const oldest = this.#notices.keys().next();
    if (!oldest.done) this.#notices.delete(oldest.value);
  }
}

/**
 * Returns what identifies a start of a server: its time, or the revision of its
 * entry where servers do not report that time.
 */
export function getStart(server: Server): number {
  return server.startedAt ?? server.revision;
}
