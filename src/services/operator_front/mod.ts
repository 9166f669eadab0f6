/** Operator front service: serves operators' queries about this process. */
import process from "node:process";
import type { Clock } from "../clock/mod.ts";
import type { Configuration } from "../configuration/mod.ts";
import type { CallerFront } from "../caller_front/mod.ts";
import type { Detector } from "../detector/mod.ts";
import type { Dispatch } from "../dispatch/mod.ts";
import type { FreshnessSource } from "../freshness/mod.ts";
import type { LogReader } from "../log_reader/mod.ts";
import type { Membership, PeerState } from "../membership/mod.ts";
import type { PeerTransport } from "../membership/transport.ts";
import type { Metrics } from "../metrics/mod.ts";
import type { Presence } from "../presence/mod.ts";
import type { QuotaShards } from "../quota_shards/mod.ts";
import type { Shares } from "../shares/mod.ts";
import type { Selection } from "../selection/mod.ts";
import type { DaemonSettings } from "../../settings/mod.ts";

const US_PER_MS = 1_000;
const MS_PER_SECOND = 1_000;

/** Queries that an operator may send to a daemon. */
export enum OperatorQuery {
  /** The complete state of the process. */
  Dump = "dump",
  /** The offset in force, its freshness and the state of the known peers. */
  Status = "status",
  /** Counters and latencies as text for scrapers. */
  Metrics = "metrics",
}

/** A query of an operator whose key has been checked. */
export interface OperatorRequest {
  readonly query: OperatorQuery;
  /** Sends the response. */
  send(response: OperatorResponse): void;
}

/** Kinds of {@linkcode OperatorResponse}. */
export enum OperatorResponseKind {
  Value = "value",
  Text = "text",
}

/** Response to an operator: a value, or text for scrapers. */
export type OperatorResponse =
  | { readonly kind: OperatorResponseKind.Value; readonly value: unknown }
  | { readonly kind: OperatorResponseKind.Text; readonly text: string };

/** Accepts requests of operators; rejects those without a known key. */
export interface OperatorServer {
  /** Opens the listener; rejects if the address is in use. */
  open(): Promise<void>;
  /** Port on which it listens. */
  readonly port: number;
  /** Yields requests until the listener is closed. */
  listRequests(): AsyncIterable<OperatorRequest>;
  /** Closes the listener and its connections. */
  close(): Promise<void>;
}

/** Dependencies of {@linkcode OperatorFront}. */
export interface OperatorFrontDependencies {
  readonly settings: DaemonSettings;
  readonly server: OperatorServer;
  readonly configuration: Configuration;
  readonly freshness: FreshnessSource;
  readonly membership: Membership;
  readonly transport: PeerTransport;
  readonly presence: Presence;
  readonly shards: QuotaShards;
  readonly shares: Shares;
  readonly clock: Clock;
  readonly logReader: LogReader;
  readonly selection: Selection;
  readonly detector: Detector;
  readonly dispatch: Dispatch;
  readonly callerFront: CallerFront;
  readonly metrics: Metrics;
}

/** Serves the queries of operators. */
export class OperatorFront {
  readonly #deps: OperatorFrontDependencies;

  /** Creates a front that does not serve queries yet. */
  constructor(deps: OperatorFrontDependencies) {
    this.#deps = deps;
  }

  /** Serves queries until the listener is closed. */
  async run(): Promise<void> {
    for await (const request of this.#deps.server.listRequests()) {
      request.send(this.#createResponse(request.query));
    }
  }

  #createResponse(query: OperatorQuery): OperatorResponse {
    switch (query) {
      case OperatorQuery.Dump:
        return { kind: OperatorResponseKind.Value, value: this.dumpState() };
      case OperatorQuery.Status:
        return { kind: OperatorResponseKind.Value, value: this.getStatus() };
      case OperatorQuery.Metrics:
        return {
          kind: OperatorResponseKind.Text,
          text: this.#deps.metrics.formatText(),
        };
    }
  }

  /** Returns the offset in force, its freshness and the state of the peers. */
  getStatus(): Record<string, unknown> {
    const { settings, configuration, freshness, logReader } = this.#deps;
    return {
      vm: settings.vm,
      incarnation: settings.incarnation,
      cell: settings.cell,
      offset: configuration.offset,
      preset: configuration.state.presetInForce.name,
      evacuated: [...configuration.state.evacuations.keys()],
      freshness: freshness.getReport(),
      phase: this.#deps.presence.phase,
      log: logReader.getReport(),
      peers: this.#deps.membership.listPeers()
        .map((peer) => this.#getPeerReport(peer)),
    };
  }

  #getPeerReport(peer: PeerState): Record<string, unknown> {
    return {
      vm: peer.vm,
      incarnation: peer.incarnation,
      reach: peer.getReachability(this.#deps.clock.now()),
      phase: peer.phase,
      offset: peer.offset,
      isFresh: peer.isFresh,
      seats: peer.shards.length,
    };
  }

  /** Returns the complete state of the process, without any key. */
  dumpState(): Record<string, unknown> {
    const { settings, configuration, selection, dispatch } = this.#deps;
    const { state } = configuration;
    return {
      ...this.getStatus(),
      process: getProcessReport(),
      region: settings.region,
      failureDomain: settings.failureDomain,
      verdicts: configuration.counts,
      lastMalformed: configuration.lastMalformed,
      objects: {
        teams: state.teams.size,
        keys: state.keys.size,
        services: state.services.size,
        servers: state.servers.size,
        routes: state.routes.size,
      },
      callerConnections: this.#deps.callerFront.openConnections,
      seats: this.#deps.shards.getReport(),
      shares: this.#deps.shares.getReport(),
      peerTraffic: this.#deps.transport.traffic,
      queues: dispatch.getReport(),
      servers: selection.getReport(),
      detector: this.#deps.detector.getReport(),
      metrics: this.#deps.metrics.getReport(),
    };
  }
}

/** Returns CPU time and uptime in milliseconds, and memory in bytes. */
function getProcessReport(): Record<string, number> {
  const { user, system } = process.cpuUsage();
  return {
    cpuMs: (user + system) / US_PER_MS,
    residentBytes: process.memoryUsage.rss(),
    uptimeMs: Math.round(process.uptime() * MS_PER_SECOND),
  };
}
