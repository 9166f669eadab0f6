/** Log reader service: reads the log continuously and applies its entries. */
import {
  LOG_POLL_WAIT_MS,
  LOG_READ_LIMIT_ENTRIES,
  LOG_RETRY_MAX_MS,
  LOG_RETRY_MIN_MS,
} from "../../constants.ts";
import type { Clock } from "../clock/mod.ts";
import type { Configuration } from "../configuration/mod.ts";
import type { FreshnessSource } from "../freshness/mod.ts";
import { ReadKind } from "../log_client/mod.ts";
import type { LogClient, ReadResult } from "../log_client/mod.ts";
import type { Logger } from "../logging/mod.ts";
import { loadFromLog } from "./recovery.ts";

/** Dependencies of {@linkcode LogReader}. */
export interface LogReaderDependencies {
  readonly clock: Clock;
  readonly log: LogClient;
  readonly configuration: Configuration;
  readonly freshness: FreshnessSource;
  readonly logger: Logger;
}

/** State of the reader, for dumps. */
export interface LogReaderReport {
  /** Offset of the log's newest entry, as of the last read. */
  readonly head: number;
  /** Reason why the last read failed; empty if it succeeded. */
  readonly lastFailure: string;
}

/** Reads the log and applies its entries to the configuration. */
export class LogReader {
  readonly #deps: LogReaderDependencies;
  #head = 0;
  #lastFailure = "";
  #retryMs = LOG_RETRY_MIN_MS;

  /** Creates a reader that hasn't read anything yet. */
  constructor(deps: LogReaderDependencies) {
    this.#deps = deps;
  }

  /** Returns the reader's state. */
  getReport(): LogReaderReport {
    return { head: this.#head, lastFailure: this.#lastFailure };
  }

  /** Reads and applies entries until `signal` aborts. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const requestedAt = this.#deps.clock.now();
      const result = await this.#deps.log.read({
        from: this.#deps.configuration.offset + 1,
        limit: LOG_READ_LIMIT_ENTRIES,
        waitMs: LOG_POLL_WAIT_MS,
      }, signal);
      if (signal.aborted) return;
      const isRead = await this.#applyResult(result, requestedAt, signal);
      if (isRead) this.#setRecovered();
      else await this.#waitForRetry(signal);
    }
  }

  async #applyResult(
    result: ReadResult,
    requestedAt: number,
    signal: AbortSignal,
  ): Promise<boolean> {
    switch (result.kind) {
      case ReadKind.Entries:
        this.#head = result.head;
        for (const entry of result.entries) {
          this.#deps.configuration.apply(entry);
        }
        if (this.#deps.configuration.offset >= result.head) {
          this.#deps.freshness.recordLogRead(requestedAt);
        }
        return true;
      case ReadKind.Trimmed:
        this.#head = result.head;
        return await this.#loadSnapshot(result.first, signal);
      case ReadKind.Failed:
        this.#deps.freshness.recordLogFailure(requestedAt);
        this.#setFailure(result.reason);
        return false;
    }
  }

  async #loadSnapshot(first: number, signal: AbortSignal): Promise<boolean> {
    const { log, configuration, logger } = this.#deps;
    const isLoaded = await loadFromLog({ log, configuration }, first, signal);
    if (isLoaded) {
      logger.info(`loaded a snapshot; offset is ${configuration.offset}`);
      return true;
    }
    this.#setFailure("the log was trimmed and contains no complete snapshot");
    return false;
  }

  #setFailure(reason: string): void {
    if (this.#lastFailure === "") {
      this.#deps.logger.warn(`cannot read the log: ${reason}`);
    }
    this.#lastFailure = reason;
  }

  #setRecovered(): void {
    this.#retryMs = LOG_RETRY_MIN_MS;
    if (this.#lastFailure === "") return;
    this.#lastFailure = "";
    this.#deps.logger.info("can read the log again");
  }

  async #waitForRetry(signal: AbortSignal): Promise<void> {
    await this.#deps.clock.sleep(this.#retryMs, signal);
    this.#retryMs = Math.min(this.#retryMs * 2, LOG_RETRY_MAX_MS);
  }
}
