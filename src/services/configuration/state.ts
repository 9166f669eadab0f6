/** The configuration at one offset, with indexes for lookups. */
import { PresetName, SnapshotItemKind } from "../../model/mod.ts";
import type {
  CallerLimits,
  CellId,
  Key,
  KeyDigest,
  Offset,
  Preset,
  QuotaShard,
  Revision,
  Route,
  RouteId,
  Server,
  ServerId,
  Service,
  ServiceId,
  ShardIndex,
  SnapshotItem,
  Team,
  TeamId,
} from "../../model/mod.ts";
import { RouteTable } from "./route_table.ts";

const DEFAULT_PRESETS: readonly Preset[] = [
  {
    name: PresetName.Ordinary,
    rateFactor: 1,
    deadlineFactor: 1,
    retries: true,
    revision: 0,
  },
  {
    name: PresetName.Peak,
    rateFactor: 1,
    deadlineFactor: 1,
    retries: true,
    revision: 0,
  },
  {
    name: PresetName.Maintenance,
    rateFactor: 0.5,
    deadlineFactor: 2,
    retries: false,
    revision: 0,
  },
];

/** Formats the key of a quota shard in {@linkcode ConfigurationState.shards}. */
export function formatShardKey(cell: CellId, index: ShardIndex): string {
  return `${cell} ${index}`;
}

/** The preset in force. */
export interface PresetInForce {
  readonly name: PresetName;
  /** Offset of the record that switched to the preset. */
  readonly revision: Revision;
}

/**
 * The configuration at one offset.
 *
 * The objects in the maps are immutable: a change replaces the whole object, so
 * a request that has looked one up sees the same version from start to end.
 */
export class ConfigurationState {
  offset: Offset = 0;
  /** Limits on callers; undefined for the defaults of the caller front. */
  limits: CallerLimits | undefined;
  presetInForce: PresetInForce = { name: PresetName.Ordinary, revision: 0 };
  /** Revisions of the evacuated failure domains, by domain. */
  readonly evacuations = new Map<string, Revision>();
  readonly teams = new Map<TeamId, Team>();
  readonly keys = new Map<KeyDigest, Key>();
  readonly services = new Map<ServiceId, Service>();
  readonly servers = new Map<ServerId, Server>();
  readonly routes = new Map<RouteId, Route>();
  readonly presets = new Map<PresetName, Preset>(
    DEFAULT_PRESETS.map((preset) => [preset.name, preset]),
  );
  /** All quota shards ever claimed, by {@linkcode formatShardKey}. */
  readonly shards = new Map<string, QuotaShard>();
  /** Offsets up to which the loaded snapshots include the log, by scope. */
  readonly loadedOffsets = { fleet: 0, cell: 0 };
  readonly routeTable = new RouteTable();
  /** Cache of {@linkcode getFloor}; invalidated when a route changes. */
  readonly #floors = new Map<ServiceId, number>();
  readonly #serversByService = new Map<ServiceId, Map<ServerId, Server>>();

  /** Sets a backend server and updates the index by service. */
  setServer(server: Server): void {
    this.removeServer(server.id);
    this.servers.set(server.id, server);
    const siblings = this.#serversByService.get(server.service) ?? new Map();
    siblings.set(server.id, server);
    this.#serversByService.set(server.service, siblings);
  }

  /** Removes a backend server; does nothing if it doesn't exist. */
  removeServer(id: ServerId): void {
    const server = this.servers.get(id);
    if (server === undefined) return;
    this.servers.delete(id);
    this.#serversByService.get(server.service)?.delete(id);
  }

  /** Sets a route and updates the index by path. */
  setRoute(route: Route): void {
    this.removeRoute(route.id);
    this.#floors.delete(route.service);
    this.routes.set(route.id, route);
    this.routeTable.set(route);
  }

  /** Removes a route; does nothing if it doesn't exist. */
  removeRoute(id: RouteId): void {
    const route = this.routes.get(id);
    if (route === undefined) return;
    this.routes.delete(id);
    this.#floors.delete(route.service);
    this.routeTable.remove(route);
  }

  /** Lists the backend servers of a service in the order they were set. */
  listServers(service: ServiceId): Server[] {
    return [...(this.#serversByService.get(service)?.values() ?? [])];
  }

  /** Returns the highest floor, 0 to 1, among the routes to a service. */
  getFloor(service: ServiceId): number {
    const known = this.#floors.get(service);
    if (known !== undefined) return known;
    let floor = 0;
    for (const route of this.routes.values()) {
      if (route.service === service) floor = Math.max(floor, route.floor);
    }
    this.#floors.set(service, floor);
    return floor;
  }

  /** Returns the preset in force. */
  getPreset(): Preset {
    const preset = this.presets.get(this.presetInForce.name);
    if (preset === undefined) throw new Error("the preset in force is missing");
    return preset;
  }

  /** Loads one object of a snapshot. */
  loadItem(item: SnapshotItem): void {
    switch (item.kind) {
      case SnapshotItemKind.Team:
        this.teams.set(item.team.id, item.team);
        return;
      case SnapshotItemKind.Key:
        this.keys.set(item.key.digest, item.key);
        return;
      case SnapshotItemKind.Service:
        this.services.set(item.service.id, item.service);
        return;
      case SnapshotItemKind.Server:
        this.setServer(item.server);
        return;
      case SnapshotItemKind.Route:
        this.setRoute(item.route);
        return;
      case SnapshotItemKind.Preset:
        this.presets.set(item.preset.name, item.preset);
        return;
      case SnapshotItemKind.PresetInForce:
        this.presetInForce = { name: item.preset, revision: item.revision };
        return;
      case SnapshotItemKind.Evacuation:
        this.evacuations.set(item.domain, item.revision);
        return;
      case SnapshotItemKind.QuotaShard:
        this.shards.set(
          formatShardKey(item.seat.cell, item.seat.index),
          item.seat,
        );
        return;
      case SnapshotItemKind.AppliedId:
        return;
    }
  }
}
