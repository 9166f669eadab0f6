/** Direct transfers of quota shards between VMs, without the log. */
import { SEAT_RESEND_MS } from "../../constants.ts";
import { PeerMessageKind } from "../membership/peer_message.ts";
import type { SeatAnswer, SeatOffer } from "../membership/peer_message.ts";
import type { PeerState } from "../membership/mod.ts";
import type { HeldSeats } from "./held_seats.ts";
import type { SeatsParts } from "./mod.ts";
import { SeatShare } from "./seat_share.ts";
import { listTakers } from "./seat_view.ts";

/** A quota shard that was offered to a peer and not yet confirmed. */
interface Transfer {
  readonly share: SeatShare;
  readonly peer: PeerState;
  readonly offer: SeatOffer;
  readonly startedAt: number;
  sentAt: number;
}

/** Time after which a transfer without a response is abandoned. */
const TRANSFER_LIMIT_MS = 10_000;
/** Maximum number of stored responses; a repeated offer gets the same one. */
const ANSWERS_KEPT = 4_096;
/** Interval between checks for responses while this VM is leaving. */
const LEAVE_CHECK_MS = 30;

/** Transfers quota shards to peers and accepts the ones that peers offer. */
export class SeatTransfers {
  readonly #parts: SeatsParts;
  readonly #held: HeldSeats;
  readonly #transfers = new Map<number, Transfer>();
  readonly #answers = new Map<string, SeatAnswer>();
  #count = 0;

  /** Creates transfers from and into `held`. */
  constructor(parts: SeatsParts, held: HeldSeats) {
    this.#parts = parts;
    this.#held = held;
    parts.membership.setHandler(
      PeerMessageKind.SeatOffer,
      (offer, peer) => this.#answerOffer(offer, peer),
    );
    parts.membership.setHandler(
      PeerMessageKind.SeatAnswer,
      (answer) => this.#recordAnswer(answer),
    );
  }

  /** Number of transfers to peers in progress. */
  get size(): number {
    return this.#transfers.size;
  }

  /**
   * Transfers all shards to peers, for at most `limitMs`.
   *
   * This VM keeps using the shards that no peer accepts.
   */
  async moveAll(limitMs: number): Promise<void> {
    const { clock } = this.#parts;
    const endAt = clock.now() + limitMs;
    while (clock.now() < endAt) {
      this.#offerAll();
      this.sendAgain();
      if (this.#transfers.size === 0) return;
      await clock.sleep(LEAVE_CHECK_MS);
    }
  }

  /**
   * Transfers one shard if a peer owns at least two fewer.
   *
   * Each VM with such a surplus sends with probability 1 / (number of them), so
   * that on average one of them does.
   */
  moveSurplus(): void {
    const { membership, random } = this.#parts;
    const takers = listTakers(membership);
    const [poorest] = takers;
    if (poorest === undefined || this.#transfers.size > 0) return;
    const least = poorest.seats.length + 2;
    if (this.#held.size < least) return;
    const givers = 1 +
      takers.filter((peer) => peer.seats.length >= least).length;
    if (random() * givers >= 1) return;
    const [share] = this.#held.list();
    if (share !== undefined) this.#offerSeat(share, poorest);
  }

  /** Resends offers without a response; the receiver accepts each one once. */
  sendAgain(): void {
    const now = this.#parts.clock.now();
    for (const [id, transfer] of this.#transfers) {
      if (now - transfer.startedAt > TRANSFER_LIMIT_MS) {
        this.#transfers.delete(id);
        continue;
      }
      if (now - transfer.sentAt < SEAT_RESEND_MS) continue;
      transfer.sentAt = now;
      this.#parts.membership.send(transfer.peer, transfer.offer);
    }
  }

  #offerAll(): void {
    const takers = listTakers(this.#parts.membership);
    let next = 0;
    for (const share of this.#held.list()) {
      const taker = takers[next % takers.length];
      next += 1;
      if (taker !== undefined) this.#offerSeat(share, taker);
    }
  }

  /** Stops using a shard, then offers it to one peer and to no other. */
  #offerSeat(share: SeatShare, peer: PeerState): void {
    const { clock, configuration } = this.#parts;
    const now = clock.now();
    this.#held.remove(share.index);
    this.#count += 1;
    const offer: SeatOffer = {
      kind: PeerMessageKind.SeatOffer,
      transfer: this.#count,
      receiver: peer.incarnation,
      seat: { index: share.index, epoch: share.epoch },
      offset: configuration.offset,
      ageMs: now - share.fill.emptyAt,
      trustedOffset: share.fill.trustedOffset,
      buckets: share.listBuckets(),
    };
    const transfer = { share, peer, offer, startedAt: now, sentAt: -Infinity };
    this.#transfers.set(offer.transfer, transfer);
    this.sendAgain();
  }

  /** Completes a transfer; this VM owns a rejected shard again. */
  #recordAnswer(answer: SeatAnswer): void {
    const transfer = this.#transfers.get(answer.transfer);
    if (transfer === undefined) return;
    this.#transfers.delete(answer.transfer);
    if (!answer.isTaken) this.#held.hold(transfer.share);
  }

  #answerOffer(offer: SeatOffer, peer: PeerState): void {
    const key = `${peer.vm} ${peer.incarnation} ${offer.transfer}`;
    const known = this.#answers.get(key);
    const answer = known ?? {
      kind: PeerMessageKind.SeatAnswer as const,
      transfer: offer.transfer,
      isTaken: this.#takeOffer(offer),
    };
    if (known === undefined) this.#keepAnswer(key, answer);
    this.#parts.membership.send(peer, answer);
  }

  /** Accepts a shard if this VM has read as much of the log as its sender. */
  #takeOffer(offer: SeatOffer): boolean {
    const { clock, configuration, membership } = this.#parts;
    if (this.#held.isLeaving) return false;
    if (offer.receiver !== membership.self.incarnation) return false;
    if (configuration.offset < offer.offset) return false;
    const now = clock.now();
    const share = new SeatShare(offer.seat.index, offer.seat.epoch, {
      emptyAt: now - offer.ageMs,
      trustedOffset: offer.trustedOffset,
    });
    for (const bucket of offer.buckets) share.setTokens(bucket, now);
    return this.#held.hold(share);
  }

  #keepAnswer(key: string, answer: SeatAnswer): void {
    this.#answers.set(key, answer);
    if (this.#answers.size <= ANSWERS_KEPT) return;
    const oldest = this.#answers.keys().next();
    if (!oldest.done) this.#answers.delete(oldest.value);
  }
}
