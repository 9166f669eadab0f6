/** Builds the configuration state that a complete document describes. */
import type { ConfigurationDocument, Server } from "../../model/mod.ts";
import { ConfigurationState } from "./state.ts";

/** Creates the state of `document`, with the currently listed `servers`. */
export function createDocumentState(
  document: ConfigurationDocument,
  servers: Iterable<Server>,
): ConfigurationState {
  const state = new ConfigurationState();
  state.offset = document.version;
  state.limits = document.limits;
  for (const team of document.teams) state.teams.set(team.id, team);
  for (const key of document.keys) state.keys.set(key.digest, key);
  for (const service of document.services) {
    state.services.set(service.id, service);
  }
  for (const route of document.routes) state.setRoute(route);
  for (const server of servers) state.setServer(server);
  return state;
}
