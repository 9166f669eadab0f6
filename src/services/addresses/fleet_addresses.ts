/** Addresses of the VMs that callers of a failure domain should use. */
import { VmPhase } from "../../model/mod.ts";
import type { Team } from "../../model/mod.ts";
import type { Fleet, LiveVm } from "../fleet/mod.ts";
import type { AddressAnswer, AddressSelector } from "./mod.ts";

/** Minimum number of VMs of the caller's domain; with fewer, all are used. */
const NEAR_VMS_MIN = 2;
/** Maximum number of addresses in a response; enough for callers to spread. */
const ADDRESS_LIMIT = 64;

/** Dependencies of {@linkcode FleetAddresses}. */
export interface FleetAddressesParts {
  readonly fleet: Fleet;
  /** Time for which a caller may cache a response, in milliseconds. */
  readonly ttlMs: number;
}

/** Selects the VMs of a caller's failure domain while enough of them serve. */
export class FleetAddresses implements AddressSelector {
  readonly #parts: FleetAddressesParts;

  /** Creates the service. */
  constructor(parts: FleetAddressesParts) {
    this.#parts = parts;
  }

  get ttlMs(): number {
    return this.#parts.ttlMs;
  }

  selectAddresses(_team: Team | undefined, _caller: string): AddressAnswer {
    return this.selectForDomain(this.#parts.fleet.self.failureDomain);
  }

  /** Selects VMs for a caller in `failureDomain`. */
  selectForDomain(failureDomain: string): AddressAnswer {
    const live = this.#parts.fleet.listVms();
    const serving = live.filter((vm) => vm.phase === VmPhase.Serving);
    const staying = live.filter((vm) => vm.phase !== VmPhase.Leaving);
    const usable = serving.length > 0 ? serving : staying;
    const near = usable.filter((vm) => vm.failureDomain === failureDomain);
    const chosen = near.length >= NEAR_VMS_MIN ? near : usable;
    return {
      ttlMs: this.#parts.ttlMs,
      addresses: chosen.slice(0, ADDRESS_LIMIT).map(createAddress),
    };
  }
}

function createAddress(vm: LiveVm): AddressAnswer["addresses"][number] {
  return {
    vm: vm.name,
    address: vm.callerAddress,
    failureDomain: vm.failureDomain,
  };
}
