/** Assembles the view of a service from selection and exchange. */
import type { ServiceId } from "../../model/mod.ts";
import type { Selection } from "../selection/mod.ts";
import type { BacklogExchange } from "./backlog_exchange.ts";
import { ViewKind } from "./capacity_view.ts";
import type { CapacityView } from "./capacity_view.ts";

/** Inputs of {@linkcode createCapacityView}. */
export interface ViewInputs {
  readonly selection: Selection;
  readonly backlog: BacklogExchange;
  readonly service: ServiceId;
  /** Expected work of a request of any route, in slot-milliseconds. */
  readonly workMs: number;
  /** Requests that the policy has started at this VM and that run. */
  readonly ownStarted: number;
}

/** Creates the current view of a service. */
export function createCapacityView(
  { selection, backlog, service, workMs, ownStarted }: ViewInputs,
): CapacityView {
  const { othersInFlight, ...load } = selection.getServiceLoad(service);
  const own = {
    slots: load.slots,
    processingMs: workMs,
    // Some requests have started and not yet reached a server.
    ownInFlight: Math.max(load.ownInFlight, ownStarted),
    shedRatio: load.shedRatio,
    ageMs: backlog.getAgeMs(),
  };
  if (othersInFlight === undefined) {
    const reportedQueueMs = selection.getQueueMs(service);
    return { kind: ViewKind.Local, ...own, reportedQueueMs };
  }
  return {
    kind: ViewKind.Fleet,
    ...own,
    othersInFlight,
    othersWaitingMs: backlog.getOthersWaitingMs(service),
  };
}
