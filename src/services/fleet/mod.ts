/** Fleet service: links between VMs, and the hub of each failure domain. */
import { VmPhase } from "../../model/mod.ts";
import type { VmName } from "../../model/mod.ts";
import { runWithTimeout, TIMED_OUT } from "../clock/mod.ts";
import type { Clock } from "../clock/mod.ts";
import { formatCause } from "../logging/mod.ts";
import type { Logger } from "../logging/mod.ts";
import type { PeerConnection, PeerTransport } from "../membership/transport.ts";
import { DIAL_TIMEOUT_MS, Dialer } from "./dialer.ts";
import { DirectoryReader } from "./directory.ts";
import type { VmDirectory } from "./directory.ts";
import { DirectoryUpdates } from "./directory_updates.ts";
import { StatusExchange } from "./exchange.ts";
import type {
  ConfirmationSource,
  ElapsedTimeSource,
  UsageSource,
} from "./exchange.ts";
import { HubCheckSchedule } from "./hub_check_schedule.ts";
import {
  isHubRole,
  Link,
  LinkKind,
  readHello,
  resolveAcceptedKind,
} from "./link.ts";
import { FleetMessageKind, FleetRole, HelloPurpose } from "./message.ts";
import type {
  FleetMessage,
  Hello,
  LiveVm,
  UsageKind,
  VmEntry,
  VmsKnown,
} from "./message.ts";
import { LoadReports } from "./load_reports.ts";
import type { LoadSource } from "./load_reports.ts";
import { StateTransfer } from "./state_transfer.ts";
import { VmList } from "./vm_list.ts";
import type { Roster } from "../warm_up/owners.ts";

export { VmUpdateKind } from "./directory.ts";
export type { VmDirectory, VmUpdate } from "./directory.ts";
export type {
  Confirmation,
  ConfirmationSource,
  ElapsedTimeSource,
  UsageSource,
} from "./exchange.ts";
export { Link, LinkKind } from "./link.ts";
export { FleetMessageKind, FleetRole, UsageKind } from "./message.ts";
export type {
  FleetMessage,
  KnownState,
  LiveVm,
  ServersRelay,
  Usage,
  VmEntry,
} from "./message.ts";

/** Interval of statuses to the hub and of reports to followers, in ms. */
const STATUS_INTERVAL_MS = 250;
/** Interval of reports to other domains' hubs; that traffic is billed. */
const DOMAIN_INTERVAL_MS = 500;
/**
 * Minimum interval of checks for changed loads, in milliseconds. Requests take
 * some hundred milliseconds; with older counts, many VMs choose the same
 * servers.
 */
const LOAD_INTERVAL_MS = 40;
/**
 * Maximum number of load messages per second that a hub sends to its followers,
 * and that it receives from them, to bound its work.
 */
const LOAD_MESSAGES_PER_SECOND = 300;
/** Load checks per message to another domain's hub; that traffic is billed. */
const DOMAIN_LOAD_CHECKS = 3;
const MS_PER_SECOND = 1_000;
/** Time without a message after which a link is closed, in milliseconds. */
const LINK_TIMEOUT_MS = 1_500;
/** The same for the link to the hub, which sends messages more often. */
const HUB_TIMEOUT_MS = 900;
/** Time from the start until a VM knows all others from the hubs, in ms. */
const DISCOVERY_MS = 3_000;
/** Interval of checks whether the directory has been read, in milliseconds. */
const DIRECTORY_CHECK_MS = 50;

/** Dependencies of {@linkcode Fleet}. */
export interface FleetDependencies {
  readonly clock: Clock;
  readonly self: VmEntry;
  readonly transport: PeerTransport<FleetMessage>;
  readonly directory: VmDirectory;
  /** Peer addresses of VMs to query when the directory is unavailable. */
  readonly seeds: readonly string[];
  readonly logger: Logger;
}

type Handlers = {
  [Kind in FleetMessageKind]?: (
    message: Extract<FleetMessage, { kind: Kind }>,
    link: Link,
  ) => void;
};

interface LinkedHub {
  readonly link: Link;
  /** Resolves when the link has closed. */
  readonly ended: Promise<void>;
}

/** Manages this VM's links to other VMs and its role in its failure domain. */
export class Fleet {
  readonly #deps: FleetDependencies;
  readonly #list = new VmList();
  readonly #links = new Set<Link>();
  /** Other domains to whose hub a link is open or being opened. */
  readonly #activeDomains = new Set<string>();
  readonly #handlers: Handlers = {};
  readonly #receiverListeners = new Set<(link: Link) => void>();
  readonly #directory: DirectoryReader;
  readonly #dialer: Dialer;
  readonly #stateTransfer: StateTransfer;
  readonly #exchange: StatusExchange;
  readonly #loads: LoadReports;
  readonly #startedAt: number;
  #role = FleetRole.Searching;
  readonly #hubChecks: HubCheckSchedule;
  readonly #directoryUpdates: DirectoryUpdates;

  /** Creates a fleet that contains only this VM. */
  constructor(deps: FleetDependencies) {
    this.#deps = deps;
    this.#startedAt = deps.clock.now();
    this.#hubChecks = new HubCheckSchedule(deps.clock);
    this.#list.add(deps.self);
    const list = this.#list;
    const isHub = (): boolean => isHubRole(this.#role);
    const createHello = (): Hello => this.#createHello();
    this.#directory = new DirectoryReader({
      ...deps,
      list,
      isHub,
      createHello,
      recordAdded: (added) => {
        this.#sendVmsKnown(added);
        this.#hubChecks.checkNow();
      },
      recordRemoved: (name) => this.#sendVmsKnown([], [name]),
    });
    this.#dialer = new Dialer({ ...deps, list, createHello });
    this.#exchange = new StatusExchange({ ...deps, links: this.#links, isHub });
    this.#stateTransfer = new StateTransfer({
      ...deps,
      dialer: this.#dialer,
      createHello: () => this.#createHello(HelloPurpose.State),
      tryApply: (message, link) => this.#tryApplyMessage(message, link),
      getVersion: () => this.#exchange.getKnown().version,
    });
    this.#loads = new LoadReports({ isHub });
    this.#directoryUpdates = new DirectoryUpdates({
      self: deps.self,
      list,
      links: this.#links,
      directory: this.#directory,
      listVms: () => this.#exchange.listVms(),
    });
  }

  /** Directory entry of this VM. */
  get self(): VmEntry {
    return this.#deps.self;
  }

  /** Role of this VM in its failure domain. */
  get role(): FleetRole {
    return this.#role;
  }

  /** Sets the function that returns this VM's lifecycle phase. */
  setPhaseSource(getPhase: () => VmPhase): void {
    this.#exchange.setPhaseSource(getPhase);
  }

  /** Sets the source of this VM's counts of one kind. */
  setUsageSource(kind: UsageKind, source: UsageSource): void {
    this.#exchange.setUsageSource(kind, source);
  }

  /** Sets the source of this VM's requests in flight. */
  setLoadSource(source: LoadSource): void {
    this.#loads.setSource(source);
  }

  /** Sets the counter of the refill time that followers delegate to hubs. */
  setElapsedTimeSource(source: ElapsedTimeSource): void {
    this.#exchange.setElapsedTimeSource(source);
  }

  /** Sets the source of configuration confirmations. */
  setConfirmationSource(source: ConfirmationSource): void {
    this.#exchange.setConfirmationSource(source);
  }

  /** Sets the handler for messages of one kind. */
  setHandler<Kind extends FleetMessageKind>(
    kind: Kind,
    handler: NonNullable<Handlers[Kind]>,
  ): void {
    this.#handlers[kind] = handler;
  }

  /**
   * Adds a function that sends state to a VM that has linked to this one as a
   * new follower or has requested its state.
   */
  addReceiverListener(listener: (link: Link) => void): void {
    this.#receiverListeners.add(listener);
  }

  /**
   * Requests the state of some VMs and applies it. Resolves to the number of
   * VMs with a configuration that have sent it, 0 if none could be reached.
   */
  fetchState(signal: AbortSignal): Promise<number> {
    const { self, clock } = this.#deps;
    const candidates = this.#list.listAcrossDomains(clock.now())
      .filter(({ name }) => name !== self.name);
    return this.#stateTransfer.fetchFrom(candidates, signal);
  }

  /** Counts the VMs of this domain that rank before this one as its hub. */
  countCandidates(): number {
    return this.#listCandidates().length;
  }

  /** Lists the live VMs, including this one. */
  listVms(): LiveVm[] {
    return this.#exchange.listVms();
  }

  /**
   * Counts the live VMs, including this one, to compute this VM's share of a
   * fleet-wide limit.
   *
   * A VM that has just started learns of the others one by one. Until it knows
   * them all, every announced VM counts; otherwise each of many VMs that start
   * together would count only itself.
   */
  countVms(): number {
    const isDiscoveryOver =
      this.#deps.clock.now() - this.#startedAt >= DISCOVERY_MS;
    const live = this.#exchange.liveCount;
    return isDiscoveryOver ? live : Math.max(live, this.#list.size);
  }

  /**
   * Counts the VMs in the directory, including dead ones; undefined before the
   * directory was read.
   */
  countAnnounced(): number | undefined {
    return this.#directory.isRead ? this.#list.size : undefined;
  }

  /**
   * Finds the VMs in the directory, including dead ones.
   *
   * Returns undefined until all of them are known, and once this VM leaves. VMs
   * that start together know each other only after the discovery.
   */
  findRoster(): Roster | undefined {
    const { hasFullList, isLeaving } = this.#directory;
    const isDiscoveryOver =
      this.#deps.clock.now() - this.#startedAt >= DISCOVERY_MS;
    if (!hasFullList || !isDiscoveryOver || isLeaving) return undefined;
    return { version: this.#list.version, listVms: () => this.#list.list() };
  }

  /** Lists the open links of one kind. */
  listLinks(kind: LinkKind): Link[] {
    return [...this.#links].filter((link) => link.kind === kind);
  }

  /** Sends a message to all followers of this VM. */
  sendToFollowers(message: FleetMessage): void {
    this.#sendTo(LinkKind.Follower, message);
  }

  /** Sends a message to all VMs; the hubs relay it. */
  sendToAll(message: FleetMessage): void {
    this.#sendTo(LinkKind.Uplink, message);
    this.#sendTo(LinkKind.Follower, message);
    this.#sendTo(LinkKind.ToHub, message);
  }

  /** Announces this VM in the directory; retries until that succeeds. */
  runAnnouncing(signal: AbortSignal): Promise<void> {
    return this.#directory.runAnnouncing(signal);
  }

  /** Reads the directory once and, as a hub, waits for its updates. */
  runDirectory(signal: AbortSignal): Promise<void> {
    return this.#directory.runDirectory(signal);
  }

  /** Removes this VM from the directory as it shuts down. */
  withdraw(): Promise<void> {
    return this.#directory.withdraw();
  }

  /** Accepts links until the listener closes. */
  async runAccepting(): Promise<void> {
    const tasks = new Set<Promise<void>>();
    const accepted = this.#deps.transport.listAccepted();
    for await (const connection of accepted) {
      const task = this.#runAccepted(connection)
        .finally(() => tasks.delete(task));
      tasks.add(task);
    }
    for (const link of this.#links) link.close();
    await Promise.all(tasks);
  }

  /** Follows the highest-ranked reachable hub, or becomes the hub itself. */
  async runUplink(signal: AbortSignal): Promise<void> {
    const { clock, logger } = this.#deps;
    while (!signal.aborted) {
      if (!this.#directory.isRead) {
        await clock.sleep(DIRECTORY_CHECK_MS, signal);
        continue;
      }
      const candidates = this.#listCandidates();
      const hub = await this.#openFirst(candidates, LinkKind.Uplink, signal);
      if (hub === undefined && this.#hubChecks.isYielding) {
        // Another VM becomes the hub as soon as this one is no longer the hub.
        this.#setRole(FleetRole.Searching);
        await this.#hubChecks.sleepAsFormerHub(signal);
        continue;
      }
      if (hub === undefined) {
        this.#setRole(FleetRole.Hub);
        await this.#hubChecks.sleepAsHub(signal);
        continue;
      }
      this.#setRole(FleetRole.Follower);
      await hub.ended;
      this.#setRole(FleetRole.Searching);
      logger.warn("lost the link to the hub", { hub: hub.link.vm.name });
    }
  }

  /** Sends statuses and reports, and closes links that time out. */
  async runHeartbeats(signal: AbortSignal): Promise<void> {
    const { clock } = this.#deps;
    let domainAt = -Infinity;
    while (!signal.aborted) {
      const now = clock.now();
      const isDomainDue = now - domainAt >= DOMAIN_INTERVAL_MS;
      if (isDomainDue) domainAt = now;
      this.#exchange.recordLocal();
      this.#checkRejectedByStore();
      if (isHubRole(this.#role)) this.#directoryUpdates.update(now);
      else this.#directoryUpdates.removeAll();
      for (const link of this.#links) {
        this.#sendHeartbeat(link, isDomainDue, now);
      }
      if (isHubRole(this.#getAdvertisedRole())) this.#connectDomains(signal);
      await clock.sleep(STATUS_INTERVAL_MS, signal);
    }
  }

  /** Sends changed loads, at a shorter interval than all other reports. */
  async runLoads(signal: AbortSignal): Promise<void> {
    const { clock } = this.#deps;
    let checks = 0;
    while (!signal.aborted) {
      checks += 1;
      this.#loads.recordLocal();
      for (const link of this.#links) {
        const isBilled = link.kind === LinkKind.ToHub;
        if (isBilled && checks % DOMAIN_LOAD_CHECKS !== 0) continue;
        const changes = this.#loads.createChanges(link);
        if (changes !== undefined) link.send(changes);
      }
      await clock.sleep(this.#computeLoadIntervalMs(), signal);
    }
  }

  /** Computes the interval between checks for changed loads, in milliseconds. */
  #computeLoadIntervalMs(): number {
    const domainVms = this.#list.countDomain(this.self.failureDomain);
    const hubMs = domainVms * MS_PER_SECOND / LOAD_MESSAGES_PER_SECOND;
    return Math.max(LOAD_INTERVAL_MS, hubMs);
  }

  #listCandidates(): VmEntry[] {
    const { self, clock } = this.#deps;
    const now = clock.now();
    const reference = this.#hubChecks.isYielding ? undefined : self;
    return this.#list.listCandidates(self.failureDomain, now, reference)
      .filter(({ name }) => name !== self.name);
  }

  /** Steps down as hub when the store serves a follower but not this VM. */
  #checkRejectedByStore(): void {
    if (!isHubRole(this.#role)) return;
    if (!this.#exchange.isRejectedByStore()) return;
    this.#deps.logger.warn(
      "rejected by the store; handing the hub role over",
      { links: this.#links.size },
    );
    this.#hubChecks.startYielding();
    this.#setRole(FleetRole.Searching);
  }

  #sendHeartbeat(link: Link, isDomainDue: boolean, now: number): void {
    if (now - link.lastSeenAt > getTimeoutMs(link)) {
      this.#deps.logger.warn("a link timed out; closing it", {
        peer: link.vm.name,
        silentMs: Math.round(now - link.lastSeenAt),
      });
      return link.close();
    }
    switch (link.kind) {
      case LinkKind.Uplink:
        return link.send(this.#exchange.createStatus(link));
      case LinkKind.Follower:
        if (!isHubRole(this.#getAdvertisedRole())) {
          link.send(this.#createAlive());
        }
        return link.send(this.#exchange.createReport(link));
      case LinkKind.ToHub:
        if (isDomainDue) link.send(this.#exchange.createDomainReport(link));
        return;
      case LinkKind.FromHub:
        if (isDomainDue) link.send(this.#createAlive());
        return;
      case LinkKind.Visitor:
      case LinkKind.StateSource:
      case LinkKind.StateReceiver:
        return;
    }
  }

  #createHello(purpose = HelloPurpose.Link): Hello {
    return {
      kind: FleetMessageKind.Hello,
      vm: this.self,
      role: this.#getAdvertisedRole(),
      known: this.#exchange.getKnown(),
      purpose,
    };
  }

  /**
   * Returns the role that this VM reports. A leaving VM reports that it is not
   * the hub, so that its followers switch to another one in time.
   */
  #getAdvertisedRole(): FleetRole {
    return this.#exchange.phase === VmPhase.Leaving
      ? FleetRole.Follower
      : this.#role;
  }

  #createAlive(): FleetMessage {
    return { kind: FleetMessageKind.Alive, role: this.#getAdvertisedRole() };
  }

  async #runAccepted(connection: PeerConnection<FleetMessage>): Promise<void> {
    const { clock, self, logger } = this.#deps;
    const messages = connection.listMessages()[Symbol.asyncIterator]();
    const hello = await runWithTimeout(
      clock,
      DIAL_TIMEOUT_MS,
      () => readHello(messages),
    );
    if (hello === TIMED_OUT || hello === undefined) return connection.close();
    const kind = resolveAcceptedKind(hello, self.failureDomain);
    connection.send(this.#createHello());
    const link = new Link(kind, hello, connection, clock.now());
    if (this.#list.add(hello.vm)) this.#sendVmsKnown([hello.vm]);
    this.#links.add(link);
    logger.info("accepted a link", { peer: link.vm.name, link: kind });
    this.#sendInitial(link);
    if (kind === LinkKind.Follower) void this.#directory.restore(hello.vm);
    await this.#readLink(link, messages);
  }

  /** Sends what the VM at the other end of an accepted link needs first. */
  #sendInitial(link: Link): void {
    const vms: FleetMessage = {
      kind: FleetMessageKind.VmsKnown,
      vms: this.#list.list(),
    };
    switch (link.kind) {
      case LinkKind.Follower:
        link.send(vms);
        for (const listener of this.#receiverListeners) listener(link);
        return;
      case LinkKind.StateReceiver:
        for (const listener of this.#receiverListeners) listener(link);
        // Marks the end of the state.
        return link.send(vms);
      case LinkKind.FromHub:
      case LinkKind.Visitor:
      case LinkKind.Uplink:
      case LinkKind.ToHub:
      case LinkKind.StateSource:
        return link.send(vms);
    }
  }

  /** Handles the messages of a link until it closes, then removes the link. */
  async #readLink(
    link: Link,
    messages: AsyncIterator<FleetMessage>,
  ): Promise<void> {
    while (true) {
      const next = await messages.next();
      if (next.done) break;
      link.lastSeenAt = this.#deps.clock.now();
      if (!this.#tryApplyMessage(next.value, link)) link.close();
    }
    this.#links.delete(link);
    this.#exchange.recordLinkEnd(link);
    this.#loads.removeLink(link);
    this.#deps.logger.info("a link was closed", {
      peer: link.vm.name,
      link: link.kind,
    });
  }

  /** Opens a link to the first hub of `candidates`, if there is one. */
  async #openFirst(
    candidates: readonly VmEntry[],
    kind: LinkKind,
    signal: AbortSignal,
  ): Promise<LinkedHub | undefined> {
    const opened = await this.#dialer.connectFirst(candidates, signal);
    if (opened === undefined) return undefined;
    const { clock, logger } = this.#deps;
    const { hello, connection, messages } = opened;
    const link = new Link(kind, hello, connection, clock.now());
    this.#links.add(link);
    logger.info("opened a link", { peer: link.vm.name, link: kind });
    // The hub refills this VM's share of the tokens from the first status on.
    if (kind === LinkKind.Uplink) link.send(this.#exchange.createStatus(link));
    return { link, ended: this.#readLink(link, messages) };
  }

  /** Connects to the hubs of all other domains that are not linked yet. */
  #connectDomains(signal: AbortSignal): void {
    for (const domain of this.#list.listDomains()) {
      if (domain === this.self.failureDomain) continue;
      if (this.#activeDomains.has(domain)) continue;
      this.#activeDomains.add(domain);
      void this.#runDomain(domain, signal)
        .finally(() => this.#activeDomains.delete(domain));
    }
  }

  async #runDomain(domain: string, signal: AbortSignal): Promise<void> {
    const now = this.#deps.clock.now();
    const candidates = this.#list.listCandidates(domain, now);
    const hub = await this.#openFirst(candidates, LinkKind.ToHub, signal);
    await hub?.ended;
  }

  /** Applies a message; returns false if that failed unexpectedly. */
  #tryApplyMessage(message: FleetMessage, link: Link): boolean {
    try {
      this.#applyMessage(message, link);
      return true;
    } catch (error) {
      this.#deps.logger.error("could not apply a message; closing its link", {
        peer: link.vm.name,
        link: link.kind,
        kind: message.kind,
        cause: formatCause(error),
      });
      return false;
    }
  }

  #applyMessage(message: FleetMessage, link: Link): void {
    const handler = this.#handlers[message.kind] as
      | ((message: FleetMessage, link: Link) => void)
      | undefined;
    switch (message.kind) {
      case FleetMessageKind.Hello:
        return;
      case FleetMessageKind.Alive:
        return this.#recordRole(link, message.role);
      case FleetMessageKind.Status:
        return this.#exchange.applyStatus(message, link);
      case FleetMessageKind.Report:
        return this.#exchange.applyReport(message, link);
      case FleetMessageKind.DomainReport:
        return this.#exchange.applyDomainReport(message, link);
      case FleetMessageKind.Load:
        return this.#loads.applyChanges(message, link);
      case FleetMessageKind.VmsKnown:
        return this.#applyVmsKnown(message);
      case FleetMessageKind.Evidence:
        this.#forwardMessage(message, link);
        handler?.(message, link);
        return;
      case FleetMessageKind.Document:
      case FleetMessageKind.Servers:
      case FleetMessageKind.ServerSet:
      case FleetMessageKind.ServerRemoved:
      case FleetMessageKind.Evacuations:
      case FleetMessageKind.TokenRequest:
      case FleetMessageKind.TokenGrant:
      case FleetMessageKind.TokenReturned:
        handler?.(message, link);
        return;
    }
  }

  /** Relays a message to the VMs to which its sender has no link. */
  #forwardMessage(message: FleetMessage, from: Link): void {
    switch (from.kind) {
      case LinkKind.Uplink:
      case LinkKind.ToHub:
      case LinkKind.Visitor:
      case LinkKind.StateSource:
      case LinkKind.StateReceiver:
        return;
      case LinkKind.FromHub:
        return this.#sendTo(LinkKind.Follower, message);
      case LinkKind.Follower:
        for (const link of this.#links) {
          const isFollower = link.kind === LinkKind.Follower && link !== from;
          if (isFollower || link.kind === LinkKind.ToHub) link.send(message);
        }
        return;
    }
  }

  #recordRole(link: Link, role: FleetRole): void {
    link.role = role;
    const needsHub = link.kind === LinkKind.Uplink ||
      link.kind === LinkKind.ToHub;
    if (needsHub && !isHubRole(role)) link.close();
  }

  #applyVmsKnown({ vms, removed }: VmsKnown): void {
    for (const vm of vms) this.#list.add(vm);
    for (const name of removed ?? []) {
      if (name !== this.self.name) this.#list.remove(name);
    }
  }

  /**
   * Tells the followers about new VMs and about those that were removed from
   * the directory; each was sent all others at first.
   */
  #sendVmsKnown(
    added: readonly VmEntry[],
    removed: readonly VmName[] = [],
  ): void {
    this.#sendTo(LinkKind.Follower, {
      kind: FleetMessageKind.VmsKnown,
      vms: added,
      removed,
    });
  }

  #setRole(role: FleetRole): void {
    if (role === this.#role) return;
    this.#deps.logger.info("this VM's role changed", {
      role,
      earlier: this.#role,
    });
    this.#role = role;
    this.#hubChecks.checkNow();
    for (const link of this.#links) {
      if (link.kind !== LinkKind.Uplink) link.send(this.#createAlive());
    }
    if (isHubRole(role)) return;
    for (const link of this.#links) {
      if (link.kind === LinkKind.ToHub) link.close();
    }
  }

  #sendTo(kind: LinkKind, message: FleetMessage): void {
    for (const link of this.#links) {
      if (link.kind === kind) link.send(message);
    }
  }
}

function getTimeoutMs(link: Link): number {
  switch (link.kind) {
    case LinkKind.Uplink:
      return HUB_TIMEOUT_MS;
    case LinkKind.Follower:
    case LinkKind.ToHub:
    case LinkKind.FromHub:
    case LinkKind.Visitor:
    case LinkKind.StateSource:
    case LinkKind.StateReceiver:
      return LINK_TIMEOUT_MS;
  }
}
