/** Addresses of the VMs that callers of a failure domain should use. */
import { VmPhase } from "../../model/mod.ts";
import type { Team } from "../../model/mod.ts";
import type { Fleet, LiveVm } from "../fleet/mod.ts";
import type { AddressResponse, AddressSelector } from "./mod.ts";

/** Minimum number of VMs of the caller's domain; with fewer, all are used. */
const MIN_SAME_DOMAIN_VMS = 2;
/** Maximum number of addresses in a response; enough for callers to spread. */
const MAX_ADDRESSES = 64;

/** Dependencies of {@linkcode FleetAddresses}. */
export interface FleetAddressesDependencies {
  readonly fleet: Fleet;
  /** Time for which a caller may cache a response, in milliseconds. */
  readonly ttlMs: number;
}

/** Selects the VMs of a caller's failure domain while enough of them serve. */
export class FleetAddresses implements AddressSelector {
  readonly #deps: FleetAddressesDependencies;

  /** Creates the service. */
  constructor(deps: FleetAddressesDependencies) {
    this.#deps = deps;
  }

  get ttlMs(): number {
    return this.#deps.ttlMs;
  }

  selectAddresses(_team: Team | undefined, _caller: string): AddressResponse {
    return this.selectForDomain(this.#deps.fleet.self.failureDomain);
  }

  /** Selects VMs for a caller in `failureDomain`. */
  selectForDomain(failureDomain: string): AddressResponse {
    const live = this.#deps.fleet.listVms();
    const serving = live.filter((vm) => vm.phase === VmPhase.Serving);
    const notLeaving = live.filter((vm) => vm.phase !== VmPhase.Leaving);
    const usable = serving.length > 0 ? serving : notLeaving;
    const sameDomain = usable.filter((vm) =>
      vm.failureDomain === failureDomain
    );
    const selected = sameDomain.length >= MIN_SAME_DOMAIN_VMS
      ? sameDomain
      : usable;
    return {
      ttlMs: this.#deps.ttlMs,
      addresses: selected.slice(0, MAX_ADDRESSES).map(createAddress),
    };
  }
}

function createAddress(vm: LiveVm): AddressResponse["addresses"][number] {
  return {
    vm: vm.name,
    address: vm.callerAddress,
    failureDomain: vm.failureDomain,
  };
}
