/** A VM's client of a log in memory, in virtual time. */
import type { ConfigurationRecord } from "../src/model/mod.ts";
import {
  decodeEntry,
  encodeRecord,
} from "../src/protocols/log/record_codec.ts";
import { AppendKind, ReadKind } from "../src/services/log_client/mod.ts";
import type {
  AppendResult,
  LogClient,
  ReadRequest,
  ReadResult,
} from "../src/services/log_client/mod.ts";
import { LogMode } from "./log_standin.ts";
import type { MemoryLog } from "./log_standin.ts";
import type { VirtualClock } from "./virtual_clock.ts";

const FAILED: ReadResult = { kind: ReadKind.Failed, reason: "down" };

/** Reads and appends with a latency in each direction; can be partitioned. */
export class MemoryLogClient implements LogClient {
  /** Whether this client is partitioned from the log. */
  isPartitioned = false;
  readonly #log: MemoryLog;
  readonly #clock: VirtualClock;
  readonly #latencyMs: number;

  /** Creates a client of `log`; `latencyMs` applies to each direction. */
  constructor(log: MemoryLog, clock: VirtualClock, latencyMs: number) {
    this.#log = log;
    this.#clock = clock;
    this.#latencyMs = latencyMs;
  }

  /** Appends a record; the response may be lost after it took effect. */
  async append(record: ConfigurationRecord): Promise<AppendResult> {
    await this.#clock.sleep(this.#latencyMs);
    if (this.#isDown()) return { kind: AppendKind.Refused, reason: "down" };
    const offset = this.#log.append(encodeRecord(record));
    await this.#clock.sleep(this.#latencyMs);
    if (this.#log.mode === LogMode.LoseResponses) {
      return { kind: AppendKind.Unknown, reason: "the response was lost" };
    }
    return { kind: AppendKind.Acknowledged, offset };
  }

  /** Reads entries; waits for the first one like the log service does. */
  async read(request: ReadRequest, signal?: AbortSignal): Promise<ReadResult> {
    await this.#clock.sleep(this.#latencyMs, signal);
    if (this.#isDown()) return FAILED;
    if (this.#log.mode === LogMode.Slow) {
      await this.#clock.sleep(this.#log.delayMs, signal);
    }
    const { first, head } = this.#log;
    if (request.from < first) return { kind: ReadKind.Trimmed, first, head };
    if (head < request.from) await this.#waitForEntry(request, signal);
    if (this.#isDown()) return FAILED;
    const entries = this.#log.list(request.from, request.limit);
    const result: ReadResult = {
      kind: ReadKind.Entries,
      first: this.#log.first,
      head: this.#log.head,
      entries: entries.map((entry) => decodeEntry(entry.offset, entry.body)),
    };
    await this.#clock.sleep(this.#latencyMs, signal);
    return result;
  }

  async #waitForEntry(
    request: ReadRequest,
    signal?: AbortSignal,
  ): Promise<void> {
    await Promise.race([
      this.#log.waitFor(request.from),
      this.#clock.sleep(request.waitMs, signal),
    ]);
  }

  #isDown(): boolean {
    return this.isPartitioned || this.#log.mode === LogMode.Down;
  }
}
