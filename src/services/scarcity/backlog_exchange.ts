/** Exchange of the work that waits at VMs. */
import type { ServiceId } from "../../model/mod.ts";

/** Waiting work in slot-milliseconds by service and level. */
export type BacklogByService = ReadonlyMap<ServiceId, readonly number[]>;

/** Provides the work that waits at all other VMs. */
export interface BacklogExchange {
  /** Returns the age of the newest report in ms; infinite without one. */
  getAgeMs(): number;
  /** Returns a service's work at the other VMs by level. */
  getOthersWaitingMs(service: ServiceId): readonly number[];
  /** Sets the function that sums the work that waits at this VM. */
  setBacklogSource(sumLocal: () => BacklogByService): void;
}

/** Exchange for VMs that don't report waiting work to each other. */
export const NO_BACKLOG_EXCHANGE: BacklogExchange = {
  getAgeMs: () => Infinity,
  getOthersWaitingMs: () => [],
  setBacklogSource: () => {},
};
