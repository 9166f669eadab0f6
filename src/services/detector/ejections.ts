/** Ejected servers of a service; the only code that enforces the floor. */
import type { Server, ServerId } from "../../model/mod.ts";

/** Whether a server gets requests. */
export enum EjectionState {
  /** It gets requests like any other server. */
  Admitted = "admitted",
  /** It gets no requests. */
  Ejected = "ejected",
  /** It gets a few requests that may be retried. */
  Trial = "trial",
}

/** Which kind of outcome caused an ejection. */
export enum EjectionReason {
  Failures = "failures",
  Slowness = "slowness",
}

/** An ejected server. */
export interface Ejection {
  readonly server: ServerId;
  readonly reason: EjectionReason;
  /** Strength of the evidence against the server; greater is worse. */
  readonly score: number;
  /** Monotonic time at which its trial begins, in milliseconds. */
  readonly trialAt: number;
  /** Good outcomes that the trial still requires. */
  remainingTrials: number;
  /** Interval between trial requests of this VM, in milliseconds. */
  readonly trialIntervalMs: number;
  /** Monotonic time of the newest trial request, in milliseconds. */
  lastTrialAt: number;
}

/** Servers to which the floor applies. */
export interface FloorView {
  /** Servers that may get requests, including ejected ones. */
  readonly servers: readonly Server[];
  /** Minimum share of their slots that must stay admitted, 0 to 1. */
  readonly floor: number;
}

/** Ejections of one service. */
export class Ejections {
  readonly #ejected = new Map<ServerId, Ejection>();

  /** Finds the ejection of a server, if it is ejected. */
  find(server: ServerId): Ejection | undefined {
    return this.#ejected.get(server);
  }

  /** Lists all ejections. */
  list(): Ejection[] {
    return [...this.#ejected.values()];
  }

  /**
   * Ejects a server if the floor allows it, and returns whether it did.
   *
   * If the floor does not allow a further ejection, the server replaces the
   * ejected one with the lowest score, provided that its own score is higher.
   */
  eject(ejection: Ejection, view: FloorView): boolean {
    this.removeExcess(view);
    if (this.#hasHeadroom(ejection.server, view)) {
      this.#ejected.set(ejection.server, ejection);
      return true;
    }
    const lowest = this.#findLowestScore();
    if (lowest === undefined || lowest.score >= ejection.score) return false;
    this.#ejected.delete(lowest.server);
    if (this.#hasHeadroom(ejection.server, view)) {
      this.#ejected.set(ejection.server, ejection);
      return true;
    }
    this.#ejected.set(lowest.server, lowest);
    return false;
  }

  /** Readmits a server. */
  remove(server: ServerId): void {
    this.#ejected.delete(server);
  }

  /** Readmits servers in order of their scores until the floor is met. */
  removeExcess(view: FloorView): void {
    const known = new Set(view.servers.map((server) => server.id));
    for (const server of this.#ejected.keys()) {
      if (!known.has(server)) this.#ejected.delete(server);
    }
    while (
      this.#ejected.size > 0 && countEjectableSlots(view, this.#ejected) < 0
    ) {
      const lowest = this.#findLowestScore();
      if (lowest === undefined) return;
      this.#ejected.delete(lowest.server);
    }
  }

  /** Counts the further slots that may be ejected. */
  countEjectableSlots(view: FloorView): number {
    return countEjectableSlots(view, this.#ejected);
  }

  #hasHeadroom(server: ServerId, view: FloorView): boolean {
    const after = new Set([...this.#ejected.keys(), server]);
    return countEjectableSlots(view, after) >= 0;
  }

  #findLowestScore(): Ejection | undefined {
    return this.list().toSorted((left, right) => left.score - right.score)[0];
  }
}

/** Counts the admitted slots in excess of the floor; negative if too few. */
function countEjectableSlots(
  view: FloorView,
  ejected: { has(server: ServerId): boolean },
): number {
  let all = 0;
  let admitted = 0;
  for (const server of view.servers) {
    all += server.slots;
    if (!ejected.has(server.id)) admitted += server.slots;
  }
  return admitted - Math.ceil(all * view.floor);
}
