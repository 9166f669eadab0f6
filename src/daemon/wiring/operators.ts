/** Services that face operators, with the log as backing. */
import type { Kernel } from "../../kernel/mod.ts";
import {
  createServiceDefinition,
  ServiceName,
} from "../../services/catalog.ts";
import type { Services } from "../../services/catalog.ts";
import { createHttpOperatorServer } from "../../protocols/http/operator_server.ts";
import { OperatorFront } from "../../services/operator_front/mod.ts";

/** Adds the operator server and the operator front. */
export function addOperators(kernel: Kernel<Services>): void {
  kernel.add(createServiceDefinition({
    name: ServiceName.OperatorServer,
    dependencies: [ServiceName.Settings],
    create: (find, scope) => {
      const settings = find(ServiceName.Settings);
      return createHttpOperatorServer({
        boundary: scope.createBoundary(),
        address: settings.operatorListen,
        keyDigests: settings.operatorKeys,
      });
    },
  }));
  kernel.add(createServiceDefinition({
    name: ServiceName.OperatorFront,
    dependencies: [
      ServiceName.Settings,
      ServiceName.Clock,
      ServiceName.OperatorServer,
      ServiceName.Configuration,
      ServiceName.Freshness,
      ServiceName.Membership,
      ServiceName.PeerTransport,
      ServiceName.Presence,
      ServiceName.QuotaShards,
      ServiceName.Shares,
      ServiceName.LogReader,
      ServiceName.Selection,
      ServiceName.Detector,
      ServiceName.Dispatch,
      ServiceName.CallerFront,
      ServiceName.Metrics,
      ServiceName.Logging,
    ],
    create: (find, scope) => {
      const server = find(ServiceName.OperatorServer);
      const logger = find(ServiceName.Logging).createLogger("operators");
      const front = new OperatorFront({
        settings: find(ServiceName.Settings),
        server,
        configuration: find(ServiceName.Configuration),
        freshness: find(ServiceName.Freshness),
        membership: find(ServiceName.Membership),
        transport: find(ServiceName.PeerTransport),
        presence: find(ServiceName.Presence),
        shards: find(ServiceName.QuotaShards),
        shares: find(ServiceName.Shares),
        clock: find(ServiceName.Clock),
        logReader: find(ServiceName.LogReader),
        selection: find(ServiceName.Selection),
        detector: find(ServiceName.Detector),
        dispatch: find(ServiceName.Dispatch),
        callerFront: find(ServiceName.CallerFront),
        metrics: find(ServiceName.Metrics),
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
