/** Claims vacant quota shards by appending claim records to the log. */
import {
  CLOCK_DRIFT_RATIO,
  FRESHNESS_BOUND_MS,
  HEARTBEAT_INTERVAL_MS,
  RECORD_VERSION,
  SHARD_ORPHAN_MS,
} from "../../constants.ts";
import { RecordKind, ShardPhase } from "../../model/mod.ts";
import type {
  Offset,
  QuotaShard,
  ShardEpoch,
  ShardIndex,
} from "../../model/mod.ts";
import { computeHash, listRanked } from "../hashing/mod.ts";
import { AppendKind } from "../log_client/mod.ts";
import type { Membership, PeerState } from "../membership/mod.ts";
import type { OwnedShards } from "./owned_shards.ts";
import type { QuotaShardsDependencies } from "./mod.ts";
import { isMajority, listTransferTargets, listVotes } from "./shard_view.ts";

/** This VM's claim of a quota shard that its previous owner may still use. */
interface Takeover {
  readonly epoch: ShardEpoch;
  /** Offset of the claim record. */
  readonly offset: Offset;
  /**
   * Monotonic time in milliseconds from which this VM may use the shard;
   * undefined until a majority has read the claim.
   */
  usableAt: number | undefined;
}

/** Maximum number of claims appended per check. */
const MAX_CLAIMS_PER_CHECK = 16;
/** Delay of the first claim after startup, so that peers can report first. */
const FIRST_CLAIM_DELAY_MS = 1_000;
/** Minimum time between two claims of the same shard by this VM. */
const CLAIM_INTERVAL_MS = 5_000;
/** Additional delay per rank among the VMs that may claim a shard. */
const RANK_DELAY_MS = 1_000;
/**
 * Delay before a takeover may be used, once a majority has read its claim. The
 * previous owner's freshness confirmations have expired by then; the margin is
 * 100 ms.
 */
const TAKEOVER_DELAY_MS = FRESHNESS_BOUND_MS * (1 + CLOCK_DRIFT_RATIO) + 100;

/** Claims vacant quota shards; delays the use of takeovers until it is safe. */
export class ShardClaims {
  readonly #deps: QuotaShardsDependencies;
  readonly #owned: OwnedShards;
  readonly #takeovers = new Map<ShardIndex, Takeover>();
  /** Newest epoch of each shard whose claim by this VM was processed. */
  readonly #processedEpochs = new Map<ShardIndex, ShardEpoch>();
  /** Time of this VM's last claim of each shard. */
  readonly #claimedAt = new Map<ShardIndex, number>();
  /** Newest epoch of each shard that was read from the log. */
  readonly #logEpochs = new Map<ShardIndex, ShardEpoch>();
  /**
   * Time at which an owner of each shard was last seen. Lies in the future
   * during the grace period after a takeover.
   */
  readonly #ownerSeenAt = new Map<ShardIndex, number>();
  readonly #createdAt: number;

  /** Creates a claimer that adds the shards it wins to `owned`. */
  constructor(deps: QuotaShardsDependencies, owned: OwnedShards) {
    this.#deps = deps;
    this.#owned = owned;
    this.#createdAt = deps.clock.now();
    deps.configuration.addListener(() => this.#applyLog());
    deps.membership.addListener((peer) => this.#recordOwnerSeen(peer));
  }

  /** Lists the shards that this VM has claimed but may not use yet. */
  listTakeovers(): ShardIndex[] {
    return [...this.#takeovers.keys()];
  }

  /** Whether this VM and its reachable peers own a majority of the shards. */
  isMajorityReachable(): boolean {
    const reachable = new Set(this.#deps.membership.listReachable());
    return isMajority(this.#countVotes((peer) => reachable.has(peer)));
  }

  /** Cancels the takeovers that may not be used yet. */
  cancelTakeovers(): void {
    this.#takeovers.clear();
  }

  /** Counts the claimed shards without an owner known to this VM. */
  countOrphaned(): number {
    return [...this.#owned.listLogShards()]
      .filter(([index, shard]) => this.#isOrphaned(index, shard)).length;
  }

  /**
   * Starts using the shards whose claim a majority has read, once the previous
   * owner's freshness confirmations have expired.
   */
  checkTakeovers(): void {
    const now = this.#deps.clock.now();
    for (const [index, takeover] of this.#takeovers) {
      if (this.#owned.findLogShard(index)?.epoch !== takeover.epoch) {
        this.#takeovers.delete(index);
        continue;
      }
      if (takeover.usableAt === undefined) {
        if (!this.#isReadByMajority(takeover.offset)) continue;
        takeover.usableAt = now + TAKEOVER_DELAY_MS;
      }
      if (now < takeover.usableAt) continue;
      this.#takeovers.delete(index);
      this.#owned.addClaimed(index, takeover.epoch);
      this.#deps.logger.info(`took over quota shard ${index}`);
    }
  }

  /** Claims the vacant shards for which it is this VM's turn. */
  async claimVacant(): Promise<void> {
    const now = this.#deps.clock.now();
    if (now - this.#createdAt < FIRST_CLAIM_DELAY_MS) return;
    const hasMajority = this.isMajorityReachable();
    const vacant: ShardIndex[] = [];
    for (const [index, shard] of this.#owned.listLogShards()) {
      if (this.#owned.find(index)) this.#ownerSeenAt.set(index, now);
      if (vacant.length >= MAX_CLAIMS_PER_CHECK) continue;
      if (this.#isClaimable(index, shard, hasMajority)) vacant.push(index);
    }
    await Promise.all(vacant.map((index) => this.#appendClaim(index)));
  }

  /**
   * Appends the release of a shard that this VM has stopped using.
   *
   * Resolves to false unless the log acknowledged the release.
   */
  async appendRelease(index: ShardIndex, epoch: ShardEpoch): Promise<boolean> {
    const { cell } = this.#deps.membership.self;
    const result = await this.#deps.log.append({
      version: RECORD_VERSION,
      id: this.#createRecordId(`release-${index}-${epoch}`),
      base: this.#owned.findLogShard(index)?.revision ?? 0,
      change: { kind: RecordKind.ShardRelease, cell, seat: index, epoch },
    });
    return result.kind === AppendKind.Acknowledged;
  }

  /**
   * Whether a shard is vacant and it is this VM's turn to claim it.
   *
   * A claim invalidates the previous epoch of the shard. A VM without two-way
   * connections to a majority therefore never claims a shard that is marked as
   * claimed: a partitioned VM must not claim the shards of the others.
   */
  #isClaimable(
    index: ShardIndex,
    shard: QuotaShard | undefined,
    hasMajority: boolean,
  ): boolean {
    const now = this.#deps.clock.now();
    const claimedAt = this.#claimedAt.get(index) ?? -Infinity;
    if (now - claimedAt < CLAIM_INTERVAL_MS) return false;
    const rankDelayMs = this.#getRank(index) * RANK_DELAY_MS;
    if (shard === undefined || shard.phase === ShardPhase.Free) {
      return now - this.#createdAt > FIRST_CLAIM_DELAY_MS + rankDelayMs;
    }
    if (!hasMajority || !this.#isOrphaned(index, shard)) return false;
    return this.#getOwnerUnseenMs(index) > SHARD_ORPHAN_MS + rankDelayMs;
  }

  async #appendClaim(index: ShardIndex): Promise<void> {
    const { vm, incarnation, cell } = this.#deps.membership.self;
    const shard = this.#owned.findLogShard(index);
    const epoch = (shard?.epoch ?? 0) + 1;
    const base = shard?.revision ?? 0;
    this.#claimedAt.set(index, this.#deps.clock.now());
    await this.#deps.log.append({
      version: RECORD_VERSION,
      id: this.#createRecordId(`claim-${index}-${epoch}-${base}`),
      base,
      change: {
        kind: RecordKind.ShardClaim,
        claim: { cell, seat: index, epoch, vm, incarnation },
      },
    });
  }

  /**
   * Creates a record id that is the same each time for one step, so that a
   * repeated append is recognized as a duplicate.
   */
  #createRecordId(step: string): string {
    const { vm, incarnation } = this.#deps.membership.self;
    return `${vm}-${incarnation.toString(36)}-${step}`;
  }

  /** Drops shards that another VM has claimed; processes this VM's claims. */
  #applyLog(): void {
    this.#owned.removeSuperseded();
    for (const [index, shard] of this.#owned.listLogShards()) {
      if (shard === undefined) continue;
      this.#recordEpoch(shard);
      if (this.#owned.isLeaving || !this.#isNewLocalClaim(shard)) continue;
      this.#processedEpochs.set(index, shard.epoch);
      if (!shard.isTakeover) {
        this.#owned.addClaimed(index, shard.epoch);
        continue;
      }
      this.#takeovers.set(index, {
        epoch: shard.epoch,
        offset: shard.revision,
        usableAt: undefined,
      });
    }
  }

  /** Grants a new takeover a grace period before its shard counts as vacant. */
  #recordEpoch(shard: QuotaShard): void {
    if (this.#logEpochs.get(shard.index) === shard.epoch) return;
    this.#logEpochs.set(shard.index, shard.epoch);
    const graceMs = shard.isTakeover
      ? TAKEOVER_DELAY_MS + HEARTBEAT_INTERVAL_MS
      : 0;
    this.#ownerSeenAt.set(shard.index, this.#deps.clock.now() + graceMs);
  }

  #isNewLocalClaim(shard: QuotaShard): boolean {
    const { vm, incarnation } = this.#deps.membership.self;
    if (shard.vm !== vm || shard.incarnation !== incarnation) return false;
    if (shard.phase !== ShardPhase.Claimed) return false;
    return (this.#processedEpochs.get(shard.index) ?? 0) < shard.epoch;
  }

  #isReadByMajority(offset: Offset): boolean {
    return isMajority(this.#countVotes((peer) => peer.offset >= offset));
  }

  /** Counts the shards of this VM and of the peers that pass `isCounted`. */
  #countVotes(isCounted: (peer: PeerState) => boolean): number {
    const indexes = new Set(this.#owned.list().map((shard) => shard.index));
    for (const { index, peer } of listVotes(this.#deps)) {
      if (isCounted(peer)) indexes.add(index);
    }
    return indexes.size;
  }

  /** Whether a claimed shard has had no known owner for the orphan timeout. */
  #isOrphaned(index: ShardIndex, shard: QuotaShard | undefined): boolean {
    if (shard?.phase !== ShardPhase.Claimed) return false;
    if (this.#owned.find(index) || this.#takeovers.has(index)) return false;
    return this.#getOwnerUnseenMs(index) > SHARD_ORPHAN_MS;
  }

  /** Returns the time since an owner was seen, or since startup if none was. */
  #getOwnerUnseenMs(index: ShardIndex): number {
    const seenAt = this.#ownerSeenAt.get(index) ?? this.#createdAt;
    return this.#deps.clock.now() - seenAt;
  }

  /** Returns this VM's rank, from 0, among the VMs that may claim the shard. */
  #getRank(index: ShardIndex): number {
    const { membership, clock } = this.#deps;
    const isNew = clock.now() - this.#createdAt < SHARD_ORPHAN_MS;
    const others = isNew
      ? membership.listPeers()
      : listTransferTargets(membership);
    return computeRank(membership, others, index);
  }

  #recordOwnerSeen(peer: PeerState): void {
    const now = this.#deps.clock.now();
    for (const { index, epoch } of peer.shards) {
      if (this.#owned.findLogShard(index)?.epoch === epoch) {
        const seenAt = this.#ownerSeenAt.get(index) ?? -Infinity;
        this.#ownerSeenAt.set(index, Math.max(seenAt, now));
      }
    }
  }
}

/** Computes this VM's rank among itself and `peers` by rendezvous hashing. */
function computeRank(
  membership: Membership,
  peers: readonly PeerState[],
  index: ShardIndex,
): number {
  const { vm } = membership.self;
  const names = [vm, ...peers.map((peer) => peer.vm)];
  return listRanked(names, (name) => computeHash(`${name} seat ${index}`))
    .indexOf(vm);
}
