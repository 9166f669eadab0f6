/** Basic services: settings, logging, clock, randomness and metrics. */
import type { Kernel } from "../../kernel/mod.ts";
import {
  createServiceDefinition,
  ServiceName,
} from "../../services/catalog.ts";
import type { Services } from "../../services/catalog.ts";
import { createSystemClock } from "../../services/clock/mod.ts";
import type { Logging } from "../../services/logging/mod.ts";
import type { Metrics } from "../../services/metrics/mod.ts";
import { createSystemRandom } from "../../services/random/mod.ts";
import type { DaemonSettings } from "../../settings/mod.ts";

/** Options of {@linkcode addBasics}. */
export interface BasicsOptions {
  /** Resolved settings. */
  settings: DaemonSettings;
  /** Creates the loggers of all services. */
  logging: Logging;
  /** Counters that exist before the kernel, so that its failures count. */
  metrics: Metrics;
}

/** Adds the services that all others depend on. */
export function addBasics(
  kernel: Kernel<Services>,
  options: BasicsOptions,
): void {
  kernel.add(createServiceDefinition({
    name: ServiceName.Settings,
    dependencies: [],
    create: () => options.settings,
  }));
  kernel.add(createServiceDefinition({
    name: ServiceName.Logging,
    dependencies: [],
    create: () => options.logging,
  }));
  kernel.add(createServiceDefinition({
    name: ServiceName.Clock,
    dependencies: [],
    create: () => createSystemClock(),
  }));
  kernel.add(createServiceDefinition({
    name: ServiceName.Random,
    dependencies: [],
    create: () => createSystemRandom(),
  }));
  kernel.add(createServiceDefinition({
    name: ServiceName.Metrics,
    dependencies: [],
    create: () => options.metrics,
  }));
}
