/**
 * Evacuation service: failure domains to whose servers no request may be sent.
 *
 * The platform's operator writes them to the store, which evacuated_domains.ts
 * follows; with the log as backing they are part of the configuration.
 */
import type { Configuration } from "../configuration/mod.ts";

export { EvacuatedDomains } from "./evacuated_domains.ts";
export type { EvacuatedDomain } from "./evacuated_domains.ts";

/** Called after the set of evacuated domains has changed. */
export type EvacuationListener = () => void;

/** The evacuated failure domains as known to this VM. */
export interface EvacuationView {
  /** Whether the servers of a failure domain must get no requests. */
  isEvacuated(domain: string): boolean;
  /** Lists the evacuated domains. */
  listDomains(): string[];
  /** Adds a function to call after each change. */
  addListener(listener: EvacuationListener): void;
}

/** Creates the view of the domains that the log's configuration evacuates. */
export function createLogEvacuations(
  configuration: Configuration,
): EvacuationView {
  const listDomains = (): string[] => [
    ...configuration.state.evacuations.keys(),
  ];
  return {
    isEvacuated: (domain) => configuration.state.evacuations.has(domain),
    listDomains,
    addListener: (listener) => {
      let known = listDomains().join();
      configuration.addListener(() => {
        const current = listDomains().join();
        if (current === known) return;
        known = current;
        listener();
      });
    },
  };
}
