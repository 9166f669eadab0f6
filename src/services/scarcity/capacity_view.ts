/** A service's capacity and load as one VM knows them. */

/**
 * Number of levels of urgency. Requests with the priorities 0 and 1 have levels
 * of their own; all further priorities share the last one.
 */
export const URGENCY_LEVELS = 3;
/** Level of waiting requests that can only be answered late. */
export const LATE_LEVEL = URGENCY_LEVELS;
/** All levels in order, including {@linkcode LATE_LEVEL}. */
export const ALL_LEVELS: readonly number[] = Array.from(
  { length: URGENCY_LEVELS + 1 },
  (_level, index) => index,
);

/** Kinds of {@linkcode CapacityView}. */
export enum ViewKind {
  /** The other VMs report their requests. */
  Fleet = "fleet",
  /** Only what this VM's own requests have shown is known. */
  Local = "local",
}

/** What a VM always knows about a service. */
interface OwnView {
  /** Slots of all usable servers. */
  readonly slots: number;
  /** Expected work of a request of any route, in slot-milliseconds. */
  readonly processingMs: number;
  /** This VM's requests in flight. */
  readonly ownInFlight: number;
  /** Share of the servers that shed a request lately, 0 to 1. */
  readonly shedRatio: number;
  /** Age of the newest report of the other VMs in ms; infinite without one. */
  readonly ageMs: number;
}

/** Capacity and load of a service. */
export type CapacityView =
  | OwnView & {
    readonly kind: ViewKind.Fleet;
    readonly othersInFlight: number;
    /** Work in slot-milliseconds that waits at other VMs, by level. */
    readonly othersWaitingMs: readonly number[];
  }
  | OwnView & {
    readonly kind: ViewKind.Local;
    /** Shortest wait for a slot according to the servers' own reports, in ms. */
    readonly reportedQueueMs: number;
  };

/** Returns the level of a priority. */
export function getLevel(priority: number): number {
  return Math.min(URGENCY_LEVELS - 1, Math.max(0, Math.floor(priority)));
}

/**
 * Computes the requests in flight at all servers.
 *
 * Without reports of the other VMs, all slots are assumed to be in use, and
 * queues as long as the servers report: neither that there is room everywhere
 * nor that there is none would be safe.
 */
export function computeInFlight(view: CapacityView): number {
  switch (view.kind) {
    case ViewKind.Fleet:
      return view.ownInFlight + view.othersInFlight;
    case ViewKind.Local: {
      const queued = view.processingMs > 0
        ? view.reportedQueueMs / view.processingMs
        : 0;
      return Math.max(view.ownInFlight, view.slots * (1 + queued));
    }
  }
}

/**
 * Computes the expected wait for a slot at the servers, relative to the work of
 * a request; 0 without servers, so that the request fails with that cause.
 */
export function computeQueueRatio(view: CapacityView): number {
  if (view.slots === 0) return 0;
  const excess = Math.max(0, computeInFlight(view) - view.slots);
  // Servers that shed have longer queues than the counts suggest.
  return Math.max(excess / view.slots, view.shedRatio);
}

/** Computes the same in milliseconds. */
export function computeQueueMs(view: CapacityView): number {
  return computeQueueRatio(view) * view.processingMs;
}

/** Sums the work that waits at other VMs up to and including a level. */
export function sumOthersWaitingMs(view: CapacityView, level: number): number {
  switch (view.kind) {
    case ViewKind.Fleet:
      return view.othersWaitingMs.slice(0, level + 1)
        .reduce((sum, ms) => sum + ms, 0);
    case ViewKind.Local:
      return 0;
  }
}
