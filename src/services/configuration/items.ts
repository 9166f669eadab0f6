/** Lists a configuration as the items of a snapshot. */
import { SnapshotItemKind, SnapshotScopeKind } from "../../model/mod.ts";
import type { SnapshotItem } from "../../model/mod.ts";
import type { ConfigurationState } from "./state.ts";

/** Yields all objects of the state. */
export function* listItems(
  state: ConfigurationState,
): Generator<SnapshotItem> {
  yield* listScopeItems(state, SnapshotScopeKind.Fleet);
  yield* listScopeItems(state, SnapshotScopeKind.Cell);
}

/** Yields the objects of one scope, each one after the objects it refers to. */
export function* listScopeItems(
  state: ConfigurationState,
  scope: SnapshotScopeKind,
): Generator<SnapshotItem> {
  switch (scope) {
    case SnapshotScopeKind.Fleet:
      yield* listFleetItems(state);
      return;
    case SnapshotScopeKind.Cell:
      yield* listCellItems(state);
  }
}

function* listFleetItems(state: ConfigurationState): Generator<SnapshotItem> {
  for (const service of state.services.values()) {
    yield { kind: SnapshotItemKind.Service, service };
  }
  for (const server of state.servers.values()) {
    yield { kind: SnapshotItemKind.Server, server };
  }
  for (const route of state.routes.values()) {
    yield { kind: SnapshotItemKind.Route, route };
  }
  for (const preset of state.presets.values()) {
    yield { kind: SnapshotItemKind.Preset, preset };
  }
  const { name, revision } = state.presetInForce;
  yield { kind: SnapshotItemKind.PresetInForce, preset: name, revision };
  for (const [domain, evacuatedAt] of state.evacuations) {
    yield {
      kind: SnapshotItemKind.Evacuation,
      domain,
      revision: evacuatedAt,
    };
  }
}

function* listCellItems(state: ConfigurationState): Generator<SnapshotItem> {
  for (const team of state.teams.values()) {
    yield { kind: SnapshotItemKind.Team, team };
  }
  for (const key of state.keys.values()) {
    yield { kind: SnapshotItemKind.Key, key };
  }
  for (const shard of state.shards.values()) {
    yield { kind: SnapshotItemKind.QuotaShard, seat: shard };
  }
}
