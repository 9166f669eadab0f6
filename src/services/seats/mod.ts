/** Quota shards service: claims, transfers and releases this VM's shards. */
import { SEAT_CHECK_MS } from "../../constants.ts";
import type { SeatIndex } from "../../model/mod.ts";
import type { Clock } from "../clock/mod.ts";
import type { Configuration } from "../configuration/mod.ts";
import type { LogClient } from "../log_client/mod.ts";
import type { Logger } from "../logging/mod.ts";
import type { Membership } from "../membership/mod.ts";
import type { HeldSeat } from "../membership/peer_message.ts";
import type { Random } from "../random/mod.ts";
import { SeatClaims } from "./claims.ts";
import { HeldSeats } from "./held_seats.ts";
import type { SeatShare } from "./seat_share.ts";
import { SeatTransfers } from "./transfers.ts";

/** Dependencies of {@linkcode Seats}. */
export interface SeatsParts {
  readonly clock: Clock;
  readonly random: Random;
  readonly configuration: Configuration;
  readonly membership: Membership;
  readonly log: LogClient;
  readonly logger: Logger;
}

/** State of this VM's quota shards, for dumps. */
export interface SeatsReport {
  readonly held: readonly HeldSeat[];
  /** Shards that this VM has claimed but may not use yet. */
  readonly takeovers: readonly SeatIndex[];
  /** Number of transfers to peers in progress. */
  readonly transfers: number;
  /** Number of claimed shards without an owner known to this VM. */
  readonly orphaned: number;
}

/**
 * Manages the quota shards that this VM owns.
 *
 * A cell has a fixed number of quota shards. Each one is a share of the rate
 * and burst of the cell's teams, plus one vote. A shard has at most one owner:
 * claims are ordered by the log, transfers go directly from owner to owner, and
 * a claim of a shard that may still be in use waits until the previous owner's
 * freshness confirmations have expired.
 */
export class Seats {
  readonly #parts: SeatsParts;
  readonly #held: HeldSeats;
  readonly #claims: SeatClaims;
  readonly #transfers: SeatTransfers;

  /** Creates the service without any shard. */
  constructor(parts: SeatsParts) {
    this.#parts = parts;
    this.#held = new HeldSeats(parts);
    this.#claims = new SeatClaims(parts, this.#held);
    this.#transfers = new SeatTransfers(parts, this.#held);
  }

  /** Lists the shards that this VM owns. */
  listHeld(): SeatShare[] {
    return this.#held.list();
  }

  /** Finds a shard that this VM owns. */
  findHeld(index: SeatIndex): SeatShare | undefined {
    return this.#held.find(index);
  }

  /** Gets the state of this VM's shards. */
  getReport(): SeatsReport {
    return {
      held: this.listHeld().map(({ index, epoch }) => ({ index, epoch })),
      takeovers: this.#claims.listTakeovers(),
      transfers: this.#transfers.size,
      orphaned: this.#claims.countOrphaned(),
    };
  }

  /** Claims, transfers and takes over shards until `signal` aborts. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      this.#transfers.sendAgain();
      if (!this.#held.isLeaving) {
        this.#claims.checkMaturity();
        this.#transfers.moveSurplus();
        await this.#claims.claimVacant();
      }
      await this.#parts.clock.sleep(SEAT_CHECK_MS, signal);
    }
  }

  /**
   * Transfers all shards to peers before a planned stop, for at most `limitMs`.
   *
   * This VM keeps using the shards that no peer accepts.
   */
  async moveAll(limitMs: number): Promise<void> {
    this.#held.isLeaving = true;
    this.#claims.cancelAll();
    await this.#transfers.moveAll(limitMs);
  }

  /** Stops using the remaining shards and releases them in the log. */
  async releaseRest(): Promise<void> {
    for (const { index, epoch } of this.listHeld()) {
      this.#held.remove(index);
      if (!await this.#claims.appendRelease(index, epoch)) return;
    }
  }
}
