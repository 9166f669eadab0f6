/** Exchange of requests in flight between the VMs of a fleet. */
import type { LoadByServer, LoadExchange } from "../selection/load_exchange.ts";
import type { Fleet } from "./mod.ts";

/** Creates a load exchange over the hubs. */
export function createFleetLoads(fleet: Fleet): LoadExchange {
  let countLocal: () => LoadByServer = () => new Map();
  let others: LoadByServer | undefined;
  fleet.setLoadSource({
    countInFlight: () => countLocal(),
    recordOthers: (load) => {
      others = load;
    },
  });
  return {
    countOthers: (server) => others && (others.get(server) ?? 0),
    setSource: (source) => {
      countLocal = source;
    },
  };
}
