/** Claims vacant quota shards by appending claim records to the log. */
import {
  CLOCK_DRIFT_RATIO,
  FRESHNESS_BOUND_MS,
  HEARTBEAT_INTERVAL_MS,
  RECORD_VERSION,
  SEAT_ORPHAN_MS,
} from "../../constants.ts";
import { RecordKind, SeatPhase, VmPhase } from "../../model/mod.ts";
import type { Offset, Seat, SeatEpoch, SeatIndex } from "../../model/mod.ts";
import { computeHash, listRanked } from "../hashing/mod.ts";
import { AppendKind } from "../log_client/mod.ts";
import type { Membership, PeerState } from "../membership/mod.ts";
import type { HeldSeats } from "./held_seats.ts";
import type { SeatsParts } from "./mod.ts";
import { isMajority, listTakers, listVotes } from "./seat_view.ts";

/** This VM's claim of a quota shard that its previous owner may still use. */
interface Takeover {
  readonly epoch: SeatEpoch;
  /** Offset of the claim record. */
  readonly offset: Offset;
  /**
   * Monotonic time in milliseconds from which this VM may use the shard;
   * undefined until a majority has read the claim.
   */
  matureAt: number | undefined;
}

/** Maximum number of claims appended per check. */
const CLAIMS_PER_CHECK = 16;
/** Delay of the first claim after startup, so that peers can report first. */
const FIRST_CLAIM_MS = 1_000;
/** Minimum time between two claims of the same shard by this VM. */
const CLAIM_PAUSE_MS = 5_000;
/** Additional delay per rank among the VMs that may claim a shard. */
const RANK_MS = 1_000;
/**
 * Delay before a takeover may be used, once a majority has read its claim. The
 * previous owner's freshness confirmations have expired by then.
 */
const MATURITY_MS = FRESHNESS_BOUND_MS * (1 + CLOCK_DRIFT_RATIO) + 100;

/** Claims vacant quota shards; delays the use of takeovers until it is safe. */
export class SeatClaims {
  readonly #parts: SeatsParts;
  readonly #held: HeldSeats;
  readonly #takeovers = new Map<SeatIndex, Takeover>();
  /** Newest epoch of each shard whose claim by this VM was processed. */
  readonly #settled = new Map<SeatIndex, SeatEpoch>();
  /** Time of this VM's last claim of each shard. */
  readonly #claimedAt = new Map<SeatIndex, number>();
  /** Newest epoch of each shard that was read from the log. */
  readonly #epochs = new Map<SeatIndex, SeatEpoch>();
  /**
   * Time at which an owner of each shard was last seen. Lies in the future
   * during the grace period after a takeover.
   */
  readonly #seenAt = new Map<SeatIndex, number>();
  readonly #createdAt: number;

  /** Creates a claimer that adds the shards it wins to `held`. */
  constructor(parts: SeatsParts, held: HeldSeats) {
    this.#parts = parts;
    this.#held = held;
    this.#createdAt = parts.clock.now();
    parts.configuration.addListener(() => this.#applyLog());
    parts.membership.addListener((peer) => this.#recordSeen(peer));
  }

  /** Lists the shards that this VM has claimed but may not use yet. */
  listTakeovers(): SeatIndex[] {
    return [...this.#takeovers.keys()];
  }

  /** Cancels the takeovers that may not be used yet. */
  cancelAll(): void {
    this.#takeovers.clear();
  }

  /** Counts the claimed shards without an owner known to this VM. */
  countOrphaned(): number {
    return [...this.#held.listAll()]
      .filter(([index, seat]) => this.#isOrphaned(index, seat)).length;
  }

  /**
   * Starts using the shards whose claim a majority has read, once the previous
   * owner's freshness confirmations have expired.
   */
  checkMaturity(): void {
    const now = this.#parts.clock.now();
    for (const [index, takeover] of this.#takeovers) {
      if (this.#held.findSeat(index)?.epoch !== takeover.epoch) {
        this.#takeovers.delete(index);
        continue;
      }
      if (takeover.matureAt === undefined) {
        if (!this.#isReadByMajority(takeover.offset)) continue;
        takeover.matureAt = now + MATURITY_MS;
      }
      if (now < takeover.matureAt) continue;
      this.#takeovers.delete(index);
      this.#held.holdClaimed(index, takeover.epoch);
      this.#parts.logger.info(`took over quota shard ${index}`);
    }
  }

  /** Claims the vacant shards for which it is this VM's turn. */
  async claimVacant(): Promise<void> {
    const now = this.#parts.clock.now();
    if (now - this.#createdAt < FIRST_CLAIM_MS) return;
    const isHearing = this.#isHearingMajority();
    const vacant: SeatIndex[] = [];
    for (const [index, seat] of this.#held.listAll()) {
      if (this.#held.find(index)) this.#seenAt.set(index, now);
      if (vacant.length >= CLAIMS_PER_CHECK) continue;
      if (this.#isToClaim(index, seat, isHearing)) vacant.push(index);
    }
    await Promise.all(vacant.map((index) => this.#appendClaim(index)));
  }

  /**
   * Appends the release of a shard that this VM has stopped using.
   *
   * Resolves to false unless the log acknowledged the release.
   */
  async appendRelease(index: SeatIndex, epoch: SeatEpoch): Promise<boolean> {
    const { cell } = this.#parts.membership.self;
    const result = await this.#parts.log.append({
      version: RECORD_VERSION,
      id: this.#createRecordId(`release-${index}-${epoch}`),
      base: this.#held.findSeat(index)?.revision ?? 0,
      change: { kind: RecordKind.SeatRelease, cell, seat: index, epoch },
    });
    return result.kind === AppendKind.Acknowledged;
  }

  /**
   * Whether a shard is vacant and it is this VM's turn to claim it.
   *
   * A claim invalidates the previous epoch of the shard. A VM without two-way
   * connections to a majority therefore never claims a shard that is marked as
   * claimed: a partitioned VM must not take shards from the others.
   */
  #isToClaim(
    index: SeatIndex,
    seat: Seat | undefined,
    isHearing: boolean,
  ): boolean {
    const now = this.#parts.clock.now();
    const claimedAt = this.#claimedAt.get(index) ?? -Infinity;
    if (now - claimedAt < CLAIM_PAUSE_MS) return false;
    const rankMs = this.#getRank(index) * RANK_MS;
    if (seat === undefined || seat.phase === SeatPhase.Free) {
      return now - this.#createdAt > FIRST_CLAIM_MS + rankMs;
    }
    if (!isHearing || !this.#isOrphaned(index, seat)) return false;
    return this.#getSilenceMs(index) > SEAT_ORPHAN_MS + rankMs;
  }

  async #appendClaim(index: SeatIndex): Promise<void> {
    const { vm, incarnation, cell } = this.#parts.membership.self;
    const seat = this.#held.findSeat(index);
    const epoch = (seat?.epoch ?? 0) + 1;
    const base = seat?.revision ?? 0;
    this.#claimedAt.set(index, this.#parts.clock.now());
    await this.#parts.log.append({
      version: RECORD_VERSION,
      id: this.#createRecordId(`claim-${index}-${epoch}-${base}`),
      base,
      change: {
        kind: RecordKind.SeatClaim,
        claim: { cell, seat: index, epoch, vm, incarnation },
      },
    });
  }

  /**
   * Creates a record id that is the same each time for one step, so that a
   * repeated append is recognized as a duplicate.
   */
  #createRecordId(step: string): string {
    const { vm, incarnation } = this.#parts.membership.self;
    return `${vm}-${incarnation.toString(36)}-${step}`;
  }

  /** Drops shards that another VM has claimed; processes this VM's claims. */
  #applyLog(): void {
    this.#held.removeEnded();
    for (const [index, seat] of this.#held.listAll()) {
      if (seat === undefined) continue;
      this.#recordEpoch(seat);
      if (this.#held.isLeaving || !this.#isNewOwnClaim(seat)) continue;
      this.#settled.set(index, seat.epoch);
      if (!seat.isTakeover) {
        this.#held.holdClaimed(index, seat.epoch);
        continue;
      }
      this.#takeovers.set(index, {
        epoch: seat.epoch,
        offset: seat.revision,
        matureAt: undefined,
      });
    }
  }

  /** Grants a new takeover a grace period before its shard counts as vacant. */
  #recordEpoch(seat: Seat): void {
    if (this.#epochs.get(seat.index) === seat.epoch) return;
    this.#epochs.set(seat.index, seat.epoch);
    const graceMs = seat.isTakeover ? MATURITY_MS + HEARTBEAT_INTERVAL_MS : 0;
    this.#seenAt.set(seat.index, this.#parts.clock.now() + graceMs);
  }

  #isNewOwnClaim(seat: Seat): boolean {
    const { vm, incarnation } = this.#parts.membership.self;
    if (seat.vm !== vm || seat.incarnation !== incarnation) return false;
    if (seat.phase !== SeatPhase.Claimed) return false;
    return (this.#settled.get(seat.index) ?? 0) < seat.epoch;
  }

  #isReadByMajority(offset: Offset): boolean {
    return isMajority(this.#countVotes((peer) => peer.offset >= offset));
  }

  #isHearingMajority(): boolean {
    const reached = new Set(this.#parts.membership.listReached());
    return isMajority(this.#countVotes((peer) => reached.has(peer)));
  }

  /** Counts the shards of this VM and of the peers that pass `isCounted`. */
  #countVotes(isCounted: (peer: PeerState) => boolean): number {
    const seats = new Set(this.#held.list().map((share) => share.index));
    for (const { index, peer } of listVotes(this.#parts)) {
      if (isCounted(peer)) seats.add(index);
    }
    return seats.size;
  }

  /** Whether a claimed shard has had no known owner for the orphan timeout. */
  #isOrphaned(index: SeatIndex, seat: Seat | undefined): boolean {
    if (seat?.phase !== SeatPhase.Claimed) return false;
    if (this.#held.find(index) || this.#takeovers.has(index)) return false;
    return this.#getSilenceMs(index) > SEAT_ORPHAN_MS;
  }

  /** Gets the time since an owner was seen, or since startup if none was. */
  #getSilenceMs(index: SeatIndex): number {
    const seenAt = this.#seenAt.get(index) ?? this.#createdAt;
    return this.#parts.clock.now() - seenAt;
  }

  /** Gets this VM's rank, from 0, among the VMs that may claim the shard. */
  #getRank(index: SeatIndex): number {
    const { membership, clock } = this.#parts;
    const isNew = clock.now() - this.#createdAt < SEAT_ORPHAN_MS;
    const others = isNew ? membership.listPeers() : listTakers(membership);
    return getPlace(membership, others, index);
  }

  #recordSeen(peer: PeerState): void {
    if (peer.phase === VmPhase.Starting) return;
    const now = this.#parts.clock.now();
    for (const { index, epoch } of peer.seats) {
      if (this.#held.findSeat(index)?.epoch === epoch) {
        const seenAt = this.#seenAt.get(index) ?? -Infinity;
        this.#seenAt.set(index, Math.max(seenAt, now));
      }
    }
  }
}

/** Gets this VM's rank among itself and `peers` by rendezvous hashing. */
function getPlace(
  membership: Membership,
  peers: readonly PeerState[],
  index: SeatIndex,
): number {
  const { vm } = membership.self;
  const names = [vm, ...peers.map((peer) => peer.vm)];
  return listRanked(names, (name) => computeHash(`${name} seat ${index}`))
    .indexOf(vm);
}
