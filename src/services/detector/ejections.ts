/** Which servers of a service are ejected: the one place that keeps the floor. */
import type { Server, ServerId } from "../../model/mod.ts";

/** Whether a server gets work. */
export enum ServerStanding {
  /** It gets work like any other. */
  Admitted = "admitted",
  /** It gets none. */
  Ejected = "ejected",
  /** It gets a trickle of requests that may be sent twice. */
  Trial = "trial",
}

/** Why a server was ejected. */
export enum EjectionReason {
  Failures = "failures",
  Slowness = "slowness",
}

/** An ejected server. */
export interface Ejection {
  readonly server: ServerId;
  readonly reason: EjectionReason;
  /** How bad the server is; greater is worse. */
  readonly score: number;
  /** Monotonic time in milliseconds at which its trial begins. */
  readonly trialAt: number;
  /** Good outcomes still needed in the trial. */
  trialsLeft: number;
  /** Time between two trial requests of this VM, in milliseconds. */
  readonly trialIntervalMs: number;
  /** Time of the newest trial request. */
  triedAt: number;
}

/** The servers among which the floor is counted. */
export interface FloorView {
  /** Servers that may get work, ejected ones included. */
  readonly servers: readonly Server[];
  /** Share of their slots, 0 to 1, that must stay admitted. */
  readonly floor: number;
}

/** Holds the ejections of one service. */
export class Ejections {
  readonly #ejected = new Map<ServerId, Ejection>();

  /** Finds the ejection of a server. */
  find(server: ServerId): Ejection | undefined {
    return this.#ejected.get(server);
  }

  /** Lists all ejections. */
  list(): Ejection[] {
    return [...this.#ejected.values()];
  }

  /**
   * Ejects a server if the floor allows it.
   *
   * When the floor binds, a server that is worse takes the place of the least
   * bad ejected one. Returns whether the server is ejected.
   */
  eject(ejection: Ejection, view: FloorView): boolean {
    this.removeExcess(view);
    if (this.#hasRoom(ejection.server, view)) {
      this.#ejected.set(ejection.server, ejection);
      return true;
    }
    const mildest = this.#findMildest();
    if (mildest === undefined || mildest.score >= ejection.score) return false;
    this.#ejected.delete(mildest.server);
    if (this.#hasRoom(ejection.server, view)) {
      this.#ejected.set(ejection.server, ejection);
      return true;
    }
    this.#ejected.set(mildest.server, mildest);
    return false;
  }

  /** Admits a server again. */
  remove(server: ServerId): void {
    this.#ejected.delete(server);
  }

  /** Admits the least bad servers again while the floor is not kept. */
  removeExcess(view: FloorView): void {
    const known = new Set(view.servers.map((server) => server.id));
    for (const server of this.#ejected.keys()) {
      if (!known.has(server)) this.#ejected.delete(server);
    }
    while (this.#ejected.size > 0 && getFloorLeft(view, this.#ejected) < 0) {
      const mildest = this.#findMildest();
      if (mildest === undefined) return;
      this.#ejected.delete(mildest.server);
    }
  }

  /** Slots that may still be ejected. */
  getFloorLeft(view: FloorView): number {
    return getFloorLeft(view, this.#ejected);
  }

  #hasRoom(server: ServerId, view: FloorView): boolean {
    const after = new Set([...this.#ejected.keys(), server]);
    return getFloorLeft(view, after) >= 0;
  }

  #findMildest(): Ejection | undefined {
    return this.list().toSorted((left, right) => left.score - right.score)[0];
  }
}

/** Counts the slots beyond the floor that stay admitted. */
function getFloorLeft(
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
