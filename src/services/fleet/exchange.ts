/** What VMs tell each other regularly: counts, loads, confirmations, who lives. */
import { VmPhase } from "../../model/mod.ts";
import type { Offset, VmName } from "../../model/mod.ts";
import type { Clock } from "../clock/mod.ts";
import { LinkKind } from "./link.ts";
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

/** Time for which another domain's word on its VMs counts. */
const DOMAIN_TIMEOUT_MS = 3_000;

/** Counts requests of one kind on this VM and hears of the others'. */
export interface UsageSource {
  /** Lists this VM's counts. */
  listUsage(): readonly Usage[];
  /** Takes the counts of all other VMs, as far as this link tells them. */
  recordOthers(others: readonly Usage[], isFirst: boolean): void;
}

/** Counts the time whose tokens VMs leave to their hub. */
export interface ElapsedTimeSource {
  /** Takes note that time passes. */
  recordBeat(): void;
  /** Takes this VM's time since the last call, in ms; undefined to keep it. */
  takeElapsed(): number | undefined;
  /** Adds the time that a follower has left, in milliseconds. */
  addElapsed(ms: number): void;
}

/** How old this VM's knowledge is; times are monotonic, in milliseconds. */
export interface Confirmation {
  /** When the newest read that confirmed the configuration was asked for. */
  readonly askedAt: number;
  readonly version: Offset;
  /** When the newest read of servers was asked for; undefined before one. */
  readonly serversAskedAt: number | undefined;
}

/** Knows when the configuration and the servers were read last. */
export interface ConfirmationSource {
  /** Gets how old what this VM read itself is. */
  getConfirmation(): Confirmation | undefined;
  /**
   * Gets when the newest call to the store was made, if that was not answered;
   * undefined if it was.
   */
  getLostAt(): number | undefined;
  /** Records a confirmation that another VM passed on. */
  recordPassed(confirmation: Confirmation): void;
  /** Gets what this VM knows. */
  getKnown(): KnownState;
  /** Compares it with that of the hub at the other end of `link`. */
  checkServersDigest(digest: number, link: Link): void;
}

/** What the exchange works with. */
export interface ExchangeParts {
  readonly clock: Clock;
  readonly self: VmEntry;
  /** Links that are open now. */
  readonly links: ReadonlySet<Link>;
  /** Whether this VM speaks for its domain. */
  readonly isHub: () => boolean;
}

interface DomainView {
  readonly vms: readonly LiveVm[];
  readonly at: number;
}

/** Fills in statuses and reports, and takes those of other VMs. */
export class Exchange {
  readonly #parts: ExchangeParts;
  readonly #phases = new Map<VmName, VmPhase>();
  /** Counts of the VMs of this domain. */
  readonly #domainUsage = new UsageLedger();
  /** Counts of the other domains. */
  readonly #foreignUsage = new UsageLedger();
  readonly #domains = new Map<string, DomainView>();
  readonly #reportedLinks = new WeakSet<Link>();
  #serversDigest = 0;
  #followerReadAt = -Infinity;
  /** When this VM became the hub; infinite while it is none. */
  #hubSince = Infinity;
  #isFirstAsHub = true;
  /** All live VMs as the hub tells them; used by followers. */
  #toldVms: readonly LiveVm[] = [];
  #vmsVersion = 0;
  #liveCount = 1;
  #vmsText = "";
  #getPhase: () => VmPhase = () => VmPhase.Starting;
  readonly #usage = new Map<UsageKind, UsageSource>();
  #confirmations: ConfirmationSource | undefined;
  #elapsedTime: ElapsedTimeSource | undefined;

  /** Creates an exchange of this VM alone. */
  constructor(parts: ExchangeParts) {
    this.#parts = parts;
  }

  /** Where this VM is in its life. */
  get phase(): VmPhase {
    return this.#getPhase();
  }

  /** Sets who knows where this VM is in its life. */
  setPhaseSource(getPhase: () => VmPhase): void {
    this.#getPhase = getPhase;
  }

  /** Sets who keeps the counts of one kind. */
  setUsageSource(kind: UsageKind, source: UsageSource): void {
    this.#usage.set(kind, source);
  }

  /** Sets who counts the time that VMs leave to their hub. */
  setElapsedTimeSource(source: ElapsedTimeSource): void {
    this.#elapsedTime = source;
  }

  /** Sets who knows of confirmations. */
  setConfirmationSource(source: ConfirmationSource): void {
    this.#confirmations = source;
  }

  /** Gets what this VM knows of the configuration and of servers. */
  getKnown(): KnownState {
    return this.#confirmations?.getKnown() ?? { version: 0, serversDigest: 0 };
  }

  /** Lists the VMs that live, this one included. */
  listVms(): LiveVm[] {
    const own: LiveVm = this.#createOwnView();
    const known = this.#parts.isHub() ? this.#listAsHub() : this.#toldVms;
    return [own, ...known.filter((vm) => vm.name !== own.name)];
  }

  /** Number of VMs that lived at the last beat, this one included. */
  get liveCount(): number {
    return this.#liveCount;
  }

  /** Takes note of this VM's own counts and of who lives, before a beat. */
  recordOwn(): void {
    const { self, clock, isHub } = this.#parts;
    this.#hubSince = isHub() ? Math.min(this.#hubSince, clock.now()) : Infinity;
    this.#updateVmsVersion();
    this.#elapsedTime?.recordBeat();
    this.#serversDigest = this.getKnown().serversDigest;
    this.#domainUsage.record(formatOrigin(self), this.#listUsage());
    this.#recordOthersAsHub();
  }

  /** Whether the store has turned this VM away after it answered a follower. */
  isTurnedAway(): boolean {
    const lostAt = this.#confirmations?.getLostAt();
    if (lostAt === undefined) return false;
    return this.#followerReadAt > this.#getReadAt() &&
      this.#followerReadAt < lostAt;
  }

  /**
   * Gets when this VM's newest answered reads of the store were asked for, or
   * when it became the hub; as a follower it did not try.
   */
  #getReadAt(): number {
    const own = this.#confirmations?.getConfirmation();
    const readAt = Math.min(
      own?.askedAt ?? -Infinity,
      own?.serversAskedAt ?? -Infinity,
    );
    return Math.max(readAt, this.#hubSince);
  }

  /**
   * Records a follower's read of the store, if it is the first one since this
   * VM's own. Later ones say less: a call of this VM that gets no answer fails
   * long after it was made, and the follower has read again meanwhile.
   */
  #recordFollowerRead(readAt: number): void {
    const ownAt = this.#getReadAt();
    if (readAt <= ownAt || this.#followerReadAt > ownAt) return;
    this.#followerReadAt = readAt;
  }

  #getConfirmedAgoMs(): number | undefined {
    const askedAt = this.#confirmations?.getConfirmation()?.askedAt;
    if (askedAt === undefined) return undefined;
    return Math.max(0, this.#parts.clock.now() - askedAt);
  }

  /** Forgets what a link told, when it has ended. */
  recordLinkEnd(link: Link): void {
    const others = [...this.#parts.links]
      .filter((other) => other.kind === link.kind);
    const { name, failureDomain } = link.vm;
    if (!others.some((other) => other.vm.name === name)) {
      this.#phases.delete(name);
    }
    const hasOther = others
      .some((other) => other.vm.failureDomain === failureDomain);
    if (link.kind === LinkKind.FromHub && !hasOther) {
      this.#domains.delete(failureDomain);
    }
  }

  /** Creates what a follower tells its hub. */
  createStatus(link: Link): Status {
    return {
      kind: FleetMessageKind.Status,
      sentAt: this.#parts.clock.now(),
      phase: this.#getPhase(),
      confirmedAgoMs: this.#getConfirmedAgoMs(),
      usage: link.takeChangedUsage(this.#listUsage()),
      leftMs: this.#elapsedTime?.takeElapsed(),
    };
  }

  /** Creates what a hub tells one follower. */
  createReport(link: Link): Report {
    const others = mergeUsage(
      this.#domainUsage.listOthers(formatOrigin(link.vm)),
      this.#foreignUsage.listOthers(""),
    );
    return {
      kind: FleetMessageKind.Report,
      confirmation: this.#createConfirmation(link),
      others: link.takeChangedUsage(others),
      vms: this.#takeVms(link, () => this.listVms()),
      serversDigest: this.#serversDigest,
    };
  }

  #createConfirmation(link: Link): Report["confirmation"] {
    const confirmation = this.#confirmations?.getConfirmation();
    if (confirmation === undefined || link.status === undefined) {
      return undefined;
    }
    const { askedAt, serversAskedAt, version } = confirmation;
    const { sentAt, at } = link.status;
    return {
      echo: sentAt,
      askedAfterMs: askedAt - at,
      version,
      ...(serversAskedAt !== undefined &&
        { serversAskedAfterMs: serversAskedAt - at }),
    };
  }

  /** Creates what a hub tells the hub of another domain. */
  createDomainReport(link: Link): DomainReport {
    return {
      kind: FleetMessageKind.DomainReport,
      usage: link.takeChangedUsage(this.#domainUsage.listOthers("")),
      vms: this.#takeVms(link, () => this.#listDomain()),
    };
  }

  #takeVms(link: Link, list: () => readonly LiveVm[]): Report["vms"] {
    if (link.sentVmsVersion === this.#vmsVersion) return undefined;
    link.sentVmsVersion = this.#vmsVersion;
    return list();
  }

  #updateVmsVersion(): void {
    const vms = this.listVms();
    this.#liveCount = vms.length;
    const text = JSON.stringify(vms);
    if (text === this.#vmsText) return;
    this.#vmsText = text;
    this.#vmsVersion += 1;
  }

  /** Takes a follower's status. */
  applyStatus(status: Status, link: Link): void {
    const at = this.#parts.clock.now();
    const { sentAt, leftMs } = status;
    if (leftMs !== undefined) this.#elapsedTime?.addElapsed(leftMs);
    link.status = { sentAt, at, hasLeftTime: leftMs !== undefined };
    this.#recordFollowerRead(at - (status.confirmedAgoMs ?? Infinity));
    this.#phases.set(link.vm.name, status.phase);
    this.#domainUsage.record(formatOrigin(link.vm), status.usage);
  }

  /** Takes the hub's report. */
  applyReport(report: Report, link: Link): void {
    if (report.vms !== undefined) this.#toldVms = report.vms;
    this.#recordOthersUsage(report.others, !this.#reportedLinks.has(link));
    this.#reportedLinks.add(link);
    this.#confirmations?.checkServersDigest(report.serversDigest, link);
    const { confirmation } = report;
    if (confirmation === undefined) return;
    const { echo, askedAfterMs, serversAskedAfterMs, version } = confirmation;
    link.answeredAfterMs = this.#parts.clock.now() - echo;
    this.#confirmations?.recordPassed({
      askedAt: echo + askedAfterMs,
      version,
      serversAskedAt: serversAskedAfterMs === undefined
        ? undefined
        : echo + serversAskedAfterMs,
    });
  }

  /** Takes the report of another domain's hub. */
  applyDomainReport(report: DomainReport, link: Link): void {
    const domain = link.vm.failureDomain;
    const vms = report.vms ?? this.#domains.get(domain)?.vms ?? [];
    this.#domains.set(domain, { vms, at: this.#parts.clock.now() });
    this.#foreignUsage.record(formatOrigin(link.vm), report.usage);
  }

  #recordOthersAsHub(): void {
    if (!this.#parts.isHub()) {
      this.#isFirstAsHub = true;
      return;
    }
    const others = mergeUsage(
      this.#domainUsage.listOthers(formatOrigin(this.#parts.self)),
      this.#foreignUsage.listOthers(""),
    );
    this.#recordOthersUsage(others, this.#isFirstAsHub);
    this.#isFirstAsHub = false;
  }

  /** Lists this VM's counts of all kinds. */
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

  #createOwnView(): LiveVm {
    const { name, failureDomain, callerAddress } = this.#parts.self;
    return { name, failureDomain, callerAddress, phase: this.#getPhase() };
  }

  #listAsHub(): LiveVm[] {
    const now = this.#parts.clock.now();
    const foreign = [...this.#domains.values()]
      .filter(({ at }) => now - at <= DOMAIN_TIMEOUT_MS)
      .flatMap(({ vms }) => vms);
    return [...this.#listDomain(), ...foreign];
  }

  /** Lists the VMs of this domain that live, as its hub. */
  #listDomain(): LiveVm[] {
    const followers = [...this.#parts.links]
      .filter((link) => link.kind === LinkKind.Follower)
      .map(({ vm }): LiveVm => ({
        name: vm.name,
        failureDomain: vm.failureDomain,
        callerAddress: vm.callerAddress,
        phase: this.#phases.get(vm.name) ?? VmPhase.Starting,
      }));
    return [this.#createOwnView(), ...followers];
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
