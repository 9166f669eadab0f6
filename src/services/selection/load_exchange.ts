/** Exchange of in-flight request counts between VMs. */
import type { ServerId } from "../../model/mod.ts";

/** In-flight requests by server; servers without any are left out. */
export type LoadByServer = ReadonlyMap<ServerId, number>;

/** Provides the in-flight requests of all other VMs. */
export interface LoadExchange {
  /** Counts them at one server; undefined while no VM reports them. */
  countOthers(server: ServerId): number | undefined;
  /** Sets the function that counts the local in-flight requests. */
  setSource(countLocal: () => LoadByServer): void;
}

/** Exchange for VMs that don't report in-flight requests to each other. */
export const NO_LOAD_EXCHANGE: LoadExchange = {
  countOthers: () => undefined,
  setSource: () => {},
};
