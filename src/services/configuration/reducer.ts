/** The deterministic reducer: applies one record to the configuration. */
import { RECORD_VERSION } from "../../constants.ts";
import {
  KeyPhase,
  RecordKind,
  ShardPhase,
  SnapshotScopeKind,
  VerdictKind,
} from "../../model/mod.ts";
import type {
  CellId,
  Change,
  ConfigurationRecord,
  Offset,
  Revision,
  ShardClaim,
  ShardIndex,
  Verdict,
} from "../../model/mod.ts";
import { formatShardKey } from "./state.ts";
import type { ConfigurationState } from "./state.ts";

/** The state that the reducer changes and the cell that it is limited to. */
export interface ReducerContext {
  readonly state: ConfigurationState;
  /** The cell whose teams are stored; undefined for all cells. */
  readonly cell: CellId | undefined;
}

/**
 * Applies `record`, read from the log at `offset`, to the state.
 *
 * The verdict depends only on the entries of the log, so it is the same on
 * every VM that stores the changed object.
 */
export function applyRecord(
  context: ReducerContext,
  record: ConfigurationRecord,
  offset: Offset,
): Verdict {
  if (record.version !== RECORD_VERSION) {
    return createSkipped(`record version ${record.version} is unknown`);
  }
  if (!isInScope(context, record.change)) return createSkipped("another cell");
  const fault = findFault(context.state, record.change);
  if (fault !== undefined) return createSkipped(fault);
  const current = getRevision(context.state, record.change);
  if (current !== record.base) {
    return { kind: VerdictKind.Conflict, current };
  }
  applyChange(context.state, record.change, offset);
  return { kind: VerdictKind.Accepted, revision: offset };
}

/** Returns the revision of the object that `change` affects; 0 if absent. */
export function getRevision(
  state: ConfigurationState,
  change: Change,
): Revision {
  switch (change.kind) {
    case RecordKind.TeamSet:
      return state.teams.get(change.team.id)?.revision ?? 0;
    case RecordKind.TeamRemove:
      return state.teams.get(change.team)?.revision ?? 0;
    case RecordKind.KeyIssue:
    case RecordKind.KeyWithdraw:
      return state.keys.get(change.digest)?.revision ?? 0;
    case RecordKind.ServiceSet:
      return state.services.get(change.service.id)?.revision ?? 0;
    case RecordKind.ServerSet:
      return state.servers.get(change.server.id)?.revision ?? 0;
    case RecordKind.ServerRemove:
      return state.servers.get(change.server)?.revision ?? 0;
    case RecordKind.RouteSet:
      return state.routes.get(change.route.id)?.revision ?? 0;
    case RecordKind.RouteRemove:
      return state.routes.get(change.route)?.revision ?? 0;
    case RecordKind.PresetSet:
      return state.presets.get(change.preset.name)?.revision ?? 0;
    case RecordKind.PresetSwitch:
      return state.presetInForce.revision;
    case RecordKind.DomainEvacuate:
    case RecordKind.DomainRestore:
      return state.evacuations.get(change.domain) ?? 0;
    case RecordKind.ShardClaim:
      return getShardRevision(state, change.claim.cell, change.claim.seat);
    case RecordKind.ShardRelease:
      return getShardRevision(state, change.cell, change.seat);
    case RecordKind.SnapshotChunk:
      return 0;
  }
}

/** Returns the scope of the configuration that a change belongs to. */
export function getScope(change: Change): SnapshotScopeKind {
  switch (change.kind) {
    case RecordKind.TeamSet:
    case RecordKind.TeamRemove:
    case RecordKind.KeyIssue:
    case RecordKind.KeyWithdraw:
    case RecordKind.ShardClaim:
    case RecordKind.ShardRelease:
      return SnapshotScopeKind.Cell;
    case RecordKind.ServiceSet:
    case RecordKind.ServerSet:
    case RecordKind.ServerRemove:
    case RecordKind.RouteSet:
    case RecordKind.RouteRemove:
    case RecordKind.PresetSet:
    case RecordKind.PresetSwitch:
    case RecordKind.DomainEvacuate:
    case RecordKind.DomainRestore:
    case RecordKind.SnapshotChunk:
      return SnapshotScopeKind.Fleet;
  }
}

function getShardRevision(
  state: ConfigurationState,
  cell: CellId,
  index: ShardIndex,
): Revision {
  return state.shards.get(formatShardKey(cell, index))?.revision ?? 0;
}

function createSkipped(reason: string): Verdict {
  return { kind: VerdictKind.Skipped, reason };
}

function isInScope(context: ReducerContext, change: Change): boolean {
  const { cell, state } = context;
  if (cell === undefined) return true;
  switch (change.kind) {
    case RecordKind.TeamSet:
      return change.team.cell === cell || state.teams.has(change.team.id);
    case RecordKind.ShardClaim:
      return change.claim.cell === cell;
    case RecordKind.ShardRelease:
      return change.cell === cell;
    case RecordKind.TeamRemove:
    case RecordKind.KeyIssue:
    case RecordKind.KeyWithdraw:
    case RecordKind.ServiceSet:
    case RecordKind.ServerSet:
    case RecordKind.ServerRemove:
    case RecordKind.RouteSet:
    case RecordKind.RouteRemove:
    case RecordKind.PresetSet:
    case RecordKind.PresetSwitch:
    case RecordKind.DomainEvacuate:
    case RecordKind.DomainRestore:
    case RecordKind.SnapshotChunk:
      return true;
  }
}

/** Finds a missing object or an outdated shard epoch that a change names. */
function findFault(
  state: ConfigurationState,
  change: Change,
): string | undefined {
  switch (change.kind) {
    case RecordKind.KeyIssue:
      return state.teams.has(change.team)
        ? undefined
        : `team ${change.team} is unknown`;
    case RecordKind.KeyWithdraw:
      return state.keys.has(change.digest) ? undefined : "key is unknown";
    case RecordKind.TeamRemove:
      return state.teams.has(change.team)
        ? undefined
        : `team ${change.team} is unknown`;
    case RecordKind.ServerSet:
      return state.services.has(change.server.service)
        ? undefined
        : `service ${change.server.service} is unknown`;
    case RecordKind.RouteSet:
      return state.services.has(change.route.service)
        ? undefined
        : `service ${change.route.service} is unknown`;
    case RecordKind.ServerRemove:
      return state.servers.has(change.server)
        ? undefined
        : `server ${change.server} is unknown`;
    case RecordKind.RouteRemove:
      return state.routes.has(change.route)
        ? undefined
        : `route ${change.route} is unknown`;
    case RecordKind.DomainRestore:
      return state.evacuations.has(change.domain)
        ? undefined
        : `failure domain ${change.domain} is not evacuated`;
    case RecordKind.TeamSet:
    case RecordKind.ServiceSet:
    case RecordKind.PresetSet:
    case RecordKind.PresetSwitch:
    case RecordKind.DomainEvacuate:
    case RecordKind.SnapshotChunk:
      return undefined;
    case RecordKind.ShardClaim:
      return findClaimFault(state, change.claim);
    case RecordKind.ShardRelease: {
      const shard = state.shards.get(formatShardKey(change.cell, change.seat));
      return shard?.epoch === change.epoch
        ? undefined
        : "the shard epoch is not the newest";
    }
  }
}

function applyChange(
  state: ConfigurationState,
  change: Change,
  revision: Revision,
): void {
  switch (change.kind) {
    case RecordKind.TeamSet:
      state.teams.set(change.team.id, { ...change.team, revision });
      return;
    case RecordKind.TeamRemove:
      state.teams.delete(change.team);
      removeKeysOfTeam(state, change.team, revision);
      return;
    case RecordKind.KeyIssue:
      state.keys.set(change.digest, {
        digest: change.digest,
        team: change.team,
        phase: KeyPhase.Issued,
        revision,
      });
      return;
    case RecordKind.KeyWithdraw: {
      const key = state.keys.get(change.digest);
      if (key === undefined) return;
      state.keys.set(key.digest, {
        ...key,
        phase: KeyPhase.Withdrawn,
        revision,
      });
      return;
    }
    case RecordKind.ServiceSet:
      state.services.set(change.service.id, { ...change.service, revision });
      return;
    case RecordKind.ServerSet:
      state.setServer({ ...change.server, revision });
      return;
    case RecordKind.ServerRemove:
      state.removeServer(change.server);
      return;
    case RecordKind.RouteSet:
      state.setRoute({ ...change.route, revision });
      return;
    case RecordKind.RouteRemove:
      state.removeRoute(change.route);
      return;
    case RecordKind.PresetSet:
      state.presets.set(change.preset.name, { ...change.preset, revision });
      return;
    case RecordKind.PresetSwitch:
      state.presetInForce = { name: change.preset, revision };
      return;
    case RecordKind.DomainEvacuate:
      state.evacuations.set(change.domain, revision);
      return;
    case RecordKind.DomainRestore:
      state.evacuations.delete(change.domain);
      return;
    case RecordKind.ShardClaim:
      applyClaim(state, change.claim, revision);
      return;
    case RecordKind.ShardRelease:
      releaseShard(state, formatShardKey(change.cell, change.seat), revision);
      return;
    case RecordKind.SnapshotChunk:
      return;
  }
}

/** Withdraws a removed team's keys, so that a new team can't reuse them. */
function removeKeysOfTeam(
  state: ConfigurationState,
  team: string,
  revision: Revision,
): void {
  for (const key of state.keys.values()) {
    if (key.team !== team) continue;
    state.keys.set(key.digest, { ...key, phase: KeyPhase.Withdrawn, revision });
  }
}

function findClaimFault(
  state: ConfigurationState,
  claim: ShardClaim,
): string | undefined {
  const shard = state.shards.get(formatShardKey(claim.cell, claim.seat));
  const expected = (shard?.epoch ?? 0) + 1;
  return claim.epoch === expected
    ? undefined
    : `expected shard epoch ${expected}`;
}

function applyClaim(
  state: ConfigurationState,
  claim: ShardClaim,
  revision: Revision,
): void {
  const key = formatShardKey(claim.cell, claim.seat);
  const previous = state.shards.get(key);
  state.shards.set(key, {
    cell: claim.cell,
    index: claim.seat,
    epoch: claim.epoch,
    phase: ShardPhase.Claimed,
    vm: claim.vm,
    incarnation: claim.incarnation,
    isTakeover: previous?.phase === ShardPhase.Claimed,
    revision,
  });
}

function releaseShard(
  state: ConfigurationState,
  key: string,
  revision: Revision,
): void {
  const shard = state.shards.get(key);
  if (shard === undefined) return;
  state.shards.set(key, { ...shard, phase: ShardPhase.Free, revision });
}
