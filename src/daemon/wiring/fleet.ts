/** Services that connect the VMs of a fleet, with the store as backing. */
import process from "node:process";
import type { Kernel } from "../../kernel/mod.ts";
import { FLEET_CODEC } from "../../protocols/fleet/message_codec.ts";
import { createWebSocketTransport } from "../../protocols/peer/ws_transport.ts";
import { FleetAddresses } from "../../services/addresses/fleet_addresses.ts";
import {
  createServiceDefinition,
  ServiceName,
} from "../../services/catalog.ts";
import type { Services } from "../../services/catalog.ts";
import { Configuration } from "../../services/configuration/mod.ts";
import { EvacuatedDomains } from "../../services/evacuation/mod.ts";
import { startEvacuationRelay } from "../../services/evacuation/relay.ts";
import { Feed } from "../../services/feed/mod.ts";
import { FeedRelay } from "../../services/feed/relay.ts";
import { RestoredStore } from "../../services/feed/restored_store.ts";
import { ServerRegistry } from "../../services/feed/server_registry.ts";
import { createFleetEvidence } from "../../services/fleet/evidence.ts";
import type { Clock } from "../../services/clock/mod.ts";
import { createFleetLoads } from "../../services/fleet/loads.ts";
import type { FleetLoads } from "../../services/fleet/loads.ts";
import { Fleet, UsageKind } from "../../services/fleet/mod.ts";
import { createFleetTokens } from "../../services/fleet/tokens.ts";
import { DetectionPolicy } from "../../services/detector/mod.ts";
import { FleetRetryBudget } from "../../services/forwarding/fleet_retry_budget.ts";
import { Confirmations } from "../../services/freshness/confirmations.ts";
import { FleetStop } from "../../services/planned_stop/fleet_stop.ts";
import { Quota, resolveLimits } from "../../services/quota/mod.ts";
import { Readiness } from "../../services/readiness/mod.ts";
import { Startup } from "../../services/startup/mod.ts";
import { WarmUp } from "../../services/warm_up/mod.ts";
import type { DaemonSettings } from "../../settings/mod.ts";

/**
 * Maximum age of a valid confirmation, as a fraction of the time after which a
 * withdrawn key must be refused. The rest is a margin for clocks that drift or
 * step. Callers may rely on service for 0.6 of that time after the store fails,
 * and a confirmation may then already be as old as one read and two reports.
 */
const FRESHNESS_RATIO = 0.8;

const MS_PER_SECOND = 1_000;

/** Adds the services of a fleet. */
export function addFleet(kernel: Kernel<Services>): void {
  addLinks(kernel);
  addFeed(kernel);
  addLimits(kernel);
  addWarmUp(kernel);
  addLifecycle(kernel);
}

function addLinks(kernel: Kernel<Services>): void {
  kernel.add(createServiceDefinition({
    name: ServiceName.FleetTransport,
    dependencies: [ServiceName.Settings],
    create: (find, scope) =>
      createWebSocketTransport(
        find(ServiceName.Settings).peerListen,
        FLEET_CODEC,
        scope.createBoundary(),
      ),
  }));
  kernel.add(createServiceDefinition({
    name: ServiceName.Fleet,
    dependencies: [
      ServiceName.Settings,
      ServiceName.Clock,
      ServiceName.FleetTransport,
      ServiceName.VmDirectory,
      ServiceName.Logging,
    ],
    create: (find, scope) => {
      const settings = find(ServiceName.Settings);
      const transport = find(ServiceName.FleetTransport);
      const { host, port } = settings.callerAdvertise;
      const fleet = new Fleet({
        clock: find(ServiceName.Clock),
        self: {
          name: settings.vm,
          incarnation: settings.incarnation,
          failureDomain: settings.failureDomain,
          callerAddress: `${host}:${port || settings.callerListen.port}`,
          peerAddress: formatPeerAddress(settings, transport.address),
          capacity: settings.cores * settings.linkMbps,
        },
        transport,
        directory: find(ServiceName.VmDirectory),
        seeds: settings.seeds,
        logger: find(ServiceName.Logging).createLogger("fleet"),
      });
      scope.addStart(async () => {
        await transport.open();
        scope.runTask(() => fleet.runAccepting());
        scope.runTask((signal) => fleet.runAnnouncing(signal));
        scope.runTask((signal) => fleet.runDirectory(signal));
        scope.runTask((signal) => fleet.runUplink(signal));
        scope.runTask((signal) => fleet.runHeartbeats(signal));
        scope.runTask((signal) => fleet.runLoads(signal));
      });
      scope.addStop(() => transport.close());
      return fleet;
    },
  }));
  let loads: FleetLoads | undefined;
  const getLoads = (fleet: Fleet, clock: Clock): FleetLoads =>
    loads ??= createFleetLoads(fleet, clock);
  kernel.add(createServiceDefinition({
    name: ServiceName.LoadExchange,
    dependencies: [ServiceName.Fleet, ServiceName.Clock],
    create: (find) =>
      getLoads(find(ServiceName.Fleet), find(ServiceName.Clock)),
  }));
  kernel.add(createServiceDefinition({
    name: ServiceName.BacklogExchange,
    dependencies: [ServiceName.Fleet, ServiceName.Clock],
    create: (find) =>
      getLoads(find(ServiceName.Fleet), find(ServiceName.Clock)),
  }));
  kernel.add(createServiceDefinition({
    name: ServiceName.EvidenceExchange,
    dependencies: [ServiceName.Fleet],
    create: (find) => createFleetEvidence(find(ServiceName.Fleet)),
  }));
}

function formatPeerAddress(
  { peerAdvertise }: DaemonSettings,
  listenAddress: string,
): string {
  const { host, port } = peerAdvertise;
  return port === 0 ? listenAddress : `${host}:${port}`;
}

function addFeed(kernel: Kernel<Services>): void {
  kernel.add(createServiceDefinition({
    name: ServiceName.Configuration,
    dependencies: [ServiceName.Settings, ServiceName.Clock],
    create: (find) =>
      new Configuration(
        find(ServiceName.Settings).cell,
        find(ServiceName.Clock),
      ),
  }));
  kernel.add(createServiceDefinition({
    name: ServiceName.Confirmations,
    dependencies: [
      ServiceName.Settings,
      ServiceName.Clock,
      ServiceName.Configuration,
      ServiceName.Logging,
    ],
    create: (find) =>
      new Confirmations({
        clock: find(ServiceName.Clock),
        configuration: find(ServiceName.Configuration),
        boundMs: find(ServiceName.Settings).revokeMs * FRESHNESS_RATIO,
        logger: find(ServiceName.Logging).createLogger("freshness"),
      }),
  }));
  kernel.add(createServiceDefinition({
    name: ServiceName.Freshness,
    dependencies: [ServiceName.Confirmations],
    create: (find) => find(ServiceName.Confirmations),
  }));
  kernel.add(createServiceDefinition({
    name: ServiceName.Startup,
    dependencies: [ServiceName.Clock, ServiceName.Confirmations],
    create: (find) =>
      new Startup({
        clock: find(ServiceName.Clock),
        firstServing: find(ServiceName.Confirmations).firstFresh,
      }),
  }));
  kernel.add(createServiceDefinition({
    name: ServiceName.ServerRegistry,
    dependencies: [ServiceName.Configuration, ServiceName.Logging],
    create: (find) =>
      new ServerRegistry({
        configuration: find(ServiceName.Configuration),
        logger: find(ServiceName.Logging).createLogger("servers"),
      }),
  }));
  kernel.add(createServiceDefinition({
    name: ServiceName.EvacuatedDomains,
    dependencies: [
      ServiceName.Clock,
      ServiceName.Fleet,
      ServiceName.Metrics,
      ServiceName.Logging,
    ],
    create: (find) => {
      const domains = new EvacuatedDomains({
        metrics: find(ServiceName.Metrics),
        logger: find(ServiceName.Logging).createLogger("evacuation"),
      });
      const clock = find(ServiceName.Clock);
      const fleet = find(ServiceName.Fleet);
      startEvacuationRelay({ clock, fleet, domains });
      return domains;
    },
  }));
  kernel.add(createServiceDefinition({
    name: ServiceName.Evacuation,
    dependencies: [ServiceName.EvacuatedDomains],
    create: (find) => find(ServiceName.EvacuatedDomains),
  }));
  kernel.add(createServiceDefinition({
    name: ServiceName.FeedRelay,
    dependencies: [
      ServiceName.Clock,
      ServiceName.Fleet,
      ServiceName.Configuration,
      ServiceName.ServerRegistry,
      ServiceName.EvacuatedDomains,
      ServiceName.Freshness,
      ServiceName.Random,
      ServiceName.Logging,
    ],
    create: (find) =>
      new FeedRelay({
        clock: find(ServiceName.Clock),
        fleet: find(ServiceName.Fleet),
        configuration: find(ServiceName.Configuration),
        registry: find(ServiceName.ServerRegistry),
        evacuations: find(ServiceName.EvacuatedDomains),
        freshness: find(ServiceName.Freshness),
        random: find(ServiceName.Random),
        logger: find(ServiceName.Logging).createLogger("configuration"),
      }),
  }));
  kernel.add(createServiceDefinition({
    name: ServiceName.RestoredStore,
    dependencies: [
      ServiceName.Clock,
      ServiceName.Fleet,
      ServiceName.Freshness,
      ServiceName.Logging,
    ],
    create: (find) =>
      new RestoredStore({
        clock: find(ServiceName.Clock),
        fleet: find(ServiceName.Fleet),
        freshness: find(ServiceName.Freshness),
        logger: find(ServiceName.Logging).createLogger("feed"),
      }),
  }));
  kernel.add(createServiceDefinition({
    name: ServiceName.Feed,
    dependencies: [
      ServiceName.Clock,
      ServiceName.Random,
      ServiceName.FeedRelay,
      ServiceName.RestoredStore,
      ServiceName.ServerRegistry,
      ServiceName.EvacuatedDomains,
      ServiceName.DocumentSource,
      ServiceName.ServerSource,
      ServiceName.StoreEras,
      ServiceName.Metrics,
      ServiceName.Logging,
    ],
    create: (find, scope) => {
      const feed = new Feed({
        clock: find(ServiceName.Clock),
        random: find(ServiceName.Random),
        relay: find(ServiceName.FeedRelay),
        restoredStore: find(ServiceName.RestoredStore),
        registry: find(ServiceName.ServerRegistry),
        evacuations: find(ServiceName.EvacuatedDomains),
        documents: find(ServiceName.DocumentSource),
        servers: find(ServiceName.ServerSource),
        eras: find(ServiceName.StoreEras),
        metrics: find(ServiceName.Metrics),
        logger: find(ServiceName.Logging).createLogger("feed"),
      });
      scope.addStart(() => {
        scope.runTask((signal) => feed.runDocuments(signal));
        scope.runTask((signal) => feed.runServers(signal));
      });
      return feed;
    },
  }));
}

function addLimits(kernel: Kernel<Services>): void {
  kernel.add(createServiceDefinition({
    name: ServiceName.Quota,
    dependencies: [
      ServiceName.Clock,
      ServiceName.Configuration,
      ServiceName.Fleet,
    ],
    create: (find) => {
      const clock = find(ServiceName.Clock);
      const fleet = find(ServiceName.Fleet);
      const configuration = find(ServiceName.Configuration);
      return new Quota({
        clock,
        startedAt: clock.now() - process.uptime() * MS_PER_SECOND,
        exchange: createFleetTokens(fleet, clock),
        findLimits: (id) => {
          const { state } = configuration;
          const team = state.teams.get(id);
          return team && resolveLimits(team, state.getPreset());
        },
      });
    },
  }));
  kernel.add(createServiceDefinition({
    name: ServiceName.TeamLimiter,
    dependencies: [ServiceName.Quota],
    create: (find) => find(ServiceName.Quota),
  }));
  kernel.add(createServiceDefinition({
    name: ServiceName.DetectionPolicy,
    dependencies: [],
    create: () => DetectionPolicy.Avoid,
  }));
  kernel.add(createServiceDefinition({
    name: ServiceName.FleetRetryBudget,
    dependencies: [ServiceName.Settings, ServiceName.Clock, ServiceName.Fleet],
    create: (find) => {
      const settings = find(ServiceName.Settings);
      const fleet = find(ServiceName.Fleet);
      const budget = new FleetRetryBudget({
        clock: find(ServiceName.Clock),
        countVms: () => fleet.countVms(),
        ratio: settings.retryRatio,
        slack: settings.retrySlack,
        windowMs: settings.retryWindowMs,
      });
      fleet.setUsageSource(UsageKind.Retries, budget);
      return budget;
    },
  }));
  kernel.add(createServiceDefinition({
    name: ServiceName.RetryBudget,
    dependencies: [ServiceName.FleetRetryBudget],
    create: (find) => find(ServiceName.FleetRetryBudget),
  }));
}

function addWarmUp(kernel: Kernel<Services>): void {
  kernel.add(createServiceDefinition({
    name: ServiceName.WarmUp,
    dependencies: [
      ServiceName.Settings,
      ServiceName.Clock,
      ServiceName.Configuration,
      ServiceName.Freshness,
      ServiceName.Fleet,
      ServiceName.Metrics,
      ServiceName.Logging,
    ],
    create: (find, scope) => {
      const fleet = find(ServiceName.Fleet);
      const warmUp = new WarmUp({
        vm: find(ServiceName.Settings).vm,
        clock: find(ServiceName.Clock),
        configuration: find(ServiceName.Configuration),
        freshness: find(ServiceName.Freshness),
        metrics: find(ServiceName.Metrics),
        logger: find(ServiceName.Logging).createLogger("warm_up"),
        findRoster: () => fleet.findRoster(),
      });
      scope.addStart(() => scope.runTask((signal) => warmUp.run(signal)));
      return warmUp;
    },
  }));
}

function addLifecycle(kernel: Kernel<Services>): void {
  kernel.add(createServiceDefinition({
    name: ServiceName.Readiness,
    dependencies: [
      ServiceName.Configuration,
      ServiceName.Freshness,
      ServiceName.Fleet,
    ],
    create: (find) => {
      const readiness = new Readiness({
        configuration: find(ServiceName.Configuration),
        freshness: find(ServiceName.Freshness),
      });
      find(ServiceName.Fleet).setPhaseSource(() => readiness.getPhase());
      return readiness;
    },
  }));
  kernel.add(createServiceDefinition({
    name: ServiceName.FleetAddresses,
    dependencies: [ServiceName.Settings, ServiceName.Fleet],
    create: (find) =>
      new FleetAddresses({
        fleet: find(ServiceName.Fleet),
        ttlMs: find(ServiceName.Settings).addressTtlMs,
      }),
  }));
  kernel.add(createServiceDefinition({
    name: ServiceName.Addresses,
    dependencies: [ServiceName.FleetAddresses],
    create: (find) => find(ServiceName.FleetAddresses),
  }));
  kernel.add(createServiceDefinition({
    name: ServiceName.FleetStop,
    dependencies: [
      ServiceName.Settings,
      ServiceName.Clock,
      ServiceName.Logging,
      ServiceName.Addresses,
      ServiceName.Readiness,
      ServiceName.Fleet,
      ServiceName.Feed,
      ServiceName.CallerServer,
      ServiceName.CallerFront,
      ServiceName.Discovery,
      ServiceName.MetricsServer,
      ServiceName.Shutdown,
    ],
    create: (find, scope) => {
      const stop = new FleetStop({
        clock: find(ServiceName.Clock),
        logger: find(ServiceName.Logging).createLogger("stop"),
        addresses: find(ServiceName.Addresses),
        readiness: find(ServiceName.Readiness),
        fleet: find(ServiceName.Fleet),
        server: find(ServiceName.CallerServer),
        shutdown: find(ServiceName.Shutdown),
        graceMs: find(ServiceName.Settings).graceMs,
      });
      scope.addStop(() => stop.run());
      return stop;
    },
  }));
}
