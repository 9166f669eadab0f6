/** Counts of several VMs, exchanged as late as the fleet's hubs do. */
import { UsageLedger } from "../src/services/fleet/usage_ledger.ts";
import type { Usage, UsageSource } from "../src/services/fleet/mod.ts";

/** Time between two reports of a hub, in milliseconds. */
export const REPORT_MS = 250;
/** Reports after which counts of another domain have arrived. */
const REPORTS_LATE = 2;

/** Passes counts among sources, one of each VM. */
export class UsageExchange {
  readonly #sources: readonly UsageSource[];
  readonly #late: (readonly Usage[])[][] = [];
  readonly #ledger = new UsageLedger();

  /** Creates an exchange; the VMs have told each other nothing but zeros. */
  constructor(sources: readonly UsageSource[]) {
    this.#sources = sources;
    this.#sendReports(true);
  }

  /** Lets all VMs report, as they do each {@linkcode REPORT_MS}. */
  sendReports(): void {
    this.#sendReports(false);
  }

  #sendReports(isFirst: boolean): void {
    this.#late.push(this.#sources.map((source) => source.listUsage()));
    if (this.#late.length > REPORTS_LATE) {
      this.#late.shift()?.forEach((usage, vm) =>
        this.#ledger.record(`${vm}`, usage)
      );
    }
    this.#sources.forEach((source, vm) =>
      source.recordOthers(this.#ledger.listOthers(`${vm}`), isFirst)
    );
  }
}
