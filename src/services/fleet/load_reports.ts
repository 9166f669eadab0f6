/** Reports of requests in flight, sent between VMs soon after each change. */
import type { LoadByServer } from "../selection/load_exchange.ts";
import { LinkKind } from "./link.ts";
import type { Link } from "./link.ts";
import { addLoad, LoadTable } from "./load_table.ts";
import { FleetMessageKind } from "./message.ts";
import type { LoadChanges } from "./message.ts";

/** Key of this VM's load in a table whose other keys are links. */
const LOCAL_SENDER = "own";

/** Counts this VM's requests in flight and records those of other VMs. */
export interface LoadSource {
  /** Counts this VM's requests in flight by server. */
  countInFlight(): LoadByServer;
  /** Records the load of all other VMs; undefined while no hub reports it. */
  recordOthers(load: LoadByServer | undefined): void;
}

/** Dependencies of {@linkcode LoadReports}. */
export interface LoadReportsDependencies {
  /** Whether this VM is the hub of its failure domain. */
  readonly isHub: () => boolean;
}

/** Creates load reports and applies those of other VMs. */
export class LoadReports {
  readonly #deps: LoadReportsDependencies;
  /** Loads of this failure domain's VMs. */
  readonly #domainLoad = new LoadTable<Link | typeof LOCAL_SENDER>();
  /** Loads of the other failure domains. */
  readonly #otherDomainsLoad = new LoadTable<Link>();
  /** Load of all other VMs as reported by the hub. */
  readonly #hubLoad = new LoadTable<Link>();
  #source: LoadSource | undefined;

  /** Creates reports that only know this VM. */
  constructor(deps: LoadReportsDependencies) {
    this.#deps = deps;
  }

  /** Sets the source of this VM's requests in flight. */
  setSource(source: LoadSource): void {
    this.#source = source;
  }

  /** Creates the load report for a link; undefined if nothing has changed. */
  createChanges(link: Link): LoadChanges | undefined {
    const load = link.collectLoadChanges(this.#sumFor(link));
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
      case LinkKind.StateSource:
      case LinkKind.StateReceiver:
        return new Map();
    }
  }

  /** Sums the loads of all VMs except this one, or except one follower. */
  #sumOthersLoad(except: Link | typeof LOCAL_SENDER): LoadByServer {
    const sums = this.#domainLoad.sumOthers(except);
    addLoad(sums, this.#otherDomainsLoad.sumOthers());
    return sums;
  }

  /** Records this VM's load; as a hub, also reports that of the other VMs. */
  recordLocal(): void {
    const local = this.#source?.countInFlight() ?? new Map();
    this.#domainLoad.replace(LOCAL_SENDER, local);
    if (!this.#deps.isHub()) return;
    this.#source?.recordOthers(this.#sumOthersLoad(LOCAL_SENDER));
  }

  /** Applies a load report of another VM. */
  applyChanges({ load }: LoadChanges, link: Link): void {
    switch (link.kind) {
      case LinkKind.Uplink:
        this.#hubLoad.applyChanges(link, load);
        this.#source?.recordOthers(this.#hubLoad.sumOthers());
        return;
      case LinkKind.Follower:
        return this.#domainLoad.applyChanges(link, load);
      case LinkKind.FromHub:
        return this.#otherDomainsLoad.applyChanges(link, load);
      case LinkKind.ToHub:
      case LinkKind.Visitor:
      case LinkKind.StateSource:
      case LinkKind.StateReceiver:
        return;
    }
  }

  /** Removes the loads that were reported on a link that has closed. */
  removeLink(link: Link): void {
    switch (link.kind) {
      case LinkKind.Uplink:
        this.#hubLoad.remove(link);
        this.#source?.recordOthers(undefined);
        return;
      case LinkKind.Follower:
        return this.#domainLoad.remove(link);
      case LinkKind.FromHub:
        return this.#otherDomainsLoad.remove(link);
      case LinkKind.ToHub:
      case LinkKind.Visitor:
      case LinkKind.StateSource:
      case LinkKind.StateReceiver:
        return;
    }
  }
}
