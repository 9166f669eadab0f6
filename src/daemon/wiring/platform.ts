/** Services of the adapter to the users' platform. */
import type { Kernel } from "../../kernel/mod.ts";
import { createDiscovery } from "../../../platform/discovery.ts";
import {
  createDocumentSource,
  createServerSource,
} from "../../../platform/sources.ts";
import { createStoreClient } from "../../../platform/store_client.ts";
import type { StoreClient } from "../../../platform/store_client.ts";
import { createVmDirectory } from "../../../platform/vm_directory.ts";
import { createMetricsServer } from "../../protocols/http/metrics_server.ts";
import {
  createServiceDefinition,
  ServiceName,
} from "../../services/catalog.ts";
import type { Services } from "../../services/catalog.ts";
import type { DaemonSettings } from "../../settings/mod.ts";

/** Adds the services that connect to the platform or serve its requests. */
export function addPlatform(kernel: Kernel<Services>): void {
  let store: StoreClient | undefined;
  const getStore = (settings: DaemonSettings): StoreClient =>
    store ??= createStoreClient(settings.storeAddress);
  kernel.add(createServiceDefinition({
    name: ServiceName.DocumentSource,
    dependencies: [ServiceName.Settings],
    create: (find) => {
      const settings = find(ServiceName.Settings);
      return createDocumentSource(getStore(settings), settings.cell);
    },
  }));
  kernel.add(createServiceDefinition({
    name: ServiceName.ServerSource,
    dependencies: [ServiceName.Settings],
    create: (find) => createServerSource(getStore(find(ServiceName.Settings))),
  }));
  kernel.add(createServiceDefinition({
    name: ServiceName.StoreEras,
    dependencies: [ServiceName.Settings],
    create: (find) => getStore(find(ServiceName.Settings)).eras,
  }));
  kernel.add(createServiceDefinition({
    name: ServiceName.VmDirectory,
    dependencies: [ServiceName.Settings],
    create: (find, scope) => {
      const client = getStore(find(ServiceName.Settings));
      scope.addStop(() => client.close());
      return createVmDirectory(client);
    },
  }));
  kernel.add(createServiceDefinition({
    name: ServiceName.Discovery,
    dependencies: [
      ServiceName.Settings,
      ServiceName.FleetAddresses,
      ServiceName.Readiness,
    ],
    create: (find, scope) => {
      const { readyListen, directoryListen } = find(ServiceName.Settings);
      const addresses = find(ServiceName.FleetAddresses);
      const readiness = find(ServiceName.Readiness);
      const discovery = createDiscovery({
        boundary: scope.createBoundary(),
        readyListen,
        directoryListen,
        isReady: () => readiness.isReady(),
        selectAddresses: (failureDomain) =>
          addresses.selectForDomain(failureDomain),
      });
      scope.addStart(() => discovery.open());
      scope.addStop(() => discovery.close());
      return discovery;
    },
  }));
  kernel.add(createServiceDefinition({
    name: ServiceName.MetricsServer,
    dependencies: [ServiceName.Settings, ServiceName.Metrics],
    create: (find, scope) => {
      const metrics = find(ServiceName.Metrics);
      const server = createMetricsServer(
        find(ServiceName.Settings).metricsListen,
        scope.createBoundary(),
        () => metrics.formatText(),
      );
      scope.addStart(() => server.open());
      scope.addStop(() => server.close());
      return server;
    },
  }));
}
