/** Requests in flight at backend servers, as VMs and domains report them. */
import type { ServerId } from "../../model/mod.ts";
import type { LoadByServer } from "../selection/load_exchange.ts";
import type { InFlight } from "./message.ts";

/**
 * Keeps what each sender has in flight.
 *
 * A sender is one link, not one VM: changes count from what was sent on the same
 * link, and the end of an old link must not take away what a new one has told.
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

  /** Takes what a sender has in flight. */
  replace(sender: Sender, load: LoadByServer): void {
    this.#senders.set(sender, new Map(load));
  }

  /** Forgets a sender that can't be heard any more. */
  remove(sender: Sender): void {
    this.#senders.delete(sender);
  }

  /** Sums what all senders have in flight, but one if it is given. */
  sumOthers(sender?: Sender): Map<ServerId, number> {
    const sums = new Map<ServerId, number>();
    for (const [name, load] of this.#senders) {
      if (name !== sender) addLoad(sums, load);
    }
    return sums;
  }
}

/** Adds one load to sums. */
export function addLoad(
  sums: Map<ServerId, number>,
  load: LoadByServer,
): void {
  for (const [server, inFlight] of load) {
    sums.set(server, (sums.get(server) ?? 0) + inFlight);
  }
}
