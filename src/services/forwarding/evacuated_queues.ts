/** Ends waits for servers of failure domains that have been evacuated. */
import type { Configuration } from "../configuration/mod.ts";
import type { Dispatch } from "../dispatch/mod.ts";
import type { EvacuationView } from "../evacuation/mod.ts";
import type { Selection } from "../selection/mod.ts";

/** Dependencies of {@linkcode startEvacuatedQueues}. */
export interface EvacuatedQueuesDependencies {
  readonly configuration: Configuration;
  readonly dispatch: Dispatch;
  readonly evacuation: EvacuationView;
  readonly selection: Selection;
}

/**
 * Opens the queues of evacuated servers, and of services that have no other
 * servers, on each change. Each waiting request then checks its server, finds
 * that it may not be used, and continues with another one or is refused.
 */
export function startEvacuatedQueues(deps: EvacuatedQueuesDependencies): void {
  deps.evacuation.addListener(() => {
    openServers(deps);
    openServices(deps);
  });
}

/** The next request of each server limits its concurrency again. */
function openServers(
  { configuration, dispatch, evacuation }: EvacuatedQueuesDependencies,
): void {
  const evacuated = [...configuration.state.servers.values()]
    .filter(({ failureDomain }) => evacuation.isEvacuated(failureDomain))
    .map(({ id }) => id);
  for (const id of evacuated) {
    dispatch.openServer(id);
  }
}

/** The next request of each service limits its concurrency again. */
function openServices(
  { configuration, dispatch, selection }: EvacuatedQueuesDependencies,
): void {
  for (const service of configuration.state.services.keys()) {
    if (!selection.hasOnlyEvacuated(service)) continue;
    dispatch.setServiceConcurrency(service, Infinity);
  }
}
