/** Requests in flight at backend servers, as reported by VMs and domains. */
import type { ServerId } from "../../model/mod.ts";
import type { LoadByServer } from "../selection/load_exchange.ts";
import type { InFlight } from "./message.ts";

/**
 * Stores the load of each sender.
 *
 * A sender is a link, not a VM: changes are relative to earlier messages on the
 * same link, and closing a VM's old link must not remove the load that was
 * reported on its new link.
 */
export class LoadTable<Sender> {
  readonly #senders = new Map<Sender, Map<ServerId, number>>();

  /** Applies the changes that a sender reports. */
  applyChanges(sender: Sender, changes: readonly InFlight[]): void {
    const load = this.#senders.get(sender) ?? new Map<ServerId, number>();
    this.#senders.set(sender, load);
    for (const { server, inFlight } of changes) {
      if (inFlight === 0) load.delete(server);
      else load.set(server, inFlight);
    }
  }

  /** Replaces the load of a sender. */
  replace(sender: Sender, load: LoadByServer): void {
    this.#senders.set(sender, new Map(load));
  }

  /** Removes a sender and its load. */
  remove(sender: Sender): void {
    this.#senders.delete(sender);
  }

  /** Sums the loads of all senders except `excluded`. */
  sumOthers(excluded?: Sender): Map<ServerId, number> {
    const sums = new Map<ServerId, number>();
    for (const [sender, load] of this.#senders) {
      if (sender !== excluded) addLoad(sums, load);
    }
    return sums;
  }
}

/** Adds a load to `sums`. */
export function addLoad(
  sums: Map<ServerId, number>,
  load: LoadByServer,
): void {
  for (const [server, inFlight] of load) {
    sums.set(server, (sums.get(server) ?? 0) + inFlight);
  }
}
