/** Composes the daemon; the only module that knows all of its services. */
import { Kernel } from "../../kernel/mod.ts";
import type { LifeCycleObserver } from "../../kernel/mod.ts";
import { PLATFORM_DIALECT } from "../../../platform/dialect.ts";
import { Backing } from "../../model/mod.ts";
import { DEFAULT_DIALECT } from "../../protocols/http/dialect.ts";
import type { Services } from "../../services/catalog.ts";
import { addBasics } from "./basics.ts";
import type { BasicsOptions } from "./basics.ts";
import { addCallerFront, addCellCallers } from "./callers.ts";
import { addCell } from "./cell.ts";
import { addConfiguration } from "./configuration.ts";
import { addFleet } from "./fleet.ts";
import { addOperators } from "./operators.ts";
import { addPlatform } from "./platform.ts";
import { addRequestPath } from "./request_path.ts";

/** Options of {@linkcode createDaemonKernel}. */
export interface WiringOptions extends BasicsOptions {
  /** Notified of failed tasks, and of stops that exceed their deadline. */
  observer: LifeCycleObserver;
}

/** Creates a kernel with all services of the daemon. */
export function createDaemonKernel(options: WiringOptions): Kernel<Services> {
  const kernel = new Kernel<Services>(options.observer);
  addBasics(kernel, options);
  switch (options.settings.backing) {
    case Backing.Log:
      addConfiguration(kernel);
      addCell(kernel);
      addRequestPath(kernel, DEFAULT_DIALECT);
      addOperators(kernel);
      addCallerFront(kernel, DEFAULT_DIALECT);
      addCellCallers(kernel);
      return kernel;
    case Backing.Platform:
      addFleet(kernel);
      addPlatform(kernel);
      addRequestPath(kernel, PLATFORM_DIALECT);
      addCallerFront(kernel, PLATFORM_DIALECT);
      return kernel;
  }
}
