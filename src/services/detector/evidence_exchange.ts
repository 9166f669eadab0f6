/** Exchange of the detectors' evidence between VMs. */
import type { VmName } from "../../model/mod.ts";
import type { Membership } from "../membership/mod.ts";
import { PeerMessageKind } from "../membership/peer_message.ts";
import type { ServerEvidence } from "../membership/peer_message.ts";

/** Handles evidence that another VM sent. */
export type EvidenceHandler = (
  servers: readonly ServerEvidence[],
  vm: VmName,
) => void;

/** Sends evidence to other VMs and receives theirs. */
export interface EvidenceExchange {
  /** Name of this VM. */
  readonly vm: VmName;
  /** Lists the other VMs that are reachable. */
  listVms(): readonly VmName[];
  /** Counts the reachable VMs, including this one. */
  countVms(): number;
  /** Sends evidence to all reachable VMs. */
  sendToAll(servers: readonly ServerEvidence[]): void;
  /** Sets the handler of evidence from other VMs. */
  setHandler(handler: EvidenceHandler): void;
}

/** Creates an exchange over a cell's mesh of peer connections. */
export function createMeshExchange(membership: Membership): EvidenceExchange {
  return {
    vm: membership.self.vm,
    listVms: () => membership.listReachable().map((peer) => peer.vm),
    countVms: () => membership.listReachable().length + 1,
    sendToAll: (servers) => {
      for (const peer of membership.listReachable()) {
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
