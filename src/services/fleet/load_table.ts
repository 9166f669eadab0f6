/** Requests in flight at backend servers, as reported by VMs and domains. */
import type { ServerId } from "../../model/mod.ts";
import type { LoadByServer } from "../selection/load_exchange.ts";
import type { InFlight } from "./message.ts";

/**
 * Stores the load of each sender, and their sum.
 *
 * A sender is a link, not a VM: changes are relative to earlier messages on the
 * same link, and closing a VM's old link must not remove the load that was
 * reported on its new link.
 */
export class LoadTable<Sender> {
  readonly #senders = new Map<Sender, Map<ServerId, number>>();
  readonly #sums = new Map<ServerId, number>();

  /** Applies the changes that a sender reports. */
  applyChanges(sender: Sender, changes: readonly InFlight[]): void {
    const load = this.#senders.get(sender) ?? new Map<ServerId, number>();
    this.#senders.set(sender, load);
    for (const { server, inFlight } of changes) {
      addTo(this.#sums, server, inFlight - (load.get(server) ?? 0));
      if (inFlight === 0) load.delete(server);
      else load.set(server, inFlight);
    }
  }

  /** Replaces the load of a sender. */
  replace(sender: Sender, load: LoadByServer): void {
    this.remove(sender);
    this.#senders.set(sender, new Map(load));
    addLoad(this.#sums, load);
  }

  /** Removes a sender and its load. */
  remove(sender: Sender): void {
    const load = this.#senders.get(sender);
    if (load === undefined) return;
    this.#senders.delete(sender);
    for (const [server, inFlight] of load) {
      addTo(this.#sums, server, -inFlight);
    }
  }

  /** Sums the loads of all senders except `excluded`. */
  sumOthers(excluded?: Sender): Map<ServerId, number> {
    const sums = new Map(this.#sums);
    const load = excluded === undefined
      ? undefined
      : this.#senders.get(excluded);
    for (const [server, inFlight] of load ?? []) {
      addTo(sums, server, -inFlight);
    }
    return sums;
  }
}

/** Adds a load to `sums`. */
export function addLoad(
  sums: Map<ServerId, number>,
  load: LoadByServer,
): void {
  for (const [server, inFlight] of load) addTo(sums, server, inFlight);
}

function addTo(
  sums: Map<ServerId, number>,
  server: ServerId,
  difference: number,
): void {
  const sum = (sums.get(server) ?? 0) + difference;
  if (sum === 0) sums.delete(server);
  else sums.set(server, sum);
}
