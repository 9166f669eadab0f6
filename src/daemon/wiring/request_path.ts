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
import { Forwarding } from "../../services/forwarding/mod.ts";
import { Shutdown } from "../../services/planned_stop/shutdown.ts";
import { Overload } from "../../services/overload/mod.ts";
import { addOverloadPolicy } from "./overload_policy.ts";
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
      ServiceName.Metrics,
      ServiceName.Logging,
    ],
    create: (find) =>
      new ServerNotices({
        clock: find(ServiceName.Clock),
        metrics: find(ServiceName.Metrics),
        logger: find(ServiceName.Logging).createLogger("servers"),
      }),
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
        random: find(ServiceName.Random),
      }),
  }));
  kernel.add(createServiceDefinition({
    name: ServiceName.Dispatch,
    dependencies: [],
    create: () => new Dispatch(),
  }));
  kernel.add(createServiceDefinition({
    name: ServiceName.Overload,
    dependencies: [ServiceName.Random],
    create: (find) => new Overload(find(ServiceName.Random)),
  }));
  addOverloadPolicy(kernel);
  kernel.add(createServiceDefinition({
    name: ServiceName.UpstreamClient,
    dependencies: [],
    create: (_find, scope) => {
      const client = createHttpUpstreamClient(dialect);
      scope.addStop(() => client.close());
      return client;
    },
  }));
  kernel.add(createServiceDefinition({
    name: ServiceName.Forwarding,
    dependencies: [
      ServiceName.Settings,
      ServiceName.Clock,
      ServiceName.Admission,
      ServiceName.Shutdown,
      ServiceName.Selection,
      ServiceName.Detector,
      ServiceName.ServerNotices,
      ServiceName.Dispatch,
      ServiceName.Overload,
      ServiceName.OverloadPolicy,
      ServiceName.UpstreamClient,
      ServiceName.Metrics,
      ServiceName.Random,
      ServiceName.RetryBudget,
      ServiceName.Logging,
    ],
    create: (find) => {
      const { vm, incarnation } = find(ServiceName.Settings);
      return new Forwarding({
        clock: find(ServiceName.Clock),
        admission: find(ServiceName.Admission),
        shutdown: find(ServiceName.Shutdown),
        selection: find(ServiceName.Selection),
        detector: find(ServiceName.Detector),
        notices: find(ServiceName.ServerNotices),
        dispatch: find(ServiceName.Dispatch),
        overload: find(ServiceName.Overload),
        overloadPolicy: find(ServiceName.OverloadPolicy),
        upstream: find(ServiceName.UpstreamClient),
        metrics: find(ServiceName.Metrics),
        random: find(ServiceName.Random),
        logger: find(ServiceName.Logging).createLogger("forwarding"),
        retryBudget: find(ServiceName.RetryBudget),
        attemptPrefix: `${vm}-${incarnation.toString(36)}`,
      });
    },
  }));
}
