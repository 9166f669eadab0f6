/** Requests the state of other VMs, for a VM that may have missed changes. */
import PQueue from "p-queue";
import type { Offset } from "../../model/mod.ts";
import { runWithTimeout } from "../clock/mod.ts";
import type { Clock } from "../clock/mod.ts";
import type { Logger } from "../logging/mod.ts";
import type { Dialer } from "./dialer.ts";
import { Link, LinkKind } from "./link.ts";
import { FleetMessageKind } from "./message.ts";
import type { FleetMessage, Hello, VmEntry } from "./message.ts";

/**
 * Number of VMs whose state is requested. One of them may have missed a change
 * as well.
 */
const SOURCES_WANTED = 3;
/** Maximum number of concurrent requests. */
const REQUESTS_MAX = 4;
/** Timeout of a transfer after the other VM's hello, in milliseconds. */
const TRANSFER_TIMEOUT_MS = 1_000;

/** Dependencies of {@linkcode StateTransfer}. */
export interface StateTransferDependencies {
  readonly clock: Clock;
  readonly dialer: Dialer;
  /** Creates the hello that requests the other VM's state. */
  readonly createHello: () => Hello;
  /** Applies a message of another VM; returns false if that failed. */
  readonly tryApply: (message: FleetMessage, link: Link) => boolean;
  /** Returns the version of this VM's configuration. */
  readonly getVersion: () => Offset;
  readonly logger: Logger;
}

/** Gets configuration, servers and evacuations from other VMs. */
export class StateTransfer {
  readonly #deps: StateTransferDependencies;

  /** Creates a transfer; it does not connect yet. */
  constructor(deps: StateTransferDependencies) {
    this.#deps = deps;
  }

  /**
   * Requests the state of `candidates` in their order, until enough have sent
   * it. Resolves to the number of VMs with a configuration that have sent it.
   */
  async fetchFrom(
    candidates: readonly VmEntry[],
    signal: AbortSignal,
  ): Promise<number> {
    const queue = new PQueue({ concurrency: REQUESTS_MAX });
    let sources = 0;
    await queue.addAll(candidates.map((vm) => async () => {
      if (sources >= SOURCES_WANTED || signal.aborted) return;
      if (await this.#fetchOne(vm, signal)) sources += 1;
    }));
    return sources;
  }

  /** Returns whether this VM now has all that the other one knows. */
  async #fetchOne(vm: VmEntry, signal: AbortSignal): Promise<boolean> {
    const { clock, dialer, createHello, getVersion, logger } = this.#deps;
    const opened = await dialer.connect(vm, createHello(), signal);
    if (opened === undefined) return false;
    const { hello, connection, messages } = opened;
    const link = new Link(
      LinkKind.StateSource,
      hello,
      connection,
      clock.now(),
    );
    const { version } = hello.known;
    if (version > 0) {
      await runWithTimeout(
        clock,
        TRANSFER_TIMEOUT_MS,
        () => this.#applyAll(link, messages),
      );
    }
    link.close();
    const hasAll = version > 0 && getVersion() >= version;
    logger.info("requested the state of another VM", {
      peer: vm.name,
      version,
      hasAll,
    });
    return hasAll;
  }

  /** Applies messages up to the list of VMs, which the source sends last. */
  async #applyAll(
    link: Link,
    messages: AsyncIterator<FleetMessage>,
  ): Promise<void> {
    while (true) {
      const next = await messages.next();
      if (next.done || !this.#deps.tryApply(next.value, link)) return;
      if (next.value.kind === FleetMessageKind.VmsKnown) return;
    }
  }
}
