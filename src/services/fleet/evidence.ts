/** Exchange of evidence about backend servers between the VMs of a fleet. */
import type { EvidenceExchange } from "../detector/evidence_exchange.ts";
import { FleetMessageKind } from "./mod.ts";
import type { Fleet } from "./mod.ts";

/** Creates an evidence exchange over the hubs. */
export function createFleetEvidence(fleet: Fleet): EvidenceExchange {
  return {
    vm: fleet.self.name,
    listVms: () =>
      fleet.listVms().map((vm) => vm.name)
        .filter((name) => name !== fleet.self.name),
    countVms: () => fleet.countVms(),
    sendToAll: (servers) =>
      fleet.sendToAll({
        kind: FleetMessageKind.Evidence,
        vm: fleet.self.name,
        servers,
      }),
    setHandler: (handler) =>
      fleet.setHandler(
        FleetMessageKind.Evidence,
        ({ servers, vm }) => handler(servers, vm),
      ),
  };
}
