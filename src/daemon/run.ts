/** Runs the daemon, from parsing its flags to its exit. */
import process from "node:process";
import yargs from "yargs";
import { hideBin } from "yargs/helpers";
import { STOP_GRACE_RATIO } from "../services/planned_stop/shutdown.ts";
import { createSystemClock } from "../services/clock/mod.ts";
import type { Clock } from "../services/clock/mod.ts";
import { createLogging, formatCause } from "../services/logging/mod.ts";
import type { Logger } from "../services/logging/mod.ts";
import { Counter, Metrics } from "../services/metrics/mod.ts";
import {
  DAEMON_FLAGS,
  formatVariable,
  ResolutionKind,
  resolveDaemonSettings,
} from "../settings/mod.ts";
import type { DaemonSettings } from "../settings/mod.ts";
import { ENVIRONMENT_PREFIX } from "../constants.ts";
import {
  setReloadHandler,
  setRepeatedStopHandler,
  startStop,
  stopRequested,
} from "./signals.ts";
import { ExceptionAction, UncaughtExceptions } from "./uncaught_exceptions.ts";
import { createDaemonKernel } from "./wiring/mod.ts";

const EXIT_FAILURE = 1;
const EXIT_USAGE = 2;

async function parseFlags(): Promise<Record<string, unknown>> {
  const parser = yargs(hideBin(process.argv))
    .scriptName("rhubarbwalld")
    .env(ENVIRONMENT_PREFIX)
    .usage("$0 [flags]\n\nForwards callers' requests to backend servers.")
    .strict()
    .fail((message) => stopOnUsageError([message]));
  for (const [name, flag] of Object.entries(DAEMON_FLAGS)) {
    const fallback = "fallback" in flag ? ` [${flag.fallback}]` : "";
    parser.option(name, {
      type: "string",
      describe: `${flag.description}${fallback} (${formatVariable(name)})`,
    });
  }
  return await parser.parse();
}

function stopOnUsageError(faults: readonly string[]): never {
  for (const fault of faults) process.stderr.write(`rhubarbwalld: ${fault}\n`);
  process.exit(EXIT_USAGE);
}

async function runDaemon(settings: DaemonSettings): Promise<void> {
  const clock = createSystemClock();
  const logging = createLogging({
    level: settings.logLevel,
    format: settings.logFormat,
    vm: settings.vm,
  });
  const logger = logging.createLogger("daemon");
  logger.info(`starting as incarnation ${settings.incarnation}`, {
    incarnation: settings.incarnation,
  });
  const metrics = new Metrics();
  const kernel = createDaemonKernel({
    settings,
    metrics,
    logging,
    observer: {
      recordFailure: (owner, cause) =>
        logger.error(`${owner} failed: ${formatCause(cause)}`),
      recordHandlerFailure: (owner, peer, cause) => {
        metrics.add(Counter.HandlerErrors, owner);
        logger.warn(`${owner} could not handle input: ${formatCause(cause)}`, {
          peer,
        });
      },
    },
  });
  handleUncaught(metrics, clock, logger);
  setRepeatedStopHandler((signal) => {
    logger.info("already stopping; ignored another stop signal", { signal });
  });
  setReloadHandler(() => {
    logger.info("ignored SIGHUP; settings are read only at the start", {
      incarnation: settings.incarnation,
    });
  });
  await kernel.start();
  logger.info(`serving as incarnation ${settings.incarnation}`, {
    incarnation: settings.incarnation,
    failureDomain: settings.failureDomain,
    backing: settings.backing,
  });
  const signal = await stopRequested;
  logger.info("received a stop signal; stopping", { signal });
  const isStopped = await kernel.stop(
    clock.sleep(settings.graceMs * STOP_GRACE_RATIO),
  );
  logger.info(
    isStopped
      ? "stopped"
      : "stopped at the deadline with work still in progress",
  );
  process.exit(isStopped ? 0 : EXIT_FAILURE);
}

/**
 * Handles errors that reach the top of the process. Each task serves one
 * connection or peer, so the failure of one ends no other; if failures go on,
 * the process stops as planned and the platform starts it again.
 */
function handleUncaught(metrics: Metrics, clock: Clock, logger: Logger): void {
  const exceptions = new UncaughtExceptions();
  const handle = (cause: unknown): void => {
    metrics.add(Counter.UncaughtExceptions);
    const action = exceptions.record(clock.now());
    logger.error(`uncaught exception: ${formatCause(cause)}`, { action });
    switch (action) {
      case ExceptionAction.Continue:
        return;
      case ExceptionAction.Stop:
        return startStop("SIGTERM");
    }
  };
  process.on("unhandledRejection", handle);
  process.on("uncaughtException", handle);
}

/** Runs the daemon with this process's flags and environment variables. */
export async function run(): Promise<void> {
  const resolution = resolveDaemonSettings(await parseFlags(), Date.now());
  switch (resolution.kind) {
    case ResolutionKind.Invalid:
      return stopOnUsageError(resolution.errors);
    case ResolutionKind.Resolved:
      return await runDaemon(resolution.settings).catch((cause: unknown) => {
        process.stderr.write(`rhubarbwalld: ${formatCause(cause)}\n`);
        process.exit(EXIT_FAILURE);
      });
  }
}
