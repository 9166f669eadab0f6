/** Services that read the configuration from the log and share it. */
import type { Kernel } from "../../kernel/mod.ts";
import {
  createServiceDefinition,
  ServiceName,
} from "../../services/catalog.ts";
import type { Services } from "../../services/catalog.ts";
import { SNAPSHOT_RETENTION_RATIO } from "../../constants.ts";
import { createHttpLogClient } from "../../protocols/log/http_log_client.ts";
import { Configuration } from "../../services/configuration/mod.ts";
import { createLogEvacuations } from "../../services/evacuation/mod.ts";
import { LogReader } from "../../services/log_reader/mod.ts";
import { Relay } from "../../services/relay/mod.ts";
import { Snapshots } from "../../services/snapshots/mod.ts";

/** Adds the services that get the configuration from the log. */
export function addConfiguration(kernel: Kernel<Services>): void {
  kernel.add(createServiceDefinition({
    name: ServiceName.LogClient,
    dependencies: [ServiceName.Settings, ServiceName.Clock],
    create: (find) =>
      createHttpLogClient({
        url: find(ServiceName.Settings).logUrl,
        clock: find(ServiceName.Clock),
      }),
  }));
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
    name: ServiceName.Evacuation,
    dependencies: [ServiceName.Configuration],
    create: (find) => createLogEvacuations(find(ServiceName.Configuration)),
  }));
  kernel.add(createServiceDefinition({
    name: ServiceName.LogReader,
    dependencies: [
      ServiceName.Clock,
      ServiceName.LogClient,
      ServiceName.Configuration,
      ServiceName.Freshness,
      ServiceName.Logging,
    ],
    create: (find, scope) => {
      const reader = new LogReader({
        clock: find(ServiceName.Clock),
        log: find(ServiceName.LogClient),
        configuration: find(ServiceName.Configuration),
        freshness: find(ServiceName.Freshness),
        logger: find(ServiceName.Logging).createLogger("log"),
      });
      scope.addStart(() => scope.runTask((signal) => reader.run(signal)));
      return reader;
    },
  }));
  addRelay(kernel);
  addSnapshots(kernel);
}

function addRelay(kernel: Kernel<Services>): void {
  kernel.add(createServiceDefinition({
    name: ServiceName.Relay,
    dependencies: [
      ServiceName.Clock,
      ServiceName.Random,
      ServiceName.Configuration,
      ServiceName.Membership,
      ServiceName.Logging,
    ],
    create: (find, scope) => {
      const relay = new Relay({
        clock: find(ServiceName.Clock),
        random: find(ServiceName.Random),
        configuration: find(ServiceName.Configuration),
        membership: find(ServiceName.Membership),
        logger: find(ServiceName.Logging).createLogger("relay"),
      });
      scope.addStart(() => scope.runTask((signal) => relay.run(signal)));
      return relay;
    },
  }));
}

function addSnapshots(kernel: Kernel<Services>): void {
  kernel.add(createServiceDefinition({
    name: ServiceName.Snapshots,
    dependencies: [
      ServiceName.Settings,
      ServiceName.Clock,
      ServiceName.Random,
      ServiceName.Configuration,
      ServiceName.Membership,
      ServiceName.LogClient,
      ServiceName.Logging,
    ],
    create: (find, scope) => {
      const { logRetentionMs } = find(ServiceName.Settings);
      const snapshots = new Snapshots({
        clock: find(ServiceName.Clock),
        random: find(ServiceName.Random),
        configuration: find(ServiceName.Configuration),
        membership: find(ServiceName.Membership),
        log: find(ServiceName.LogClient),
        logger: find(ServiceName.Logging).createLogger("snapshots"),
        intervalMs: logRetentionMs * SNAPSHOT_RETENTION_RATIO,
      });
      scope.addStart(() => scope.runTask((signal) => snapshots.run(signal)));
      return snapshots;
    },
  }));
}
