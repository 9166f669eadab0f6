/**
 * Lists of live VMs as they are sent on a link: complete at first, then only
 * what has changed. With complete lists, each VM that starts or stops would
 * cost every VM as much as there are VMs.
 */
import type { VmName } from "../../model/mod.ts";
import type { LiveVm, LiveVmChanges } from "./message.ts";

/** What a report says about live VMs. */
export interface LiveVmsUpdate {
  /** All live VMs, in the first report of a link. */
  readonly vms: readonly LiveVm[] | undefined;
  /** Changes since the last report; undefined if there are none. */
  readonly vmChanges: LiveVmChanges | undefined;
}

const NO_UPDATE: LiveVmsUpdate = { vms: undefined, vmChanges: undefined };

/** Creates the updates of one link. */
export class LiveVmsSender {
  #sent: ReadonlyMap<VmName, LiveVm> | undefined;
  #sentList: readonly LiveVm[] | undefined;

  /** Creates the update from what was sent before to `vms`. */
  createUpdate(vms: readonly LiveVm[]): LiveVmsUpdate {
    if (vms === this.#sentList) return NO_UPDATE;
    this.#sentList = vms;
    const earlier = this.#sent;
    const current = new Map(vms.map((vm) => [vm.name, vm]));
    this.#sent = current;
    if (earlier === undefined) return { vms, vmChanges: undefined };
    const set = vms.filter((vm) => !isSame(earlier.get(vm.name), vm));
    const removed = [...earlier.keys()].filter((name) => !current.has(name));
    const hasChanges = set.length + removed.length > 0;
    return {
      vms: undefined,
      vmChanges: hasChanges ? { set, removed } : undefined,
    };
  }
}

/** Live VMs as received in updates. */
export class LiveVmList {
  #vms = new Map<VmName, LiveVm>();

  /** Lists the live VMs. */
  list(): LiveVm[] {
    return [...this.#vms.values()];
  }

  /** Applies an update; a complete list replaces what was known before. */
  apply({ vms, vmChanges }: LiveVmsUpdate): void {
    if (vms !== undefined) this.#vms = new Map(vms.map((vm) => [vm.name, vm]));
    if (vmChanges === undefined) return;
    for (const vm of vmChanges.set) this.#vms.set(vm.name, vm);
    for (const name of vmChanges.removed) this.#vms.delete(name);
  }
}

/** Returns `earlier` if it lists the same as `vms`, so that it is recognized. */
export function mergeUnchanged(
  earlier: readonly LiveVm[],
  vms: readonly LiveVm[],
): readonly LiveVm[] {
  const isUnchanged = earlier.length === vms.length &&
    vms.every((vm, index) =>
      vm.name === earlier[index]?.name && isSame(earlier[index], vm)
    );
  return isUnchanged ? earlier : vms;
}

function isSame(known: LiveVm | undefined, vm: LiveVm): boolean {
  return known !== undefined && known.phase === vm.phase &&
    known.callerAddress === vm.callerAddress &&
    known.failureDomain === vm.failureDomain;
}
