/** Names of all services and the type of each of them. */
import { createDefinition } from "../kernel/mod.ts";
import type { ServiceDefinition } from "../kernel/mod.ts";
import type { DaemonSettings } from "../settings/daemon_settings.ts";
import type { AddressSelector } from "./addresses/mod.ts";
import type { FleetAddresses } from "./addresses/fleet_addresses.ts";
import type { Admission } from "./admission/mod.ts";
import type { CallerFront } from "./caller_front/mod.ts";
import type { CallerServer } from "./caller_front/exchange.ts";
import type { Clock } from "./clock/mod.ts";
import type { Configuration } from "./configuration/mod.ts";
import type { DetectionPolicy, Detector } from "./detector/mod.ts";
import type { EvidenceExchange } from "./detector/evidence_exchange.ts";
import type { Dispatch } from "./dispatch/mod.ts";
import type { EvacuatedDomains, EvacuationView } from "./evacuation/mod.ts";
import type { Feed } from "./feed/mod.ts";
import type { FeedRelay } from "./feed/relay.ts";
import type { RestoredStore } from "./feed/restored_store.ts";
import type { ServerRegistry } from "./feed/server_registry.ts";
import type {
  EraSource,
  FeedSource,
  OperatorUpdate,
  ServerUpdate,
} from "./feed/source.ts";
import type { Fleet, FleetMessage, VmDirectory } from "./fleet/mod.ts";
import type { Forwarding } from "./forwarding/mod.ts";
import type { UpstreamClient } from "./forwarding/upstream.ts";
import type { FleetRetryBudget } from "./forwarding/fleet_retry_budget.ts";
import type { RetryBudget } from "./forwarding/retry_budget.ts";
import type { Confirmations } from "./freshness/confirmations.ts";
import type { FreshnessSource } from "./freshness/mod.ts";
import type { LogClient } from "./log_client/mod.ts";
import type { LogReader } from "./log_reader/mod.ts";
import type { Logging } from "./logging/mod.ts";
import type { Membership } from "./membership/mod.ts";
import type { PeerTransport, VmListClient } from "./membership/transport.ts";
import type { MemoryBudget } from "./memory_budget/mod.ts";
import type { Metrics } from "./metrics/mod.ts";
import type { OperatorFront } from "./operator_front/mod.ts";
import type { OperatorServer } from "./operator_front/mod.ts";
import type { Overload } from "./overload/mod.ts";
import type { OverloadPolicy } from "./overload/policy.ts";
import type { FleetStop } from "./planned_stop/fleet_stop.ts";
import type { PlannedStop } from "./planned_stop/mod.ts";
import type { Shutdown } from "./planned_stop/shutdown.ts";
import type { Quota } from "./quota/mod.ts";
import type { TeamLimiter } from "./quota/team_limiter.ts";
import type { Readiness } from "./readiness/mod.ts";
import type { Presence } from "./presence/mod.ts";
import type { Random } from "./random/mod.ts";
import type { Relay } from "./relay/mod.ts";
import type { QuotaShards } from "./quota_shards/mod.ts";
import type { BacklogExchange } from "./scarcity/backlog_exchange.ts";
import type { LoadExchange } from "./selection/load_exchange.ts";
import type { Selection } from "./selection/mod.ts";
import type { Shares } from "./shares/mod.ts";
import type { ServerNotices } from "./server_notices/mod.ts";
import type { Snapshots } from "./snapshots/mod.ts";
import type { Startup } from "./startup/mod.ts";
import type { WarmUpLimiter } from "./warm_up/mod.ts";

/** Names by which services find each other. */
export enum ServiceName {
  Settings = "settings",
  Clock = "clock",
  Random = "random",
  Logging = "logging",
  Metrics = "metrics",
  MemoryBudget = "memory_budget",
  LogClient = "log_client",
  Configuration = "configuration",
  PeerTransport = "peer_transport",
  VmListClient = "vm_list_client",
  Membership = "membership",
  QuotaShards = "seats",
  Confirmations = "confirmations",
  Freshness = "freshness",
  Presence = "presence",
  Relay = "relay",
  Snapshots = "snapshots",
  Shares = "shares",
  Addresses = "addresses",
  PlannedStop = "planned_stop",
  Shutdown = "shutdown",
  Startup = "startup",
  LogReader = "log_reader",
  Admission = "admission",
  Detector = "detector",
  Selection = "selection",
  ServerNotices = "server_notices",
  WarmUp = "warm_up",
  Dispatch = "dispatch",
  Overload = "overload",
  OverloadPolicy = "overload_policy",
  UpstreamClient = "upstream_client",
  Forwarding = "forwarding",
  CallerServer = "caller_server",
  CallerFront = "caller_front",
  OperatorServer = "operator_server",
  OperatorFront = "operator_front",
  EvidenceExchange = "evidence_exchange",
  TeamLimiter = "team_limiter",
  RetryBudget = "retry_budget",
  FleetRetryBudget = "fleet_retry_budget",
  LoadExchange = "load_exchange",
  BacklogExchange = "backlog_exchange",
  DetectionPolicy = "detection_policy",
  DocumentSource = "document_source",
  ServerSource = "server_source",
  StoreEras = "store_eras",
  ServerRegistry = "server_registry",
  EvacuatedDomains = "evacuated_domains",
  Evacuation = "evacuation",
  Feed = "feed",
  FeedRelay = "feed_relay",
  RestoredStore = "restored_store",
  FleetTransport = "fleet_transport",
  VmDirectory = "vm_directory",
  Fleet = "fleet",
  FleetAddresses = "fleet_addresses",
  FleetStop = "fleet_stop",
  Quota = "quota",
  Readiness = "readiness",
  Discovery = "discovery",
  MetricsServer = "metrics_server",
}

/** A listener that other code only opens and closes. */
export interface Listener {
  open(): Promise<void>;
  close(): Promise<void>;
}

/** Type of each service by name. */
export interface Services {
  [ServiceName.Settings]: DaemonSettings;
  [ServiceName.Clock]: Clock;
  [ServiceName.Random]: Random;
  [ServiceName.Logging]: Logging;
  [ServiceName.Metrics]: Metrics;
  [ServiceName.MemoryBudget]: MemoryBudget;
  [ServiceName.LogClient]: LogClient;
  [ServiceName.Configuration]: Configuration;
  [ServiceName.PeerTransport]: PeerTransport;
  [ServiceName.VmListClient]: VmListClient;
  [ServiceName.Membership]: Membership;
  [ServiceName.QuotaShards]: QuotaShards;
  [ServiceName.Confirmations]: Confirmations;
  [ServiceName.Freshness]: FreshnessSource;
  [ServiceName.Presence]: Presence;
  [ServiceName.Relay]: Relay;
  [ServiceName.Snapshots]: Snapshots;
  [ServiceName.Shares]: Shares;
  [ServiceName.Addresses]: AddressSelector;
  [ServiceName.PlannedStop]: PlannedStop;
  [ServiceName.Shutdown]: Shutdown;
  [ServiceName.Startup]: Startup;
  [ServiceName.LogReader]: LogReader;
  [ServiceName.Admission]: Admission;
  [ServiceName.Detector]: Detector;
  [ServiceName.Selection]: Selection;
  [ServiceName.ServerNotices]: ServerNotices;
  [ServiceName.WarmUp]: WarmUpLimiter;
  [ServiceName.Dispatch]: Dispatch;
  [ServiceName.Overload]: Overload;
  [ServiceName.OverloadPolicy]: OverloadPolicy;
  [ServiceName.UpstreamClient]: UpstreamClient;
  [ServiceName.Forwarding]: Forwarding;
  [ServiceName.CallerServer]: CallerServer;
  [ServiceName.CallerFront]: CallerFront;
  [ServiceName.OperatorServer]: OperatorServer;
  [ServiceName.OperatorFront]: OperatorFront;
  [ServiceName.EvidenceExchange]: EvidenceExchange;
  [ServiceName.TeamLimiter]: TeamLimiter;
  [ServiceName.RetryBudget]: RetryBudget;
  [ServiceName.FleetRetryBudget]: FleetRetryBudget;
  [ServiceName.LoadExchange]: LoadExchange;
  [ServiceName.BacklogExchange]: BacklogExchange;
  [ServiceName.DetectionPolicy]: DetectionPolicy;
  [ServiceName.DocumentSource]: FeedSource<OperatorUpdate>;
  [ServiceName.ServerSource]: FeedSource<ServerUpdate>;
  [ServiceName.StoreEras]: EraSource;
  [ServiceName.ServerRegistry]: ServerRegistry;
  [ServiceName.EvacuatedDomains]: EvacuatedDomains;
  [ServiceName.Evacuation]: EvacuationView;
  [ServiceName.Feed]: Feed;
  [ServiceName.FeedRelay]: FeedRelay;
  [ServiceName.RestoredStore]: RestoredStore;
  [ServiceName.FleetTransport]: PeerTransport<FleetMessage>;
  [ServiceName.VmDirectory]: VmDirectory;
  [ServiceName.Fleet]: Fleet;
  [ServiceName.FleetAddresses]: FleetAddresses;
  [ServiceName.FleetStop]: FleetStop;
  [ServiceName.Quota]: Quota;
  [ServiceName.Readiness]: Readiness;
  [ServiceName.Discovery]: Listener;
  [ServiceName.MetricsServer]: Listener;
}

/** Definition of a service of the catalog. */
export type Definition<Name extends ServiceName> = ServiceDefinition<
  Services,
  Name
>;

/** Returns `definition`, type-checked against the catalog. */
export function createServiceDefinition<Name extends ServiceName>(
  definition: Definition<Name>,
): Definition<Name> {
  return createDefinition<Services, Name>(definition);
}
