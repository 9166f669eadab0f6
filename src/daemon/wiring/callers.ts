/**
 * Services that face callers, and the planned stop, which must not fail any
 * request of a caller.
 */
import type { Kernel } from "../../kernel/mod.ts";
import {
  createServiceDefinition,
  ServiceName,
} from "../../services/catalog.ts";
import type { Services } from "../../services/catalog.ts";
import type { HttpDialect } from "../../protocols/http/dialect.ts";
import { createHttpCallerServer } from "../../protocols/http/caller_server.ts";
import { Addresses } from "../../services/addresses/mod.ts";
import { CallerFront } from "../../services/caller_front/mod.ts";
import { PlannedStop } from "../../services/planned_stop/mod.ts";
import { Startup } from "../../services/startup/mod.ts";

/** Adds the services that face callers and that both backings need. */
export function addCallerFront(
  kernel: Kernel<Services>,
  dialect: HttpDialect,
): void {
  kernel.add(createServiceDefinition({
    name: ServiceName.CallerServer,
    dependencies: [ServiceName.Settings, ServiceName.Clock],
    create: (find, scope) =>
      createHttpCallerServer({
        address: find(ServiceName.Settings).callerListen,
        dialect,
        boundary: scope.createBoundary(),
        clock: find(ServiceName.Clock),
      }),
  }));
  kernel.add(createServiceDefinition({
    name: ServiceName.CallerFront,
    dependencies: [
      ServiceName.Settings,
      ServiceName.Clock,
      ServiceName.CallerServer,
      ServiceName.Configuration,
      ServiceName.Admission,
      ServiceName.Startup,
      ServiceName.Forwarding,
      ServiceName.TeamLimiter,
      ServiceName.Addresses,
      ServiceName.Metrics,
      ServiceName.MemoryBudget,
      ServiceName.Logging,
    ],
    create: (find, scope) => {
      const server = find(ServiceName.CallerServer);
      const logger = find(ServiceName.Logging).createLogger("callers");
      const front = new CallerFront({
        clock: find(ServiceName.Clock),
        server,
        admission: find(ServiceName.Admission),
        startup: find(ServiceName.Startup),
        forwarding: find(ServiceName.Forwarding),
        limiter: find(ServiceName.TeamLimiter),
        addresses: find(ServiceName.Addresses),
        metrics: find(ServiceName.Metrics),
        memory: find(ServiceName.MemoryBudget),
        logger,
        pipelineLimit: find(ServiceName.Settings).pipelineLimit,
      });
      const configuration = find(ServiceName.Configuration);
      configuration.addListener(() => {
        const { limits } = configuration.state;
        if (limits !== undefined) server.setIdleTimeout(limits.idleTimeoutMs);
      });
      scope.addStart(async () => {
        await server.open();
        logger.info(`listening on port ${server.port}`);
        scope.runTask(() => front.run());
      });
      scope.addStop(() => server.close());
      return front;
    },
  }));
}

/** Adds the addresses and the planned stop of a cell. */
export function addCellCallers(kernel: Kernel<Services>): void {
  // Its callers get addresses only of VMs that already serve.
  kernel.add(createServiceDefinition({
    name: ServiceName.Startup,
    dependencies: [ServiceName.Clock],
    create: (find) =>
      new Startup({
        clock: find(ServiceName.Clock),
        firstServing: Promise.resolve(),
      }),
  }));
  addAddresses(kernel);
  addPlannedStop(kernel);
}

function addAddresses(kernel: Kernel<Services>): void {
  kernel.add(createServiceDefinition({
    name: ServiceName.Addresses,
    dependencies: [
      ServiceName.Settings,
      ServiceName.Freshness,
      ServiceName.Membership,
      ServiceName.Presence,
      ServiceName.QuotaShards,
    ],
    create: (find) =>
      new Addresses({
        freshness: find(ServiceName.Freshness),
        membership: find(ServiceName.Membership),
        presence: find(ServiceName.Presence),
        shards: find(ServiceName.QuotaShards),
        ttlMs: find(ServiceName.Settings).addressTtlMs,
      }),
  }));
}

function addPlannedStop(kernel: Kernel<Services>): void {
  kernel.add(createServiceDefinition({
    name: ServiceName.PlannedStop,
    dependencies: [
      ServiceName.Clock,
      ServiceName.Logging,
      ServiceName.Addresses,
      ServiceName.Presence,
      ServiceName.QuotaShards,
      ServiceName.CallerServer,
      ServiceName.CallerFront,
      ServiceName.OperatorFront,
      ServiceName.Shutdown,
    ],
    create: (find, scope) => {
      const plannedStop = new PlannedStop({
        clock: find(ServiceName.Clock),
        logger: find(ServiceName.Logging).createLogger("stop"),
        addresses: find(ServiceName.Addresses),
        presence: find(ServiceName.Presence),
        shards: find(ServiceName.QuotaShards),
        server: find(ServiceName.CallerServer),
        shutdown: find(ServiceName.Shutdown),
      });
      scope.addStop(() => plannedStop.run());
      return plannedStop;
    },
  }));
}
