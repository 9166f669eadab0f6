/** What VMs tell each other of requests in flight, as soon as they change. */
import type { LoadByServer } from "../selection/load_exchange.ts";
import { LinkKind } from "./link.ts";
import type { Link } from "./link.ts";
import { addLoad, LoadTable } from "./load_table.ts";
import { FleetMessageKind } from "./message.ts";
import type { LoadChanges } from "./message.ts";

/** Stands for this VM among the links that report loads. */
const OWN = "own";

/** Knows what this VM has in flight and hears of the others'. */
export interface LoadSource {
  /** Counts what this VM has in flight. */
  countInFlight(): LoadByServer;
  /** Takes what all other VMs have in flight; undefined if nobody tells it. */
  recordOthers(load: LoadByServer | undefined): void;
}

/** What the reports work with. */
export interface LoadReportsParts {
  /** Whether this VM speaks for its domain. */
  readonly isHub: () => boolean;
}

/** Creates reports of loads, and takes those of other VMs. */
export class LoadReports {
  readonly #parts: LoadReportsParts;
  /** What the VMs of this domain have in flight. */
  readonly #domainLoad = new LoadTable<Link | typeof OWN>();
  /** What the other domains have in flight. */
  readonly #foreignLoad = new LoadTable<Link>();
  /** What the hub says that all other VMs have in flight. */
  readonly #hubLoad = new LoadTable<Link>();
  #source: LoadSource | undefined;

  /** Creates reports of this VM alone. */
  constructor(parts: LoadReportsParts) {
    this.#parts = parts;
  }

  /** Sets who knows what this VM has in flight. */
  setSource(source: LoadSource): void {
    this.#source = source;
  }

  /** Creates what a link is told of loads; undefined if nothing has changed. */
  createChanges(link: Link): LoadChanges | undefined {
    const load = link.takeChangedLoad(this.#sumFor(link));
    return load.length === 0
      ? undefined
      : { kind: FleetMessageKind.Load, load };
  }

  #sumFor(link: Link): LoadByServer {
    switch (link.kind) {
      case LinkKind.Uplink:
        return this.#source?.countInFlight() ?? new Map();
      case LinkKind.Follower:
        return this.#sumOthersLoad(link);
      case LinkKind.ToHub:
        return this.#domainLoad.sumOthers();
      case LinkKind.FromHub:
      case LinkKind.Visitor:
        return new Map();
    }
  }

  /** Sums what all VMs have in flight but this one, or but a follower. */
  #sumOthersLoad(except: Link | typeof OWN): LoadByServer {
    const sums = this.#domainLoad.sumOthers(except);
    addLoad(sums, this.#foreignLoad.sumOthers());
    return sums;
  }

  /** Takes note of this VM's own load and tells it that of the others. */
  recordOwn(): void {
    const own = this.#source?.countInFlight() ?? new Map();
    this.#domainLoad.replace(OWN, own);
    if (!this.#parts.isHub()) return;
    this.#source?.recordOthers(this.#sumOthersLoad(OWN));
  }

  /** Takes what the other end of a link has in flight. */
  applyChanges({ load }: LoadChanges, link: Link): void {
    switch (link.kind) {
      case LinkKind.Uplink:
        this.#hubLoad.applyChanges(link, load);
        this.#source?.recordOthers(this.#hubLoad.sumOthers());
        return;
      case LinkKind.Follower:
        return this.#domainLoad.applyChanges(link, load);
      case LinkKind.FromHub:
        return this.#foreignLoad.applyChanges(link, load);
      case LinkKind.ToHub:
      case LinkKind.Visitor:
        return;
    }
  }

  /** Forgets what a link told, when it has ended. */
  removeLink(link: Link): void {
    switch (link.kind) {
      case LinkKind.Uplink:
        this.#hubLoad.remove(link);
        this.#source?.recordOthers(undefined);
        return;
      case LinkKind.Follower:
        return this.#domainLoad.remove(link);
      case LinkKind.FromHub:
        return this.#foreignLoad.remove(link);
      case LinkKind.ToHub:
      case LinkKind.Visitor:
        return;
    }
  }
}
