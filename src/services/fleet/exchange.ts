/** Periodic reports between VMs: counts, confirmations and live VMs. */
import { VmPhase } from "../../model/mod.ts";
import type { Offset, VmName } from "../../model/mod.ts";
import type { Clock } from "../clock/mod.ts";
import { LinkKind } from "./link.ts";
import { LiveVmList, mergeUnchanged } from "./live_vms.ts";
import type { Link } from "./link.ts";
import { FleetMessageKind } from "./message.ts";
import type {
  DomainReport,
  KnownState,
  LiveVm,
  Report,
  Status,
  Usage,
  UsageKind,
  VmEntry,
} from "./message.ts";
import { UsageLedger } from "./usage_ledger.ts";

/** Time for which another domain's list of live VMs is valid, in ms. */
const DOMAIN_TIMEOUT_MS = 3_000;

/** Counts requests of one kind on this VM and records those of other VMs. */
export interface UsageSource {
  /** Lists this VM's counts. */
  listUsage(): readonly Usage[];
  /**
   * Records the counts of all other VMs, as reported by one hub. `isFirst` is
   * true for the first counts of that hub, which only set the baseline.
   */
  recordOthers(others: readonly Usage[], isFirst: boolean): void;
}

/** Counts the refill time that followers delegate to their hub. */
export interface ElapsedTimeSource {
  /** Records a periodic tick; a long gap means that this VM was suspended. */
  recordTick(): void;
  /**
   * Returns this VM's refill time since the last call, in milliseconds;
   * undefined while this VM refills its own share.
   */
  collectElapsed(): number | undefined;
  /** Adds refill time that a follower has delegated, in milliseconds. */
  addElapsed(ms: number): void;
}

/** Request times of the newest store reads; monotonic, in milliseconds. */
export interface Confirmation {
  /** Request time of the newest read that confirmed the configuration. */
  readonly requestedAt: number;
  readonly version: Offset;
  /** Offset up to which the evacuations must be known to be the same. */
  readonly evacuationsAt: Offset;
  /** Request time of the newest read of servers; undefined before the first. */
  readonly serversRequestedAt: number | undefined;
}

/** Tracks when the configuration and the servers were read last. */
export interface ConfirmationSource {
  /** Returns the confirmation from this VM's own reads, if there is one. */
  getConfirmation(): Confirmation | undefined;
  /**
   * Returns the request time of the newest failed call to the store; undefined
   * if the newest call of each stream succeeded.
   */
  getFailedCallAt(): number | undefined;
  /** Records a confirmation that the hub has relayed. */
  recordRelayed(confirmation: Confirmation): void;
  /** Returns the version of this VM's configuration and its servers' digest. */
  getKnown(): KnownState;
  /** Compares this VM's configuration with that of the hub on `link`. */
  checkVersion(version: Offset, link: Link): void;
  /** Compares this VM's servers with those of the hub on `link`. */
  checkServersDigest(digest: number, link: Link): void;
}

/** Dependencies of {@linkcode StatusExchange}. */
export interface StatusExchangeDependencies {
  readonly clock: Clock;
  readonly self: VmEntry;
  /** Links that are currently open. */
  readonly links: ReadonlySet<Link>;
  /** Whether this VM is the hub of its failure domain. */
  readonly isHub: () => boolean;
}

interface DomainView {
  readonly vms: LiveVmList;
  /** Monotonic time of the newest report, in milliseconds. */
  receivedAt: number;
}

/** Creates statuses and reports, and applies those of other VMs. */
export class StatusExchange {
  readonly #deps: StatusExchangeDependencies;
  readonly #phases = new Map<VmName, VmPhase>();
  /** Counts of this failure domain's VMs. */
  readonly #domainUsage = new UsageLedger();
  /** Counts of the other failure domains. */
  readonly #otherDomainsUsage = new UsageLedger();
  readonly #domains = new Map<string, DomainView>();
  readonly #reportedLinks = new WeakSet<Link>();
  #serversDigest = 0;
  #followerReadAt = -Infinity;
  /** Time at which this VM became the hub; infinite while it is not the hub. */
  #hubSince = Infinity;
  #isFirstAsHub = true;
  /** All live VMs as reported by the hub; used by followers. */
  readonly #reportedVms = new LiveVmList();
  /** Live VMs of the fleet and of this domain at the last heartbeat. */
  #fleetVms: readonly LiveVm[] = [];
  #domainVms: readonly LiveVm[] = [];
  #getPhase: () => VmPhase = () => VmPhase.Starting;
  readonly #usage = new Map<UsageKind, UsageSource>();
  #confirmations: ConfirmationSource | undefined;
  #elapsedTime: ElapsedTimeSource | undefined;

  /** Creates an exchange that only knows this VM. */
  constructor(deps: StatusExchangeDependencies) {
    this.#deps = deps;
  }

  /** Lifecycle phase of this VM. */
  get phase(): VmPhase {
    return this.#getPhase();
  }

  /** Sets the function that returns this VM's lifecycle phase. */
  setPhaseSource(getPhase: () => VmPhase): void {
    this.#getPhase = getPhase;
  }

  /** Sets the source of this VM's counts of one kind. */
  setUsageSource(kind: UsageKind, source: UsageSource): void {
    this.#usage.set(kind, source);
  }

  /** Sets the counter of the refill time that followers delegate to hubs. */
  setElapsedTimeSource(source: ElapsedTimeSource): void {
    this.#elapsedTime = source;
  }

  /** Sets the source of configuration confirmations. */
  setConfirmationSource(source: ConfirmationSource): void {
    this.#confirmations = source;
  }

  /** Returns the version of this VM's configuration and its servers' digest. */
  getKnown(): KnownState {
    return this.#confirmations?.getKnown() ?? { version: 0, serversDigest: 0 };
  }

  /** Lists the live VMs, including this one. */
  listVms(): LiveVm[] {
    const local: LiveVm = this.#createLocalView();
    const known = this.#deps.isHub()
      ? this.#listAsHub()
      : this.#reportedVms.list();
    return [local, ...known.filter((vm) => vm.name !== local.name)];
  }

  /** Number of live VMs at the last heartbeat, including this one. */
  get liveCount(): number {
    return Math.max(1, this.#fleetVms.length);
  }

  /** Records this VM's counts and the live VMs before each heartbeat. */
  recordLocal(): void {
    const { self, clock, isHub } = this.#deps;
    this.#hubSince = isHub() ? Math.min(this.#hubSince, clock.now()) : Infinity;
    this.#fleetVms = mergeUnchanged(this.#fleetVms, this.listVms());
    this.#domainVms = mergeUnchanged(this.#domainVms, this.#listDomain());
    this.#elapsedTime?.recordTick();
    this.#serversDigest = this.getKnown().serversDigest;
    this.#domainUsage.record(formatOrigin(self), this.#listUsage());
    this.#recordOthersAsHub();
  }

  /** Whether a store call failed here after one by a follower succeeded. */
  isRejectedByStore(): boolean {
    const failedCallAt = this.#confirmations?.getFailedCallAt();
    if (failedCallAt === undefined) return false;
    return this.#followerReadAt > this.#getReadAt() &&
      this.#followerReadAt < failedCallAt;
  }

  /**
   * Returns the request time of this VM's newest successful reads of the store
   * (of the older stream). If it became the hub later, returns that time: as a
   * follower it did not read the store.
   */
  #getReadAt(): number {
    const local = this.#confirmations?.getConfirmation();
    const readAt = Math.min(
      local?.requestedAt ?? -Infinity,
      local?.serversRequestedAt ?? -Infinity,
    );
    return Math.max(readAt, this.#hubSince);
  }

  /**
   * Records a follower's read of the store if it is the first one since this
   * VM's own. Later reads must not replace it: a call of this VM without a
   * response times out long after it was made. By then the follower has read
   * again, and its newest read would be later than the failed call.
   */
  #recordFollowerRead(readAt: number): void {
    const localReadAt = this.#getReadAt();
    if (readAt <= localReadAt || this.#followerReadAt > localReadAt) return;
    this.#followerReadAt = readAt;
  }

  #getConfirmedAgoMs(): number | undefined {
    const requestedAt = this.#confirmations?.getConfirmation()?.requestedAt;
    if (requestedAt === undefined) return undefined;
    return Math.max(0, this.#deps.clock.now() - requestedAt);
  }

  /** Removes the data of a link that has closed. */
  recordLinkEnd(link: Link): void {
    const others = [...this.#deps.links]
      .filter((other) => other.kind === link.kind);
    const { name, failureDomain } = link.vm;
    const isFollower = link.kind === LinkKind.Follower;
    if (isFollower && !others.some((other) => other.vm.name === name)) {
      this.#phases.delete(name);
    }
    const hasOther = others
      .some((other) => other.vm.failureDomain === failureDomain);
    if (link.kind === LinkKind.FromHub && !hasOther) {
      this.#domains.delete(failureDomain);
    }
  }

  /** Creates a follower's status for its hub. */
  createStatus(link: Link): Status {
    return {
      kind: FleetMessageKind.Status,
      sentAt: this.#deps.clock.now(),
      phase: this.#getPhase(),
      confirmedAgoMs: this.#getConfirmedAgoMs(),
      usage: link.collectUsageChanges(this.#listUsage()),
      leftMs: this.#elapsedTime?.collectElapsed(),
    };
  }

  /** Creates a hub's report for one follower. */
  createReport(link: Link): Report {
    const others = mergeUsage(
      this.#domainUsage.listOthers(formatOrigin(link.vm)),
      this.#otherDomainsUsage.listOthers(""),
    );
    return {
      kind: FleetMessageKind.Report,
      confirmation: this.#createConfirmation(link),
      others: link.collectUsageChanges(others),
      ...link.liveVms.createUpdate(this.#fleetVms),
      serversDigest: this.#serversDigest,
    };
  }

  #createConfirmation(link: Link): Report["confirmation"] {
    const confirmation = this.#confirmations?.getConfirmation();
    if (confirmation === undefined || link.status === undefined) {
      return undefined;
    }
    const { requestedAt, serversRequestedAt, version, evacuationsAt } =
      confirmation;
    const { sentAt, receivedAt } = link.status;
    return {
      echo: sentAt,
      askedAfterMs: requestedAt - receivedAt,
      version,
      evacuationsAt,
      ...(serversRequestedAt !== undefined &&
        { serversAskedAfterMs: serversRequestedAt - receivedAt }),
    };
  }

  /** Creates a hub's report for the hub of another domain. */
  createDomainReport(link: Link): DomainReport {
    return {
      kind: FleetMessageKind.DomainReport,
      version: this.getKnown().version,
      usage: link.collectUsageChanges(this.#domainUsage.listOthers("")),
      ...link.liveVms.createUpdate(this.#domainVms),
    };
  }

  /** Applies a follower's status. */
  applyStatus(status: Status, link: Link): void {
    const receivedAt = this.#deps.clock.now();
    const { sentAt, leftMs } = status;
    if (leftMs !== undefined) this.#elapsedTime?.addElapsed(leftMs);
    link.status = {
      sentAt,
      receivedAt,
      hasDelegatedTime: leftMs !== undefined,
    };
    this.#recordFollowerRead(receivedAt - (status.confirmedAgoMs ?? Infinity));
    this.#phases.set(link.vm.name, status.phase);
    this.#domainUsage.record(formatOrigin(link.vm), status.usage);
  }

  /** Applies the hub's report. */
  applyReport(report: Report, link: Link): void {
    this.#reportedVms.apply(report);
    this.#recordOthersUsage(report.others, !this.#reportedLinks.has(link));
    this.#reportedLinks.add(link);
    this.#confirmations?.checkServersDigest(report.serversDigest, link);
    const { confirmation } = report;
    if (confirmation === undefined) return;
    const { echo, askedAfterMs, serversAskedAfterMs, version, evacuationsAt } =
      confirmation;
    link.echoedAfterMs = this.#deps.clock.now() - echo;
    this.#confirmations?.checkVersion(version, link);
    this.#confirmations?.recordRelayed({
      requestedAt: echo + askedAfterMs,
      version,
      evacuationsAt,
      serversRequestedAt: serversAskedAfterMs === undefined
        ? undefined
        : echo + serversAskedAfterMs,
    });
  }

  /** Applies the report of another domain's hub. */
  applyDomainReport(report: DomainReport, link: Link): void {
    const domain = link.vm.failureDomain;
    const receivedAt = this.#deps.clock.now();
    const view = this.#domains.get(domain) ??
      { vms: new LiveVmList(), receivedAt };
    view.receivedAt = receivedAt;
    this.#confirmations?.checkVersion(report.version, link);
    view.vms.apply(report);
    this.#domains.set(domain, view);
    this.#otherDomainsUsage.record(formatOrigin(link.vm), report.usage);
  }

  #recordOthersAsHub(): void {
    if (!this.#deps.isHub()) {
      this.#isFirstAsHub = true;
      return;
    }
    const others = mergeUsage(
      this.#domainUsage.listOthers(formatOrigin(this.#deps.self)),
      this.#otherDomainsUsage.listOthers(""),
    );
    this.#recordOthersUsage(others, this.#isFirstAsHub);
    this.#isFirstAsHub = false;
  }

  /** Lists this VM's counts of all kinds; names start with their kind. */
  #listUsage(): Usage[] {
    return [...this.#usage].flatMap(([kind, source]) =>
      source.listUsage().map((usage) => ({
        ...usage,
        name: kind + usage.name,
      }))
    );
  }

  #recordOthersUsage(others: readonly Usage[], isFirst: boolean): void {
    for (const [kind, source] of this.#usage) {
      const ofKind = others
        .filter((usage) => usage.name.startsWith(kind))
        .map((usage) => ({ ...usage, name: usage.name.slice(kind.length) }));
      source.recordOthers(ofKind, isFirst);
    }
  }

  #createLocalView(): LiveVm {
    const { name, failureDomain, callerAddress } = this.#deps.self;
    return { name, failureDomain, callerAddress, phase: this.#getPhase() };
  }

  #listAsHub(): LiveVm[] {
    const now = this.#deps.clock.now();
    const otherDomains = [...this.#domains.values()]
      .filter(({ receivedAt }) => now - receivedAt <= DOMAIN_TIMEOUT_MS)
      .flatMap(({ vms }) => vms.list());
    return [...this.#listDomain(), ...otherDomains];
  }

  /** Lists the live VMs of this domain: the hub and its followers. */
  #listDomain(): LiveVm[] {
    const followers = [...this.#deps.links]
      .filter((link) => link.kind === LinkKind.Follower)
      .map(({ vm }): LiveVm => ({
        name: vm.name,
        failureDomain: vm.failureDomain,
        callerAddress: vm.callerAddress,
        phase: this.#phases.get(vm.name) ?? VmPhase.Starting,
      }));
    return [this.#createLocalView(), ...followers];
  }
}

function formatOrigin(vm: VmEntry): string {
  return `${vm.name} ${vm.incarnation}`;
}

function mergeUsage(
  left: readonly Usage[],
  right: readonly Usage[],
): Usage[] {
  const sums = new Map<string, Usage>();
  for (const { name, admitted, asked } of [...left, ...right]) {
    const sum = sums.get(name);
    sums.set(name, {
      name,
      admitted: admitted + (sum?.admitted ?? 0),
      asked: asked + (sum?.asked ?? 0),
    });
  }
  return [...sums.values()];
}
