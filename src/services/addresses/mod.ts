/** Addresses service: selects the VMs that a caller should use. */
import {
  ADDRESS_RESPONSE_LIMIT,
  ADDRESS_TEAM_RATE_PER_VM,
} from "../../constants.ts";
import { VmPhase } from "../../model/mod.ts";
import type { Team, VmName } from "../../model/mod.ts";
import type { FreshnessSource } from "../freshness/mod.ts";
import { computeWeightedScore, listRanked } from "../hashing/mod.ts";
import type { Membership } from "../membership/mod.ts";
import type { Presence } from "../presence/mod.ts";
import type { QuotaShards } from "../quota_shards/mod.ts";
import { listTeamShards } from "../shares/team_limits.ts";

/** Dependencies of {@linkcode Addresses}. */
export interface AddressesDependencies {
  readonly freshness: FreshnessSource;
  readonly membership: Membership;
  readonly presence: Presence;
  readonly shards: QuotaShards;
  /** Time for which a caller may cache a response, in milliseconds. */
  readonly ttlMs: number;
}

/** One VM that a caller may use. */
export interface CallerAddress {
  readonly vm: VmName;
  /** `host:port` that callers connect to. */
  readonly address: string;
  readonly failureDomain: string;
}

/** Response to a caller's request for the addresses of VMs. */
export interface AddressResponse {
  /** Time for which the response may be cached, in milliseconds. */
  readonly ttlMs: number;
  /** The preferred VM comes first; the others are for when it fails. */
  readonly addresses: readonly CallerAddress[];
}

/** Selects the VMs that a caller should use. */
export interface AddressSelector {
  /** Time for which a caller may cache a response, in milliseconds. */
  readonly ttlMs: number;
  /** Selects VMs for a caller of a team, or of none. */
  selectAddresses(team: Team | undefined, caller: string): AddressResponse;
}

interface Candidate extends CallerAddress {
  readonly isOverloaded: boolean;
  readonly shards: readonly { readonly index: number }[];
}

/** Weight of a team's quota shard that a VM owns; the VM itself has weight 1. */
const SHARD_WEIGHT = 8;

/** Selects VMs by the team's quota shards that they own. */
export class Addresses implements AddressSelector {
  readonly #deps: AddressesDependencies;

  /** Creates the service. */
  constructor(deps: AddressesDependencies) {
    this.#deps = deps;
  }

  /** Time for which a caller may cache a response, in milliseconds. */
  get ttlMs(): number {
    return this.#deps.ttlMs;
  }

  /**
   * Selects VMs for a caller of a team, or of none.
   *
   * `caller` identifies the caller within its team, so that the callers of a
   * large team spread over its VMs. The same caller gets the same order as long
   * as no VM changes.
   */
  selectAddresses(team: Team | undefined, caller: string): AddressResponse {
    const candidates = this.#listCandidates(team);
    const notOverloaded = candidates.filter((vm) => !vm.isOverloaded);
    const usable = notOverloaded.length > 0 ? notOverloaded : candidates;
    const teamShards = new Set(team === undefined ? [] : listTeamShards(team));
    const teamVms = listRanked(usable, (vm) => {
      const ownedCount = vm.shards.filter((shard) =>
        teamShards.has(shard.index)
      ).length;
      const weight = 1 + SHARD_WEIGHT * ownedCount;
      return computeWeightedScore(`${team?.id ?? ""} ${vm.vm}`, weight);
    }).slice(0, countAddresses(team));
    const ordered = listRanked(
      teamVms,
      (vm) => computeWeightedScore(`${caller} ${vm.vm}`, 1),
    );
    const addresses = listSpreadOverDomains(ordered)
      .slice(0, ADDRESS_RESPONSE_LIMIT)
      .map(({ vm, address, failureDomain }) => ({
        vm,
        address,
        failureDomain,
      }));
    return { ttlMs: this.#deps.ttlMs, addresses };
  }

  /**
   * Lists the VMs that serve callers. Without any, callers of no team get those
   * that are starting: these can serve open routes.
   */
  #listCandidates(team: Team | undefined): Candidate[] {
    const serving = this.#listInPhase(VmPhase.Serving);
    return serving.length === 0 && team === undefined
      ? this.#listInPhase(VmPhase.Starting)
      : serving;
  }

  /** Lists the reachable VMs in a phase whose configuration is fresh. */
  #listInPhase(phase: VmPhase): Candidate[] {
    const { membership } = this.#deps;
    const candidates = membership.listReachable()
      .filter((peer) => peer.phase === phase && peer.isFresh)
      .map((peer): Candidate => ({
        vm: peer.vm,
        address: peer.hello?.callerAddress ?? "",
        failureDomain: peer.hello?.failureDomain ?? "",
        isOverloaded: peer.isOverloaded,
        shards: peer.shards,
      }));
    const localCandidate = this.#createLocalCandidate(phase);
    return localCandidate === undefined
      ? candidates
      : [localCandidate, ...candidates];
  }

  #createLocalCandidate(phase: VmPhase): Candidate | undefined {
    const { freshness, membership, presence, shards } = this.#deps;
    if (presence.phase !== phase || !freshness.isFresh()) {
      return undefined;
    }
    return {
      vm: membership.self.vm,
      address: membership.self.getCallerAddress(),
      failureDomain: membership.self.failureDomain,
      isOverloaded: presence.isOverloaded(),
      shards: shards.listOwned(),
    };
  }
}

/**
 * Returns the number of VMs for a team's callers. Small teams use few VMs, so
 * that few of their tokens need to be transferred between VMs.
 */
function countAddresses(team: Team | undefined): number {
  const rate = team?.ratePerSecond ?? Infinity;
  return Math.max(2, Math.ceil(rate / ADDRESS_TEAM_RATE_PER_VM));
}

/** Lists the first VM of each failure domain, then the others, in order. */
function listSpreadOverDomains(ordered: readonly Candidate[]): Candidate[] {
  const domains = new Set<string>();
  const firstOfDomain: Candidate[] = [];
  const others: Candidate[] = [];
  for (const vm of ordered) {
    (domains.has(vm.failureDomain) ? others : firstOfDomain).push(vm);
    domains.add(vm.failureDomain);
  }
  return [...firstOfDomain, ...others];
}
