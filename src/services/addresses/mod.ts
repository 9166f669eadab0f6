/** Addresses service: tells callers which VMs to use. */
import {
  ADDRESS_ANSWER_LIMIT,
  ADDRESS_TEAM_RATE_PER_VM,
} from "../../constants.ts";
import { VmPhase } from "../../model/mod.ts";
import type { Team, VmName } from "../../model/mod.ts";
import type { FreshnessSource } from "../freshness/mod.ts";
import { computeWeightedScore, listRanked } from "../hashing/mod.ts";
import type { Membership } from "../membership/mod.ts";
import type { Presence } from "../presence/mod.ts";
import type { QuotaShards } from "../seats/mod.ts";
import { listTeamShards } from "../shares/team_limits.ts";

/** What the service decides by. */
export interface AddressesParts {
  readonly freshness: FreshnessSource;
  readonly membership: Membership;
  readonly presence: Presence;
  readonly seats: QuotaShards;
  /** Time that a caller may keep an answer, in milliseconds. */
  readonly ttlMs: number;
}

/** One VM that a caller may use. */
export interface CallerAddress {
  readonly vm: VmName;
  /** `host:port` on which callers connect. */
  readonly address: string;
  readonly failureDomain: string;
}

/** Answer to a caller that asks which VMs to use. */
export interface AddressAnswer {
  /** Time that the answer may be kept, in milliseconds. */
  readonly ttlMs: number;
  /** The VM to use first comes first; the others are for when it fails. */
  readonly addresses: readonly CallerAddress[];
}

/** Tells callers which VMs to use. */
export interface AddressSelector {
  /** Time that a caller may keep an answer, in milliseconds. */
  readonly ttlMs: number;
  /** Selects VMs for a caller of a team, or for one without a team. */
  selectAddresses(team: Team | undefined, caller: string): AddressAnswer;
}

interface Candidate extends CallerAddress {
  readonly isOverloaded: boolean;
  readonly seats: readonly { readonly index: number }[];
}

/** Weight of one seat of the team against being any VM at all. */
const SEAT_WEIGHT = 8;

/** Chooses addresses for callers. */
export class Addresses implements AddressSelector {
  readonly #parts: AddressesParts;

  /** Creates the service. */
  constructor(parts: AddressesParts) {
    this.#parts = parts;
  }

  /** Time that a caller may keep an answer, in milliseconds. */
  get ttlMs(): number {
    return this.#parts.ttlMs;
  }

  /**
   * Selects VMs for a caller of a team, or for one without a team.
   *
   * `caller` tells apart the callers of one team, so that a large team spreads
   * over its VMs; the same caller gets the same order while no VM changes.
   */
  selectAddresses(team: Team | undefined, caller: string): AddressAnswer {
    const candidates = this.#listCandidates();
    const calm = candidates.filter((vm) => !vm.isOverloaded);
    const usable = calm.length > 0 ? calm : candidates;
    const home = new Set(team === undefined ? [] : listTeamShards(team));
    const ofTeam = listRanked(usable, (vm) => {
      const held = vm.seats.filter((seat) => home.has(seat.index)).length;
      const weight = 1 + SEAT_WEIGHT * held;
      return computeWeightedScore(`${team?.id ?? ""} ${vm.vm}`, weight);
    }).slice(0, countAddresses(team));
    const ordered = listRanked(
      ofTeam,
      (vm) => computeWeightedScore(`${caller} ${vm.vm}`, 1),
    );
    const addresses = listSpread(ordered)
      .slice(0, ADDRESS_ANSWER_LIMIT)
      .map(({ vm, address, failureDomain }) => ({
        vm,
        address,
        failureDomain,
      }));
    return { ttlMs: this.#parts.ttlMs, addresses };
  }

  /** Lists the VMs that serve; those that leave or are cut off do not. */
  #listCandidates(): Candidate[] {
    const { membership } = this.#parts;
    const candidates = membership.listReachable()
      .filter((peer) => peer.phase === VmPhase.Serving && peer.isFresh)
      .map((peer): Candidate => ({
        vm: peer.vm,
        address: peer.hello?.callerAddress ?? "",
        failureDomain: peer.hello?.failureDomain ?? "",
        isOverloaded: peer.isOverloaded,
        seats: peer.shards,
      }));
    const own = this.#createOwn();
    return own === undefined ? candidates : [own, ...candidates];
  }

  #createOwn(): Candidate | undefined {
    const { freshness, membership, presence, seats } = this.#parts;
    if (presence.phase !== VmPhase.Serving || !freshness.isFresh()) {
      return undefined;
    }
    return {
      vm: membership.self.vm,
      address: membership.self.getCallerAddress(),
      failureDomain: membership.self.failureDomain,
      isOverloaded: presence.isOverloaded(),
      seats: seats.listOwned(),
    };
  }
}

/** Small teams use few VMs, so that their tokens need to move little. */
function countAddresses(team: Team | undefined): number {
  const rate = team?.ratePerSecond ?? Infinity;
  return Math.max(2, Math.ceil(rate / ADDRESS_TEAM_RATE_PER_VM));
}

/** Keeps the order, but puts VMs of a failure domain already listed last. */
function listSpread(ordered: readonly Candidate[]): Candidate[] {
  const domains = new Set<string>();
  const first: Candidate[] = [];
  const rest: Candidate[] = [];
  for (const vm of ordered) {
    (domains.has(vm.failureDomain) ? rest : first).push(vm);
    domains.add(vm.failureDomain);
  }
  return [...first, ...rest];
}
