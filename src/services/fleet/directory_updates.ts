/** Keeps a failure domain's entries in the directory equal to its live VMs. */
import { VmPhase } from "../../model/mod.ts";
import type { VmName } from "../../model/mod.ts";
import type { DirectoryReader } from "./directory.ts";
import { LinkKind } from "./link.ts";
import type { Link } from "./link.ts";
import type { LiveVm, VmEntry } from "./message.ts";
import { MissingVms } from "./missing_vms.ts";
import type { VmList } from "./vm_list.ts";

/**
 * Time without a link after which a VM's directory entry is removed, in
 * milliseconds. Replacing a VM takes less time. A VM that is disconnected for
 * longer than its configuration remains confirmed serves no team, so the other
 * VMs can use its share of the rates.
 */
const MISSING_LIMIT_MS = 60_000;
/** Time after which a hub announces a linked VM without an entry, in ms. */
const UNLISTED_LIMIT_MS = 1_000;
/**
 * Maximum number of VMs that a hub announces per heartbeat, 40 a second. After
 * a restore of the store, many entries may be lost together.
 */
const ANNOUNCEMENTS_PER_HEARTBEAT = 10;

/** Dependencies of {@linkcode DirectoryUpdates}. */
export interface DirectoryUpdatesDependencies {
  readonly self: VmEntry;
  readonly list: VmList;
  /** Links that are currently open. */
  readonly links: ReadonlySet<Link>;
  readonly directory: DirectoryReader;
  /** Lists the live VMs of the fleet. */
  readonly listVms: () => readonly LiveVm[];
}

/** Removes and announces entries of a domain's VMs, as its hub. */
export class DirectoryUpdates {
  readonly #deps: DirectoryUpdatesDependencies;
  readonly #missing = new MissingVms(MISSING_LIMIT_MS);
  readonly #unlisted = new MissingVms(UNLISTED_LIMIT_MS);

  constructor(deps: DirectoryUpdatesDependencies) {
    this.#deps = deps;
  }

  /** Forgets the VMs that were missing; for a VM that is not the hub. */
  removeAll(): void {
    this.#missing.removeAll();
    this.#unlisted.removeAll();
  }

  /**
   * Updates the entries at `now`, monotonic time in milliseconds.
   *
   * Entries of VMs that have been missing for long are removed, unless they are
   * the majority of the domain: then this VM may be the partitioned one.
   */
  update(now: number): void {
    const { self, list, links, directory } = this.#deps;
    const linked = new Set([...links].map(({ vm }) => vm.name));
    const others = list.list().filter(({ name, failureDomain }) =>
      failureDomain === self.failureDomain && name !== self.name
    );
    const missing = others.filter(({ name }) => !linked.has(name));
    const isMajority = 2 * missing.length > others.length;
    const overdue = this.#missing
      .listOverdue(isMajority ? [] : missing.map(({ name }) => name), now);
    for (const name of overdue) void directory.removeMissing(name);
    this.#restoreUnlisted(now);
  }

  /** Announces the live VMs of this domain that the directory lacks. */
  #restoreUnlisted(now: number): void {
    const { directory } = this.#deps;
    const entries = this.#listDomainEntries();
    const unlisted = this.#deps.listVms()
      .filter(({ phase }) => phase !== VmPhase.Leaving)
      .map(({ name }) => name)
      .filter((name) => {
        const vm = entries.get(name);
        return vm !== undefined && !directory.isListed(vm);
      });
    const overdue = this.#unlisted
      .listOverdue(unlisted, now, ANNOUNCEMENTS_PER_HEARTBEAT);
    for (const name of overdue) {
      const vm = entries.get(name);
      if (vm !== undefined) void directory.restoreLost(vm);
    }
  }

  /** Lists the entries of this VM and of those that follow it, by name. */
  #listDomainEntries(): Map<VmName, VmEntry> {
    const { self, links } = this.#deps;
    const followers = [...links]
      .filter(({ kind }) => kind === LinkKind.Follower)
      .map(({ vm }) => vm);
    return new Map([self, ...followers].map((vm) => [vm.name, vm]));
  }
}
