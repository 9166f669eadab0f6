/** What other VMs have in flight at backend servers. */
import type { ServerId } from "../../model/mod.ts";

/** Requests in flight by server; servers without any are left out. */
export type LoadByServer = ReadonlyMap<ServerId, number>;

/** Tells the requests that all other VMs have in flight. */
export interface LoadExchange {
  /** Counts them at one server; undefined while nobody tells them. */
  countOthers(server: ServerId): number | undefined;
  /** Sets who counts this VM's own. */
  setSource(countOwn: () => LoadByServer): void;
}

/** An exchange of VMs that tell each other nothing. */
export const NO_LOAD_EXCHANGE: LoadExchange = {
  countOthers: () => undefined,
  setSource: () => {},
};
