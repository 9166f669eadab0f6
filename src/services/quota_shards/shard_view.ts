/** Which peer owns which quota shard, according to heartbeats and the log. */
import { SHARDS_PER_CELL } from "../../constants.ts";
import { VmPhase } from "../../model/mod.ts";
import type { ShardIndex } from "../../model/mod.ts";
import { formatShardKey } from "../configuration/mod.ts";
import type { Configuration } from "../configuration/mod.ts";
import type { Membership, PeerState } from "../membership/mod.ts";

/** Dependencies of {@linkcode listVotes}. */
export interface ShardViewDependencies {
  readonly configuration: Configuration;
  readonly membership: Membership;
}

/** A peer's report that it owns a quota shard. */
export interface ShardVote {
  readonly index: ShardIndex;
  readonly peer: PeerState;
}

/**
 * Yields one vote for each quota shard that a peer reports as its own.
 *
 * A report counts only if this VM has applied the log at least as far as the
 * peer, so that it knows every claim that the peer knows, and only if no newer
 * epoch of the shard is known here.
 */
export function* listVotes(deps: ShardViewDependencies): Generator<ShardVote> {
  const { configuration, membership } = deps;
  const { cell } = membership.self;
  for (const peer of membership.listPeers()) {
    if (peer.offset > configuration.offset) continue;
    for (const { index, epoch } of peer.shards) {
      const shard = configuration.state.shards.get(formatShardKey(cell, index));
      if (shard?.epoch === epoch) yield { index, peer };
    }
  }
}

/** Whether `count` is more than half of a cell's quota shards. */
export function isMajority(count: number): boolean {
  return count > SHARDS_PER_CELL / 2;
}

/** Lists the reachable serving peers, those with the fewest shards first. */
export function listTransferTargets(membership: Membership): PeerState[] {
  return membership.listReachable()
    .filter((peer) => peer.phase === VmPhase.Serving)
    .toSorted((left, right) =>
      left.shards.length - right.shards.length || (left.vm < right.vm ? -1 : 1)
    );
}
