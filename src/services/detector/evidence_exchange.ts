/** How the detector tells other VMs what it saw, and hears of theirs. */
import type { VmName } from "../../model/mod.ts";
import type { Membership } from "../membership/mod.ts";
import { PeerMessageKind } from "../membership/peer_message.ts";
import type { ServerEvidence } from "../membership/peer_message.ts";

/** Takes what another VM saw. */
export type EvidenceHandler = (
  servers: readonly ServerEvidence[],
  vm: VmName,
) => void;

/** Passes evidence among VMs. */
export interface EvidenceExchange {
  /** This VM. */
  readonly vm: VmName;
  /** Lists the other VMs that can be reached. */
  listVms(): readonly VmName[];
  /** Counts the VMs, this one included. */
  countVms(): number;
  /** Sends evidence to all of them. */
  sendToAll(servers: readonly ServerEvidence[]): void;
  /** Sets who takes the evidence of other VMs. */
  setHandler(handler: EvidenceHandler): void;
}

/** Creates an exchange over the mesh of a cell. */
export function createMeshExchange(membership: Membership): EvidenceExchange {
  return {
    vm: membership.self.vm,
    listVms: () => membership.listReached().map((peer) => peer.vm),
    countVms: () => membership.listReached().length + 1,
    sendToAll: (servers) => {
      for (const peer of membership.listReached()) {
        membership.send(peer, { kind: PeerMessageKind.Evidence, servers });
      }
    },
    setHandler: (handler) =>
      membership.setHandler(
        PeerMessageKind.Evidence,
        (message, peer) => handler(message.servers, peer.vm),
      ),
  };
}
