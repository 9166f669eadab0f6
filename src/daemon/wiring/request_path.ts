/** Services that admit requests and forward them to backend servers. */
import type { Kernel } from "../../kernel/mod.ts";
import {
  createServiceDefinition,
  ServiceName,
} from "../../services/catalog.ts";
import type { Services } from "../../services/catalog.ts";
import type { HttpDialect } from "../../protocols/http/dialect.ts";
import { createHttpUpstreamClient } from "../../protocols/http/upstream_client.ts";
import { Admission } from "../../services/admission/mod.ts";
import { Detector } from "../../services/detector/mod.ts";
import { Dispatch } from "../../services/dispatch/mod.ts";
import { startEvacuatedQueues } from "../../services/forwarding/evacuated_queues.ts";
import { Forwarding } from "../../services/forwarding/mod.ts";
import { Shutdown } from "../../services/planned_stop/shutdown.ts";
import { Gauge } from "../../services/metrics/mod.ts";
import { MemoryBudget } from "../../services/memory_budget/mod.ts";
import { Overload } from "../../services/overload/mod.ts";
import { Selection } from "../../services/selection/mod.ts";
import { ServerNotices } from "../../services/server_notices/mod.ts";

/** Adds the services of the request path, for both backings. */
export function addRequestPath(
  kernel: Kernel<Services>,
  dialect: HttpDialect,
): void {
  kernel.add(createServiceDefinition({
    name: ServiceName.Shutdown,
    dependencies: [
      ServiceName.Settings,
      ServiceName.Clock,
      ServiceName.Overload,
      ServiceName.Logging,
    ],
    create: (find) =>
      new Shutdown({
        clock: find(ServiceName.Clock),
        overload: find(ServiceName.Overload),
        logger: find(ServiceName.Logging).createLogger("stop"),
        graceMs: find(ServiceName.Settings).graceMs,
      }),
  }));
  kernel.add(createServiceDefinition({
    name: ServiceName.Admission,
    dependencies: [
      ServiceName.Clock,
      ServiceName.Configuration,
      ServiceName.Freshness,
      ServiceName.Shutdown,
      ServiceName.Random,
    ],
    create: (find) =>
      new Admission({
        clock: find(ServiceName.Clock),
        configuration: find(ServiceName.Configuration),
        freshness: find(ServiceName.Freshness),
        shutdown: find(ServiceName.Shutdown),
        random: find(ServiceName.Random),
      }),
  }));
  kernel.add(createServiceDefinition({
    name: ServiceName.ServerNotices,
    dependencies: [
      ServiceName.Clock,
      ServiceName.Evacuation,
      ServiceName.Metrics,
      ServiceName.Logging,
    ],
    create: (find) => {
      const notices = new ServerNotices({
        clock: find(ServiceName.Clock),
        metrics: find(ServiceName.Metrics),
        logger: find(ServiceName.Logging).createLogger("servers"),
      });
      notices.setEvacuation(find(ServiceName.Evacuation));
      return notices;
    },
  }));
  kernel.add(createServiceDefinition({
    name: ServiceName.Detector,
    dependencies: [
      ServiceName.Clock,
      ServiceName.Configuration,
      ServiceName.DetectionPolicy,
      ServiceName.EvidenceExchange,
      ServiceName.ServerNotices,
      ServiceName.Random,
      ServiceName.UpstreamClient,
      ServiceName.Logging,
    ],
    create: (find, scope) => {
      const upstream = find(ServiceName.UpstreamClient);
      const detector = new Detector({
        policy: find(ServiceName.DetectionPolicy),
        clock: find(ServiceName.Clock),
        configuration: find(ServiceName.Configuration),
        exchange: find(ServiceName.EvidenceExchange),
        notices: find(ServiceName.ServerNotices),
        random: find(ServiceName.Random),
        probe: (server) => upstream.probe(server),
        logger: find(ServiceName.Logging).createLogger("detector"),
      });
      scope.addStart(() => scope.runTask((signal) => detector.run(signal)));
      return detector;
    },
  }));
  kernel.add(createServiceDefinition({
    name: ServiceName.Selection,
    dependencies: [
      ServiceName.Settings,
      ServiceName.LoadExchange,
      ServiceName.Clock,
      ServiceName.Configuration,
      ServiceName.Detector,
      ServiceName.ServerNotices,
      ServiceName.WarmUp,
      ServiceName.Random,
    ],
    create: (find) =>
      new Selection({
        failureDomain: find(ServiceName.Settings).failureDomain,
        loads: find(ServiceName.LoadExchange),
        configuration: find(ServiceName.Configuration),
        clock: find(ServiceName.Clock),
        detector: find(ServiceName.Detector),
        notices: find(ServiceName.ServerNotices),
        warmUp: find(ServiceName.WarmUp),
        random: find(ServiceName.Random),
      }),
  }));
  kernel.add(createServiceDefinition({
    name: ServiceName.Dispatch,
    dependencies: [ServiceName.Metrics],
    create: (find) => {
      const dispatch = new Dispatch();
      find(ServiceName.Metrics).setGauge(Gauge.ServerTurns, () => {
        const { running, waiting } = dispatch.countServerJobs();
        return { running, waiting };
      });
      return dispatch;
    },
  }));
  kernel.add(createServiceDefinition({
    name: ServiceName.Overload,
    dependencies: [ServiceName.Random],
    create: (find) => new Overload(find(ServiceName.Random)),
  }));
  kernel.add(createServiceDefinition({
    name: ServiceName.UpstreamClient,
    dependencies: [ServiceName.Metrics],
    create: (find, scope) => {
      const client = createHttpUpstreamClient(dialect);
      find(ServiceName.Metrics).setGauge(Gauge.ServerConnections, () => {
        const { inUse, waiting, idle } = client.countConnections();
        return { in_use: inUse, waiting, idle };
      });
      scope.addStop(() => client.close());
      return client;
    },
  }));
  kernel.add(createServiceDefinition({
    name: ServiceName.MemoryBudget,
    dependencies: [
      ServiceName.Settings,
      ServiceName.Clock,
      ServiceName.Metrics,
      ServiceName.Logging,
    ],
    create: (find) =>
      new MemoryBudget({
        clock: find(ServiceName.Clock),
        limits: find(ServiceName.Settings).memoryLimits,
        metrics: find(ServiceName.Metrics),
        logger: find(ServiceName.Logging).createLogger("memory"),
      }),
  }));
  kernel.add(createServiceDefinition({
    name: ServiceName.Forwarding,
    dependencies: [
      ServiceName.Settings,
      ServiceName.Clock,
      ServiceName.Admission,
      ServiceName.Configuration,
      ServiceName.Evacuation,
      ServiceName.Shutdown,
      ServiceName.Selection,
      ServiceName.Detector,
      ServiceName.ServerNotices,
      ServiceName.WarmUp,
      ServiceName.Dispatch,
      ServiceName.Overload,
      ServiceName.UpstreamClient,
      ServiceName.Metrics,
      ServiceName.MemoryBudget,
      ServiceName.Random,
      ServiceName.RetryBudget,
      ServiceName.Logging,
    ],
    create: (find) => {
      const { vm, incarnation } = find(ServiceName.Settings);
      startEvacuatedQueues({
        configuration: find(ServiceName.Configuration),
        dispatch: find(ServiceName.Dispatch),
        evacuation: find(ServiceName.Evacuation),
        selection: find(ServiceName.Selection),
      });
      return new Forwarding({
        clock: find(ServiceName.Clock),
        admission: find(ServiceName.Admission),
        shutdown: find(ServiceName.Shutdown),
        selection: find(ServiceName.Selection),
        detector: find(ServiceName.Detector),
        notices: find(ServiceName.ServerNotices),
        warmUp: find(ServiceName.WarmUp),
        dispatch: find(ServiceName.Dispatch),
        overload: find(ServiceName.Overload),
        upstream: find(ServiceName.UpstreamClient),
        metrics: find(ServiceName.Metrics),
        memory: find(ServiceName.MemoryBudget),
        random: find(ServiceName.Random),
        logger: find(ServiceName.Logging).createLogger("forwarding"),
        retryBudget: find(ServiceName.RetryBudget),
        attemptPrefix: `${vm}-${incarnation.toString(36)}`,
      });
    },
  }));
}
