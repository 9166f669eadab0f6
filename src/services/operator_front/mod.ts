/** Operator front: answers operators' questions about this process. */
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
import type { QuotaShards } from "../seats/mod.ts";
import type { Shares } from "../shares/mod.ts";
import type { Selection } from "../selection/mod.ts";
import type { DaemonSettings } from "../../settings/mod.ts";

const US_PER_MS = 1_000;
const MS_PER_SECOND = 1_000;

/** What an operator may ask a daemon for. */
export enum OperatorQuery {
  /** The whole state of the process. */
  Dump = "dump",
  /** Offset in force, its age and how the fleet is seen. */
  Status = "status",
  /** Counters and latencies as text for a scraper. */
  Metrics = "metrics",
}

/** A question of an operator whose key was checked. */
export interface OperatorRequest {
  readonly query: OperatorQuery;
  /** Answers with a value, or with text for a scraper. */
  send(answer: OperatorAnswer): void;
}

/** Form of an answer. */
export enum OperatorAnswerKind {
  Value = "value",
  Text = "text",
}

/** Answer to an operator. */
export type OperatorAnswer =
  | { readonly kind: OperatorAnswerKind.Value; readonly value: unknown }
  | { readonly kind: OperatorAnswerKind.Text; readonly text: string };

/** Accepts operators; opens only for those whose key is known. */
export interface OperatorServer {
  /** Opens the listener; rejects when the address is taken. */
  open(): Promise<void>;
  /** Port on which it listens. */
  readonly port: number;
  /** Yields questions until the listener is closed. */
  listRequests(): AsyncIterable<OperatorRequest>;
  /** Closes the listener and its connections. */
  close(): Promise<void>;
}

/** What the front reports on. */
export interface OperatorFrontParts {
  readonly settings: DaemonSettings;
  readonly server: OperatorServer;
  readonly configuration: Configuration;
  readonly freshness: FreshnessSource;
  readonly membership: Membership;
  readonly transport: PeerTransport;
  readonly presence: Presence;
  readonly seats: QuotaShards;
  readonly shares: Shares;
  readonly clock: Clock;
  readonly logReader: LogReader;
  readonly selection: Selection;
  readonly detector: Detector;
  readonly dispatch: Dispatch;
  readonly callerFront: CallerFront;
  readonly metrics: Metrics;
}

/** Answers operators. */
export class OperatorFront {
  readonly #parts: OperatorFrontParts;

  /** Creates a front that answers nobody yet. */
  constructor(parts: OperatorFrontParts) {
    this.#parts = parts;
  }

  /** Answers questions until the listener is closed. */
  async run(): Promise<void> {
    for await (const request of this.#parts.server.listRequests()) {
      request.send(this.#getAnswer(request.query));
    }
  }

  #getAnswer(query: OperatorQuery): OperatorAnswer {
    switch (query) {
      case OperatorQuery.Dump:
        return { kind: OperatorAnswerKind.Value, value: this.dumpState() };
      case OperatorQuery.Status:
        return { kind: OperatorAnswerKind.Value, value: this.getStatus() };
      case OperatorQuery.Metrics:
        return {
          kind: OperatorAnswerKind.Text,
          text: this.#parts.metrics.formatText(),
        };
    }
  }

  /** Gets which configuration is in force and how fresh it is. */
  getStatus(): Record<string, unknown> {
    const { settings, configuration, freshness, logReader } = this.#parts;
    return {
      vm: settings.vm,
      incarnation: settings.incarnation,
      cell: settings.cell,
      offset: configuration.offset,
      preset: configuration.state.presetInForce.name,
      freshness: freshness.getReport(),
      phase: this.#parts.presence.phase,
      log: logReader.getReport(),
      peers: this.#parts.membership.listPeers()
        .map((peer) => this.#getPeerReport(peer)),
    };
  }

  #getPeerReport(peer: PeerState): Record<string, unknown> {
    return {
      vm: peer.vm,
      incarnation: peer.incarnation,
      reach: peer.getReachability(this.#parts.clock.now()),
      phase: peer.phase,
      offset: peer.offset,
      isFresh: peer.isFresh,
      seats: peer.shards.length,
    };
  }

  /** Dumps the state of the process; no key is in it. */
  dumpState(): Record<string, unknown> {
    const { settings, configuration, selection, dispatch } = this.#parts;
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
      callerConnections: this.#parts.callerFront.openConnections,
      seats: this.#parts.seats.getReport(),
      shares: this.#parts.shares.getReport(),
      peerTraffic: this.#parts.transport.traffic,
      queues: dispatch.getReport(),
      servers: selection.getReport(),
      detector: this.#parts.detector.getReport(),
      metrics: this.#parts.metrics.getReport(),
    };
  }
}

/** Reports processor time in milliseconds and memory in bytes. */
function getProcessReport(): Record<string, number> {
  const { user, system } = process.cpuUsage();
  return {
    cpuMs: (user + system) / US_PER_MS,
    residentBytes: process.memoryUsage.rss(),
    uptimeMs: Math.round(process.uptime() * MS_PER_SECOND),
  };
}
