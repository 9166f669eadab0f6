/** The directory of VMs: announces this VM and finds the others. */
import { getEra } from "../../model/mod.ts";
import type { Incarnation, Offset, VmName } from "../../model/mod.ts";
import { runWithTimeout } from "../clock/mod.ts";
import type { Clock } from "../clock/mod.ts";
import { FeedReadKind } from "../feed/source.ts";
import type { FeedRead, FeedSource } from "../feed/source.ts";
import type { Logger } from "../logging/mod.ts";
import type { PeerTransport } from "../membership/transport.ts";
import { DIAL_TIMEOUT_MS } from "./dialer.ts";
import { FleetMessageKind } from "./message.ts";
import type { FleetMessage, VmEntry } from "./message.ts";
import type { VmList } from "./vm_list.ts";

/** Maximum time that a read waits for an update, in milliseconds. */
const DIRECTORY_WAIT_MS = 20_000;
/** Delay before a failed call to the directory is retried, in milliseconds. */
const DIRECTORY_RETRY_MS = 500;

/** Kinds of {@linkcode VmUpdate}. */
export enum VmUpdateKind {
  Announced = "announced",
  Withdrawn = "withdrawn",
}

/** A change in the directory of VMs. */
export type VmUpdate =
  | { readonly kind: VmUpdateKind.Announced; readonly vm: VmEntry }
  | { readonly kind: VmUpdateKind.Withdrawn; readonly name: VmName };

/** Directory in which VMs announce themselves. */
export interface VmDirectory extends FeedSource<VmUpdate> {
  /** Announces a VM; false unless the directory has confirmed it. */
  announce(vm: VmEntry): Promise<boolean>;
  /** Removes a VM's entry; false unless the directory has confirmed it. */
  withdraw(name: VmName): Promise<boolean>;
}

type ReadVms = Extract<FeedRead<VmUpdate>, { kind: FeedReadKind.Updates }>;

/** Dependencies of {@linkcode DirectoryReader}. */
export interface DirectoryReaderDependencies {
  readonly clock: Clock;
  readonly self: VmEntry;
  readonly directory: VmDirectory;
  readonly transport: PeerTransport<FleetMessage>;
  /** Peer addresses of VMs to query when the directory is unavailable. */
  readonly seeds: readonly string[];
  readonly list: VmList;
  readonly logger: Logger;
  /** Whether this VM is the hub, which follows the directory's updates. */
  readonly isHub: () => boolean;
  readonly createHello: () => FleetMessage;
  /** Called after VMs were added to the list. */
  readonly recordAdded: (added: readonly VmEntry[]) => void;
  /** Called after a VM was removed from the list. */
  readonly recordRemoved: (name: VmName) => void;
}

/** Updates the list of VMs from the directory. */
export class DirectoryReader {
  readonly #deps: DirectoryReaderDependencies;
  #isRead = false;
  #hasFullList = false;
  #isAnnounced = false;
  #isLeaving = false;
  /**
   * VMs whose entry was removed, with the incarnation that it had; they are
   * announced again on return.
   */
  readonly #removed = new Map<VmName, Incarnation>();
  /** Incarnations in the directory; undefined before this hub has read it. */
  #listed: Map<VmName, Incarnation> | undefined;
  /**
   * Incarnations that this hub has announced again since the last new era. Each
   * is announced once, also if the reads of the directory are delayed.
   */
  readonly #restored = new Map<VmName, Incarnation>();
  /** Era of the store in which the directory was read last. */
  #era = 0;

  /** Creates a reader that has not read the directory yet. */
  constructor(deps: DirectoryReaderDependencies) {
    this.#deps = deps;
  }

  /** Whether the first read of the directory has ended, even if it failed. */
  get isRead(): boolean {
    return this.#isRead;
  }

  /** Whether all VMs of the directory are known: a read was complete. */
  get hasFullList(): boolean {
    return this.#hasFullList;
  }

  /** Whether this VM is removing itself from the directory. */
  get isLeaving(): boolean {
    return this.#isLeaving;
  }

  /** Announces this VM in the directory; retries until that succeeds. */
  async runAnnouncing(signal: AbortSignal): Promise<void> {
    const { clock, directory, self, logger } = this.#deps;
    while (!signal.aborted && !(await directory.announce(self))) {
      await clock.sleep(DIRECTORY_RETRY_MS, signal);
    }
    logger.info("announced this VM in the directory", {
      incarnation: self.incarnation,
    });
    this.#isAnnounced = true;
  }

  /** Reads the directory once and, as a hub, waits for its updates. */
  async runDirectory(signal: AbortSignal): Promise<void> {
    const { clock, directory } = this.#deps;
    await clock.sleep(0);
    let position: Offset | undefined;
    while (!signal.aborted) {
      const read = position === undefined
        ? await directory.readNewest()
        : await directory.readFrom(position, DIRECTORY_WAIT_MS);
      switch (read.kind) {
        case FeedReadKind.Updates:
          if (position === undefined) this.#replaceAll(read);
          else this.#applyUpdates(read.updates);
          position = read.next;
          if (read.isComplete) this.#hasFullList = true;
          break;
        case FeedReadKind.OutOfRange:
          position = undefined;
          break;
        case FeedReadKind.EraChanged:
          position = undefined;
          await clock.sleep(DIRECTORY_RETRY_MS, signal);
          break;
        case FeedReadKind.Unavailable:
          await this.#fetchFromSeeds(signal);
          await clock.sleep(DIRECTORY_RETRY_MS, signal);
          break;
      }
      this.#isRead = true;
      const mustContinue = !this.#hasFullList || this.#deps.isHub();
      if (position === undefined || mustContinue) continue;
      position = undefined;
      await this.#waitForHubRole(signal);
    }
  }

  async #waitForHubRole(signal: AbortSignal): Promise<void> {
    while (!signal.aborted && !this.#deps.isHub()) {
      await this.#deps.clock.sleep(DIRECTORY_RETRY_MS, signal);
    }
  }

  /** Fetches the list of VMs from the seeds if the directory fails. */
  async #fetchFromSeeds(signal: AbortSignal): Promise<void> {
    const { clock, seeds, self, transport } = this.#deps;
    for (const seed of seeds) {
      if (seed === self.peerAddress || signal.aborted) continue;
      await runWithTimeout(clock, DIAL_TIMEOUT_MS, async (deadline) => {
        const connection = await transport.connect(
          seed,
          AbortSignal.any([signal, deadline]),
        );
        if (connection === undefined) return;
        connection.send(this.#deps.createHello());
        for await (const message of connection.listMessages()) {
          if (message.kind !== FleetMessageKind.VmsKnown) continue;
          for (const vm of message.vms) this.#deps.list.add(vm);
          break;
        }
        connection.close();
      });
    }
  }

  /** Removes this VM from the directory as it shuts down. */
  async withdraw(): Promise<void> {
    this.#isLeaving = true;
    if (!this.#isAnnounced) return;
    const { directory, self, logger } = this.#deps;
    const isWithdrawn = await directory.withdraw(self.name);
    if (!isWithdrawn) logger.warn("could not remove this VM's directory entry");
  }

  /** Removes the entry of a VM that has been missing for long. */
  async removeMissing(name: VmName): Promise<void> {
    const { directory, logger } = this.#deps;
    const isRemoved = await directory.withdraw(name);
    logger.info("tried to remove the directory entry of a missing VM", {
      vmName: name,
      isRemoved,
    });
  }

  /** Announces a VM again that has returned after its entry was removed. */
  async restore(vm: VmEntry): Promise<void> {
    if (!this.#removed.delete(vm.name)) return;
    const isAnnounced = await this.restoreLost(vm);
    if (!isAnnounced) this.#removed.set(vm.name, vm.incarnation);
  }

  /** Announces a VM again whose entry the directory does not contain. */
  async restoreLost(vm: VmEntry): Promise<boolean> {
    const { directory, logger } = this.#deps;
    const isAnnounced = await directory.announce(vm);
    if (isAnnounced) this.#restored.set(vm.name, vm.incarnation);
    logger.info("tried to announce a VM without an entry again", {
      vmName: vm.name,
      isAnnounced,
    });
    return isAnnounced;
  }

  /** Whether the directory contains a VM's entry, as far as this hub knows. */
  isListed({ name, incarnation }: VmEntry): boolean {
    if (this.#listed === undefined) return true;
    if (this.#restored.get(name) === incarnation) return true;
    return (this.#listed.get(name) ?? -1) >= incarnation;
  }

  /** Applies a read of all entries. */
  #replaceAll({ updates, next }: ReadVms): void {
    this.#listed = this.#deps.isHub() ? new Map() : undefined;
    const isNewEra = getEra(next) > this.#era;
    this.#era = Math.max(this.#era, getEra(next));
    if (isNewEra) this.#restored.clear();
    this.#applyUpdates(
      isNewEra
        ? updates.filter((update) => !this.#isOutdated(update))
        : updates,
    );
  }

  /**
   * Whether an entry was removed before the store was restored from an older
   * copy. The hub of its failure domain removes it again.
   */
  #isOutdated(update: VmUpdate): boolean {
    switch (update.kind) {
      case VmUpdateKind.Withdrawn:
        return false;
      case VmUpdateKind.Announced: {
        const { name, incarnation, failureDomain } = update.vm;
        const removed = this.#removed.get(name) ?? -1;
        if (incarnation > removed) return false;
        const { isHub, self } = this.#deps;
        const isOwner = isHub() && failureDomain === self.failureDomain;
        if (isOwner) void this.removeMissing(name);
        return true;
      }
    }
  }

  #applyUpdates(updates: readonly VmUpdate[]): void {
    const added: VmEntry[] = [];
    for (const update of updates) {
      switch (update.kind) {
        case VmUpdateKind.Announced:
          this.#removed.delete(update.vm.name);
          this.#listed?.set(update.vm.name, update.vm.incarnation);
          if (this.#deps.list.add(update.vm)) added.push(update.vm);
          break;
        case VmUpdateKind.Withdrawn:
          this.#applyWithdrawn(update.name);
          break;
      }
    }
    if (added.length > 0) this.#deps.recordAdded(added);
  }

  #applyWithdrawn(name: VmName): void {
    const { self, list } = this.#deps;
    this.#removed.set(name, list.find(name)?.incarnation ?? -1);
    this.#listed?.delete(name);
    this.#restored.delete(name);
    // A hub considered this VM dead; as long as it serves, it must be counted.
    if (name === self.name) {
      if (!this.#isLeaving) void this.restore(self);
      return;
    }
    list.remove(name);
    this.#deps.recordRemoved(name);
  }
}
