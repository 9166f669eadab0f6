/** Relays evacuations from a hub to its followers. */
import type { Clock } from "../clock/mod.ts";
import { FleetMessageKind, LinkKind } from "../fleet/mod.ts";
import type { Fleet, FleetMessage, Link } from "../fleet/mod.ts";
import type { EvacuatedDomains } from "./evacuated_domains.ts";

/** Dependencies of {@linkcode startEvacuationRelay}. */
export interface EvacuationRelayDependencies {
  readonly clock: Clock;
  readonly fleet: Fleet;
  readonly domains: EvacuatedDomains;
}

/**
 * Sends followers the evacuated domains, on each change and when they link, and
 * applies those of the hub. Must be started before the relay of configurations
 * and servers, so that a new follower knows the evacuations first.
 */
export function startEvacuationRelay(
  { clock, fleet, domains }: EvacuationRelayDependencies,
): void {
  const createMessage = (): FleetMessage => ({
    kind: FleetMessageKind.Evacuations,
    upTo: domains.upTo,
    domains: domains.list(),
  });
  domains.addListener(() => fleet.sendToFollowers(createMessage()));
  fleet.addReceiverListener((link) => {
    if (domains.upTo >= 0) link.send(createMessage());
  });
  fleet.setHandler(FleetMessageKind.Evacuations, (message, link) => {
    switch (link.kind) {
      case LinkKind.Uplink:
        domains.replaceAll(message.domains, message.upTo, clock.now());
        return sendRetained(domains, link);
      case LinkKind.Follower:
        return domains.addRetained(message.domains, clock.now());
      case LinkKind.StateSource:
        return domains.addRetained(message.domains, clock.now());
      case LinkKind.ToHub:
      case LinkKind.FromHub:
      case LinkKind.Visitor:
      case LinkKind.StateReceiver:
        return;
    }
  });
}

/**
 * Sends a hub the domains that it lacks. It has started after the store was
 * restored from a copy, which does not contain them either.
 */
function sendRetained(domains: EvacuatedDomains, link: Link): void {
  const retained = domains.listRetained();
  if (retained.length === 0) return;
  link.send({
    kind: FleetMessageKind.Evacuations,
    upTo: domains.upTo,
    domains: retained,
  });
}
