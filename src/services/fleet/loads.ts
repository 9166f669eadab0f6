/**
 * Exchange of requests in flight, and of work that waits, between the VMs of a
 * fleet.
 *
 * Both are numbers by name that are summed over VMs, so that waiting work is
 * reported in the same messages under names that no server can have. VMs that
 * don't know of waiting work ignore these names.
 */
import type { ServiceId } from "../../model/mod.ts";
import type { Clock } from "../clock/mod.ts";
import { ALL_LEVELS } from "../scarcity/capacity_view.ts";
import type {
  BacklogByService,
  BacklogExchange,
} from "../scarcity/backlog_exchange.ts";
import type { LoadByServer, LoadExchange } from "../selection/load_exchange.ts";
import type { Fleet } from "./mod.ts";

/** Both exchanges, since they share messages. */
export type FleetLoads = LoadExchange & BacklogExchange;

/** Creates a load exchange over the hubs. */
export function createFleetLoads(fleet: Fleet, clock: Clock): FleetLoads {
  let countLocal: () => LoadByServer = () => new Map();
  let sumLocalBacklog: () => BacklogByService = () => new Map();
  let others: LoadByServer | undefined;
  let receivedAt = -Infinity;
  fleet.setLoadSource({
    countInFlight: () => mergeBacklog(countLocal(), sumLocalBacklog()),
    recordOthers: (load) => {
      others = load;
      receivedAt = clock.now();
    },
  });
  return {
    countOthers: (server) => others && (others.get(server) ?? 0),
    setSource: (source) => {
      countLocal = source;
    },
    getAgeMs: () => others === undefined ? Infinity : clock.now() - receivedAt,
    getOthersWaitingMs: (service) =>
      ALL_LEVELS.map((level) =>
        others?.get(formatBacklogName(service, level)) ?? 0
      ),
    setBacklogSource: (source) => {
      sumLocalBacklog = source;
    },
  };
}

/** Adds waiting work to the requests in flight. */
function mergeBacklog(
  load: LoadByServer,
  backlog: BacklogByService,
): LoadByServer {
  if (backlog.size === 0) return load;
  const merged = new Map(load);
  for (const [service, levels] of backlog) {
    levels.forEach((workMs, level) => {
      const rounded = Math.round(workMs);
      if (rounded > 0) merged.set(formatBacklogName(service, level), rounded);
    });
  }
  return merged;
}

/** Formats the name of waiting work; ids of servers contain no spaces. */
function formatBacklogName(service: ServiceId, level: number): string {
  return `waiting ${service} ${level}`;
}
