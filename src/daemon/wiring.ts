/** Wires the parts of the daemon; the one place that knows them all. */
import { Kernel } from "../kernel/mod.ts";
import type { LifeCycleObserver } from "../kernel/mod.ts";
import { createHttpCallerServer } from "../protocols/http/caller_server.ts";
import { createHttpOperatorServer } from "../protocols/http/operator_server.ts";
import { createHttpUpstreamClient } from "../protocols/http/upstream_client.ts";
import { createHttpLogClient } from "../protocols/log/http_log_client.ts";
import { Admission } from "../services/admission/mod.ts";
import { CallerFront } from "../services/caller_front/mod.ts";
import { createServiceDefinition, ServiceName } from "../services/catalog.ts";
import type { Services } from "../services/catalog.ts";
import { createSystemClock } from "../services/clock/mod.ts";
import { Configuration } from "../services/configuration/mod.ts";
import { Dispatch } from "../services/dispatch/mod.ts";
import { Forwarding } from "../services/forwarding/mod.ts";
import { Freshness } from "../services/freshness/mod.ts";
import { LogReader } from "../services/log_reader/mod.ts";
import type { Logging } from "../services/logging/mod.ts";
import { Metrics } from "../services/metrics/mod.ts";
import { OperatorFront } from "../services/operator_front/mod.ts";
import { createSystemRandom } from "../services/random/mod.ts";
import { Selection } from "../services/selection/mod.ts";
import type { DaemonSettings } from "../settings/mod.ts";

/** What the wiring is given. */
export interface WiringOptions {
  /** Resolved settings. */
  settings: DaemonSettings;
  /** Makes the loggers of all parts. */
  logging: Logging;
  /** Told of failed tasks and late stops. */
  observer: LifeCycleObserver;
}

/** Creates a kernel that holds every service of the daemon. */
export function createDaemonKernel(options: WiringOptions): Kernel<Services> {
  const kernel = new Kernel<Services>(options.observer);
  addBasics(kernel, options);
  addConfiguration(kernel);
  addRequestPath(kernel);
  addOperators(kernel);
  return kernel;
}

function addBasics(kernel: Kernel<Services>, options: WiringOptions): void {
  kernel.add(createServiceDefinition({
    name: ServiceName.Settings,
    needs: [],
    create: () => options.settings,
  }));
  kernel.add(createServiceDefinition({
    name: ServiceName.Logging,
    needs: [],
    create: () => options.logging,
  }));
  kernel.add(createServiceDefinition({
    name: ServiceName.Clock,
    needs: [],
    create: () => createSystemClock(),
  }));
  kernel.add(createServiceDefinition({
    name: ServiceName.Random,
    needs: [],
    create: () => createSystemRandom(),
  }));
  kernel.add(createServiceDefinition({
    name: ServiceName.Metrics,
    needs: [],
    create: () => new Metrics(),
  }));
}

function addConfiguration(kernel: Kernel<Services>): void {
  kernel.add(createServiceDefinition({
    name: ServiceName.LogClient,
    needs: [ServiceName.Settings, ServiceName.Clock],
    create: (find) =>
      createHttpLogClient({
        url: find(ServiceName.Settings).logUrl,
        clock: find(ServiceName.Clock),
      }),
  }));
  kernel.add(createServiceDefinition({
    name: ServiceName.Configuration,
    needs: [ServiceName.Settings],
    create: (find) => new Configuration(find(ServiceName.Settings).cell),
  }));
  kernel.add(createServiceDefinition({
    name: ServiceName.Freshness,
    needs: [ServiceName.Clock],
    create: (find) => new Freshness(find(ServiceName.Clock)),
  }));
  kernel.add(createServiceDefinition({
    name: ServiceName.LogReader,
    needs: [
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
}

function addRequestPath(kernel: Kernel<Services>): void {
  kernel.add(createServiceDefinition({
    name: ServiceName.Admission,
    needs: [
      ServiceName.Clock,
      ServiceName.Configuration,
      ServiceName.Freshness,
    ],
    create: (find) =>
      new Admission({
        clock: find(ServiceName.Clock),
        configuration: find(ServiceName.Configuration),
        freshness: find(ServiceName.Freshness),
      }),
  }));
  kernel.add(createServiceDefinition({
    name: ServiceName.Selection,
    needs: [ServiceName.Configuration, ServiceName.Random],
    create: (find) =>
      new Selection({
        configuration: find(ServiceName.Configuration),
        random: find(ServiceName.Random),
      }),
  }));
  kernel.add(createServiceDefinition({
    name: ServiceName.Dispatch,
    needs: [],
    create: () => new Dispatch(),
  }));
  kernel.add(createServiceDefinition({
    name: ServiceName.UpstreamClient,
    needs: [],
    create: (_find, scope) => {
      const client = createHttpUpstreamClient();
      scope.addStop(() => client.close());
      return client;
    },
  }));
  kernel.add(createServiceDefinition({
    name: ServiceName.Forwarding,
    needs: [
      ServiceName.Settings,
      ServiceName.Clock,
      ServiceName.Admission,
      ServiceName.Selection,
      ServiceName.Dispatch,
      ServiceName.UpstreamClient,
      ServiceName.Metrics,
    ],
    create: (find) => {
      const { vm, incarnation } = find(ServiceName.Settings);
      return new Forwarding({
        clock: find(ServiceName.Clock),
        admission: find(ServiceName.Admission),
        selection: find(ServiceName.Selection),
        dispatch: find(ServiceName.Dispatch),
        upstream: find(ServiceName.UpstreamClient),
        metrics: find(ServiceName.Metrics),
        attemptPrefix: `${vm}-${incarnation.toString(36)}`,
      });
    },
  }));
  addCallers(kernel);
}

function addCallers(kernel: Kernel<Services>): void {
  kernel.add(createServiceDefinition({
    name: ServiceName.CallerServer,
    needs: [ServiceName.Settings],
    create: (find) =>
      createHttpCallerServer(find(ServiceName.Settings).callerListen),
  }));
  kernel.add(createServiceDefinition({
    name: ServiceName.CallerFront,
    needs: [
      ServiceName.Clock,
      ServiceName.CallerServer,
      ServiceName.Admission,
      ServiceName.Forwarding,
      ServiceName.Metrics,
      ServiceName.Logging,
    ],
    create: (find, scope) => {
      const server = find(ServiceName.CallerServer);
      const logger = find(ServiceName.Logging).createLogger("callers");
      const front = new CallerFront({
        clock: find(ServiceName.Clock),
        server,
        admission: find(ServiceName.Admission),
        forwarding: find(ServiceName.Forwarding),
        metrics: find(ServiceName.Metrics),
        logger,
      });
      scope.addStart(async () => {
        await server.open();
        logger.info(`listens on port ${server.port}`);
        scope.runTask(() => front.run());
      });
      scope.addStop(() => server.close());
      return front;
    },
  }));
}

function addOperators(kernel: Kernel<Services>): void {
  kernel.add(createServiceDefinition({
    name: ServiceName.OperatorServer,
    needs: [ServiceName.Settings],
    create: (find) => {
      const settings = find(ServiceName.Settings);
      return createHttpOperatorServer({
        address: settings.operatorListen,
        keyDigests: settings.operatorKeys,
      });
    },
  }));
  kernel.add(createServiceDefinition({
    name: ServiceName.OperatorFront,
    needs: [
      ServiceName.Settings,
      ServiceName.OperatorServer,
      ServiceName.Configuration,
      ServiceName.Freshness,
      ServiceName.LogReader,
      ServiceName.Selection,
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
        logReader: find(ServiceName.LogReader),
        selection: find(ServiceName.Selection),
        dispatch: find(ServiceName.Dispatch),
        callerFront: find(ServiceName.CallerFront),
        metrics: find(ServiceName.Metrics),
      });
      scope.addStart(async () => {
        await server.open();
        logger.info(`listens on port ${server.port}`);
        scope.runTask(() => front.run());
      });
      scope.addStop(() => server.close());
      return front;
    },
  }));
}
