/** Connections to backend servers, managed by Node's agents. */
import http from "node:http";
import type { Duplex } from "node:stream";
import {
  MAX_CONNECTIONS_PER_SERVER,
  UPSTREAM_IDLE_MS,
} from "../../constants.ts";
import type { ConnectionCounts } from "../../services/forwarding/upstream.ts";

/** Agents that manage the connections to one backend server. */
export interface ServerAgents {
  /** Reuses connections; for requests that may be retried. */
  readonly persistent: http.Agent;
  /** Opens a connection per request; for requests that must not be retried. */
  readonly singleUse: http.Agent;
}

/** Creates the agents of one backend server. */
export function createServerAgents(): ServerAgents {
  return {
    persistent: new GuardedAgent({
      keepAlive: true,
      maxSockets: MAX_CONNECTIONS_PER_SERVER,
      maxFreeSockets: MAX_CONNECTIONS_PER_SERVER,
      timeout: UPSTREAM_IDLE_MS,
    }),
    singleUse: new http.Agent({
      keepAlive: false,
      maxSockets: MAX_CONNECTIONS_PER_SERVER,
    }),
  };
}

/** Counts the connections of all agents. */
export function countConnections(
  servers: readonly ServerAgents[],
): ConnectionCounts {
  const agents = servers.flatMap(({ persistent, singleUse }) => [
    persistent,
    singleUse,
  ]);
  return {
    inUse: sumLengths(agents.map(({ sockets }) => sockets)),
    waiting: sumLengths(agents.map(({ requests }) => requests)),
    idle: sumLengths(agents.map(({ freeSockets }) => freeSockets)),
  };
}

/** Sums the lengths of the lists that agents keep for each address. */
function sumLengths(
  maps: readonly NodeJS.ReadOnlyDict<readonly unknown[]>[],
): number {
  return maps
    .flatMap((lists) => Object.values(lists))
    .reduce((sum, list) => sum + (list?.length ?? 0), 0);
}

/**
 * Agent that closes an idle connection on which data arrives. Such data is the
 * body of a response that can't have one, or an unrequested response; it would
 * be taken for the response to the next request.
 */
class GuardedAgent extends http.Agent {
  readonly #guards = new WeakMap<Duplex, () => void>();

  override keepSocketAlive(socket: Duplex): boolean {
    // The type is declared as void, but the agent closes the socket if the
    // value is false.
    const isKept = super.keepSocketAlive(socket) as unknown as boolean;
    if (!isKept) return false;
    const close = (): void => void socket.destroy();
    this.#guards.set(socket, close);
    socket.on("data", close);
    return true;
  }

  override reuseSocket(socket: Duplex, request: http.ClientRequest): void {
    const close = this.#guards.get(socket);
    if (close !== undefined) socket.removeListener("data", close);
    super.reuseSocket(socket, request);
  }
}
