/** Direct transfers of quota shards between VMs, without the log. */
import { SHARD_RESEND_MS } from "../../constants.ts";
import { PeerMessageKind } from "../membership/peer_message.ts";
import type {
  ShardOffer,
  ShardOfferResponse,
} from "../membership/peer_message.ts";
import type { PeerState } from "../membership/mod.ts";
import type { OwnedShards } from "./owned_shards.ts";
import type { QuotaShardsDependencies } from "./mod.ts";
import { ShardBuckets } from "./shard_buckets.ts";
import { listTransferTargets } from "./shard_view.ts";

/** A quota shard that was offered to a peer and not yet confirmed. */
interface Transfer {
  readonly shard: ShardBuckets;
  readonly peer: PeerState;
  readonly offer: ShardOffer;
  readonly startedAt: number;
  sentAt: number;
}

/** Time after which a transfer without a response is abandoned. */
const TRANSFER_TIMEOUT_MS = 10_000;
/** Maximum number of stored responses; a repeated offer gets the same one. */
const MAX_STORED_RESPONSES = 4_096;
/** Interval between checks for responses while this VM is leaving. */
const LEAVING_CHECK_MS = 30;

/** Transfers quota shards to peers and accepts the ones that peers offer. */
export class ShardTransfers {
  readonly #deps: QuotaShardsDependencies;
  readonly #owned: OwnedShards;
  readonly #transfers = new Map<number, Transfer>();
  readonly #responses = new Map<string, ShardOfferResponse>();
  #lastTransferId = 0;

  /** Creates transfers from and into `owned`. */
  constructor(deps: QuotaShardsDependencies, owned: OwnedShards) {
    this.#deps = deps;
    this.#owned = owned;
    deps.membership.setHandler(
      PeerMessageKind.ShardOffer,
      (offer, peer) => this.#handleOffer(offer, peer),
    );
    deps.membership.setHandler(
      PeerMessageKind.ShardOfferResponse,
      (response) => this.#handleResponse(response),
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
  async transferAll(limitMs: number): Promise<void> {
    const { clock } = this.#deps;
    const endAt = clock.now() + limitMs;
    while (clock.now() < endAt) {
      this.#sendOffers();
      this.sendDueOffers();
      if (this.#transfers.size === 0) return;
      await clock.sleep(LEAVING_CHECK_MS);
    }
  }

  /**
   * Transfers one shard if a peer owns at least two fewer.
   *
   * Each VM with such a surplus sends with probability 1 / (number of them), so
   * that on average one of them does.
   */
  transferSurplus(): void {
    const { membership, random } = this.#deps;
    const targets = listTransferTargets(membership);
    const [target] = targets;
    if (target === undefined || this.#transfers.size > 0) return;
    const surplusSize = target.shards.length + 2;
    if (this.#owned.size < surplusSize) return;
    const senderCount = 1 +
      targets.filter((peer) => peer.shards.length >= surplusSize).length;
    if (random() * senderCount >= 1) return;
    const [shard] = this.#owned.list();
    if (shard !== undefined) this.#sendOffer(shard, target);
  }

  /**
   * Sends offers that are due for the first time or again, and abandons those
   * that have timed out. The receiver accepts each one only once.
   */
  sendDueOffers(): void {
    const now = this.#deps.clock.now();
    for (const [id, transfer] of this.#transfers) {
      if (now - transfer.startedAt > TRANSFER_TIMEOUT_MS) {
        this.#transfers.delete(id);
        continue;
      }
      if (now - transfer.sentAt < SHARD_RESEND_MS) continue;
      transfer.sentAt = now;
      this.#deps.membership.send(transfer.peer, transfer.offer);
    }
  }

  /** Offers this VM's shards to the peers in turn. */
  #sendOffers(): void {
    const targets = listTransferTargets(this.#deps.membership);
    let next = 0;
    for (const shard of this.#owned.list()) {
      const target = targets[next % targets.length];
      next += 1;
      if (target !== undefined) this.#sendOffer(shard, target);
    }
  }

  /** Stops using a shard, then offers it to one peer and to no other. */
  #sendOffer(shard: ShardBuckets, peer: PeerState): void {
    const { clock, configuration } = this.#deps;
    const now = clock.now();
    this.#owned.remove(shard.index);
    this.#lastTransferId += 1;
    const offer: ShardOffer = {
      kind: PeerMessageKind.ShardOffer,
      transfer: this.#lastTransferId,
      receiver: peer.incarnation,
      seat: { index: shard.index, epoch: shard.epoch },
      offset: configuration.offset,
      ageMs: now - shard.refillStart.emptyAt,
      trustedOffset: shard.refillStart.trustedOffset,
      buckets: shard.listBuckets(),
    };
    const transfer = { shard, peer, offer, startedAt: now, sentAt: -Infinity };
    this.#transfers.set(offer.transfer, transfer);
    this.sendDueOffers();
  }

  /** Completes a transfer; this VM owns a rejected shard again. */
  #handleResponse(response: ShardOfferResponse): void {
    const transfer = this.#transfers.get(response.transfer);
    if (transfer === undefined) return;
    this.#transfers.delete(response.transfer);
    if (!response.isTaken) this.#owned.add(transfer.shard);
  }

  #handleOffer(offer: ShardOffer, peer: PeerState): void {
    const key = `${peer.vm} ${peer.incarnation} ${offer.transfer}`;
    const recorded = this.#responses.get(key);
    const response = recorded ?? {
      kind: PeerMessageKind.ShardOfferResponse as const,
      transfer: offer.transfer,
      isTaken: this.#applyOffer(offer),
    };
    if (recorded === undefined) this.#recordResponse(key, response);
    this.#deps.membership.send(peer, response);
  }

  /** Accepts a shard if this VM has read as much of the log as its sender. */
  #applyOffer(offer: ShardOffer): boolean {
    const { clock, configuration, membership } = this.#deps;
    if (this.#owned.isLeaving) return false;
    if (offer.receiver !== membership.self.incarnation) return false;
    if (configuration.offset < offer.offset) return false;
    const now = clock.now();
    const shard = new ShardBuckets(offer.seat.index, offer.seat.epoch, {
      emptyAt: now - offer.ageMs,
      trustedOffset: offer.trustedOffset,
    });
    for (const bucket of offer.buckets) shard.setTokens(bucket, now);
    return this.#owned.add(shard);
  }

  #recordResponse(key: string, response: ShardOfferResponse): void {
    this.#responses.set(key, response);
    if (this.#responses.size <= MAX_STORED_RESPONSES) return;
    const oldest = this.#responses.keys().next();
    if (!oldest.done) this.#responses.delete(oldest.value);
  }
}
