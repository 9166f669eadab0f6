/** Exchanges usage counts between VMs, with the delay of the fleet's hubs. */
import { UsageLedger } from "../src/services/fleet/usage_ledger.ts";
import type { Usage, UsageSource } from "../src/services/fleet/mod.ts";

/** Interval between two reports of a hub, in milliseconds. */
export const REPORT_MS = 250;
/** Delay until the counts of a VM arrive at its hub, in reports. */
const DELAY_IN_REPORTS = 2;

/** Hub of one failure domain; a new hub starts without counts. */
class Hub {
  /** Counts of the VMs of the hub's failure domain. */
  readonly domainUsage = new UsageLedger();
  /** Counts of the other failure domains. */
  readonly otherDomainsUsage = new UsageLedger();
  /** Identifies the hub to the other hubs. */
  readonly origin: string;
  /** Number of reports to skip, as while followers search for a new hub. */
  skips: number;
  /** Whether the hub has not sent a report yet. */
  isNew = true;

  constructor(origin: string, skips: number) {
    this.origin = origin;
    this.skips = skips;
  }
}

/** Relays counts through hubs between sources; each VM has one source. */
export class UsageExchange {
  readonly #sources: readonly UsageSource[];
  readonly #delayedReports: (readonly Usage[])[][] = [];
  readonly #hubs: Hub[];
  #reports = 0;

  /** Creates an exchange, and sends first reports, which contain no counts. */
  constructor(sources: readonly UsageSource[], domains = 1) {
    this.#sources = sources;
    this.#hubs = Array.from(
      { length: domains },
      (_hub, domain) => new Hub(`${domain}`, 0),
    );
    this.sendReports();
  }

  /** Sends a report of every VM and hub; call it each {@linkcode REPORT_MS}. */
  sendReports(): void {
    this.#delayedReports.push(
      this.#sources.map((source) => source.listUsage()),
    );
    const arrived = this.#delayedReports.length > DELAY_IN_REPORTS
      ? this.#delayedReports.shift()
      : undefined;
    const hubs = this.#hubs.filter((hub) => hub.skips === 0);
    for (const hub of this.#hubs) hub.skips = Math.max(0, hub.skips - 1);
    for (const hub of hubs) {
      arrived?.forEach((usage, vm) => {
        if (this.#getHub(vm) === hub) hub.domainUsage.record(`${vm}`, usage);
      });
    }
    this.#reports += 1;
    sendBetweenHubs(hubs);
    this.#sources.forEach((source, vm) => {
      const hub = this.#getHub(vm);
      if (hub === undefined || !hubs.includes(hub)) return;
      const others = [
        ...hub.domainUsage.listOthers(`${vm}`),
        ...hub.otherDomainsUsage.listOthers(""),
      ];
      source.recordOthers(mergeByName(others), hub.isNew);
    });
    for (const hub of hubs) hub.isNew = false;
  }

  /** Replaces a domain's hub; the new hub skips its first `skips` reports. */
  replaceHub(domain: number, skips: number): void {
    const index = domain % this.#hubs.length;
    this.#hubs[index] = new Hub(`${index} since ${this.#reports}`, skips);
  }

  #getHub(vm: number): Hub | undefined {
    return this.#hubs[vm % this.#hubs.length];
  }
}

function sendBetweenHubs(hubs: readonly Hub[]): void {
  for (const from of hubs) {
    const usage = from.domainUsage.listOthers("");
    for (const to of hubs) {
      if (to !== from) to.otherDomainsUsage.record(from.origin, usage);
    }
  }
}

function mergeByName(usage: readonly Usage[]): Usage[] {
  const sums = new Map<string, Usage>();
  for (const { name, admitted, asked } of usage) {
    const sum = sums.get(name) ?? { name, admitted: 0, asked: 0 };
    sums.set(name, {
      name,
      admitted: sum.admitted + admitted,
      asked: sum.asked + asked,
    });
  }
  return [...sums.values()];
}
