/** The quota shards that this VM owns, and the log's state of all shards. */
import { SEATS_PER_CELL } from "../../constants.ts";
import type { Seat, SeatEpoch, SeatIndex } from "../../model/mod.ts";
import type { Clock } from "../clock/mod.ts";
import { formatSeatKey } from "../configuration/mod.ts";
import type { Configuration } from "../configuration/mod.ts";
import type { Membership } from "../membership/mod.ts";
import { SeatShare } from "./seat_share.ts";

/** Dependencies of {@linkcode HeldSeats}. */
export interface HeldSeatsParts {
  readonly clock: Clock;
  readonly configuration: Configuration;
  readonly membership: Membership;
}

/** The quota shards that this VM owns, by index. */
export class HeldSeats {
  /** Whether this VM is leaving the cell and must not acquire more shards. */
  isLeaving = false;
  readonly #parts: HeldSeatsParts;
  readonly #shares = new Map<SeatIndex, SeatShare>();

  /** Creates a collection without any shard. */
  constructor(parts: HeldSeatsParts) {
    this.#parts = parts;
  }

  /** Number of shards that this VM owns. */
  get size(): number {
    return this.#shares.size;
  }

  /** Lists the shards that this VM owns. */
  list(): SeatShare[] {
    return [...this.#shares.values()];
  }

  /** Finds a shard that this VM owns. */
  find(index: SeatIndex): SeatShare | undefined {
    return this.#shares.get(index);
  }

  /** Adds a shard; returns false if its epoch is no longer the newest. */
  hold(share: SeatShare): boolean {
    if (this.findSeat(share.index)?.epoch !== share.epoch) return false;
    this.#shares.set(share.index, share);
    return true;
  }

  /** Adds a shard that this VM has claimed; its buckets start empty. */
  holdClaimed(index: SeatIndex, epoch: SeatEpoch): void {
    const { clock, configuration } = this.#parts;
    const fill = {
      emptyAt: clock.now(),
      trustedOffset: configuration.offset,
    };
    this.hold(new SeatShare(index, epoch, fill));
  }

  /** Stops using a shard. */
  remove(index: SeatIndex): void {
    this.#shares.delete(index);
  }

  /** Stops using the shards for which the log has a newer epoch. */
  removeEnded(): void {
    for (const share of this.list()) {
      const epoch = this.findSeat(share.index)?.epoch ?? 0;
      if (epoch > share.epoch) this.remove(share.index);
    }
  }

  /** Finds the state in the log of a shard of this cell. */
  findSeat(index: SeatIndex): Seat | undefined {
    const { configuration, membership } = this.#parts;
    const key = formatSeatKey(membership.self.cell, index);
    return configuration.state.seats.get(key);
  }

  /** Yields all shards of this cell; undefined for those never claimed. */
  *listAll(): Generator<[SeatIndex, Seat | undefined]> {
    for (let index = 0; index < SEATS_PER_CELL; index += 1) {
      yield [index, this.findSeat(index)];
    }
  }
}
