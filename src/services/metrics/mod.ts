/** Metrics service: counters and latency histograms of one process. */
import { build } from "hdr-histogram-js";
import type { Histogram } from "hdr-histogram-js";

const US_PER_MS = 1_000;
const MAX_LATENCY_US = 600_000_000;
const SIGNIFICANT_DIGITS = 2;
/** Maximum number of routes with a histogram; the oldest one is evicted. */
const MAX_ROUTES = 512;
const PERCENTILES = [50, 90, 99, 99.9] as const;

/** Counters; the values are the names in reports. */
export enum Counter {
  Requests = "requests",
  Responses = "answers",
  Attempts = "attempts",
  Retries = "retries",
  Hedges = "hedges",
  LateChoices = "late_choices",
  StoreReads = "store_reads",
  StoreEras = "store_eras",
  Refusals = "refusals",
  Pipelined = "pipelined",
  Dropped = "dropped",
  MemoryBounds = "memory_bounds",
  Evacuations = "evacuations",
  ServerNotices = "server_notices",
  ColdServers = "cold_servers",
  WarmUpPermits = "warm_up_permits",
  HandlerErrors = "handler_errors",
  UncaughtExceptions = "uncaught_exceptions",
}

/** Help text of each counter, for scrapers. */
const COUNTER_HELP: Readonly<Record<Counter, string>> = {
  [Counter.Requests]: "Requests received from callers.",
  [Counter.Responses]: "Responses of servers that were forwarded to callers.",
  [Counter.Attempts]: "Requests sent to servers, including retries.",
  [Counter.Retries]: "Retries charged to the retry budget.",
  [Counter.Hedges]: "Hedges: requests also sent to a second server.",
  [Counter.LateChoices]:
    "Requests not sent to the selected server after a wait for it.",
  [Counter.StoreReads]: "Reads of the store, by stream.",
  [Counter.StoreEras]: "New eras of the store, which was restored from a copy.",
  [Counter.ServerNotices]:
    "Servers whose responses said that they leave or want a pause, by kind.",
  [Counter.ColdServers]:
    "Times at which a server with a warm-up limit became cold.",
  [Counter.WarmUpPermits]:
    "Permits to send a request to a cold server, granted or denied.",
  [Counter.HandlerErrors]:
    "Errors of listeners while they handled input, by service.",
  [Counter.UncaughtExceptions]: "Exceptions that no code caught.",
  [Counter.Pipelined]:
    "Requests read while others of their connection ran, by kind.",
  [Counter.MemoryBounds]:
    "Times that a bound of the memory budget was reached, by bound and effect.",
  [Counter.Dropped]:
    "Requests not run because their connection closed before their turn.",
  [Counter.Evacuations]:
    "Failure domains of which this VM learned that they are evacuated, or in use again.",
  [Counter.Refusals]: "Requests refused without a server's response, by kind.",
};

/** Values that rise and fall; they are read when metrics are formatted. */
export enum Gauge {
  ServerConnections = "server_connections",
  ServerTurns = "server_turns",
}

/** Help text of each gauge, for scrapers. */
const GAUGE_HELP: Readonly<Record<Gauge, string>> = {
  [Gauge.ServerConnections]:
    "Connections to servers in use and idle, and requests waiting for one.",
  [Gauge.ServerTurns]: "Requests running or waiting for their turn at servers.",
};

/** Reads a gauge: its value for each value of its label `state`. */
export type GaugeReader = () => Readonly<Record<string, number>>;

/** Latency of one route, in milliseconds. */
export interface LatencyReport {
  readonly count: number;
  readonly p50: number;
  readonly p90: number;
  readonly p99: number;
  readonly p999: number;
}

/** Counters and latencies of a process. */
export interface MetricsReport {
  readonly counters: Readonly<Record<string, number>>;
  readonly latencyMs: Readonly<Record<string, LatencyReport>>;
}

/** Counts events and records latencies. */
export class Metrics {
  readonly #counters = new Map<string, number>();
  readonly #latencies = new Map<string, Histogram>();
  readonly #gauges = new Map<Gauge, GaugeReader>();

  /** Increments a counter; `label` is the value of its label `kind`, if any. */
  add(counter: Counter, label = ""): void {
    const name = label === "" ? counter : `${counter}{kind="${label}"}`;
    this.#counters.set(name, (this.#counters.get(name) ?? 0) + 1);
  }

  /** Sets the function that reads a gauge. */
  setGauge(gauge: Gauge, reader: GaugeReader): void {
    this.#gauges.set(gauge, reader);
  }

  /** Records the latency of a request of a route, in milliseconds. */
  recordLatency(route: string, ms: number): void {
    const histogram = this.#latencies.get(route) ?? this.#addRoute(route);
    histogram.recordValue(Math.min(MAX_LATENCY_US, Math.round(ms * US_PER_MS)));
  }

  /** Returns all counters and latencies. */
  getReport(): MetricsReport {
    const latencyMs: Record<string, LatencyReport> = {};
    for (const [route, histogram] of this.#latencies) {
      const [p50 = 0, p90 = 0, p99 = 0, p999 = 0] = PERCENTILES.map(
        (percentile) => histogram.getValueAtPercentile(percentile) / US_PER_MS,
      );
      latencyMs[route] = { count: histogram.totalCount, p50, p90, p99, p999 };
    }
    return { counters: Object.fromEntries(this.#counters), latencyMs };
  }

  /** Formats all counters, gauges and latencies in the Prometheus text format. */
  formatText(): string {
    const lines: string[] = [];
    for (const counter of Object.values(Counter)) {
      lines.push(
        `# HELP rhubarbwall_${counter} ${COUNTER_HELP[counter]}`,
        `# TYPE rhubarbwall_${counter} counter`,
      );
      for (const [name, value] of this.#counters) {
        const isOfCounter = name === counter || name.startsWith(`${counter}{`);
        if (isOfCounter) lines.push(`rhubarbwall_${name} ${value}`);
      }
    }
    for (const [gauge, reader] of this.#gauges) {
      lines.push(
        `# HELP rhubarbwall_${gauge} ${GAUGE_HELP[gauge]}`,
        `# TYPE rhubarbwall_${gauge} gauge`,
      );
      for (const [state, value] of Object.entries(reader())) {
        lines.push(`rhubarbwall_${gauge}{state="${state}"} ${value}`);
      }
    }
    lines.push(
      "# HELP rhubarbwall_latency_seconds Time from arrival to response.",
      "# TYPE rhubarbwall_latency_seconds summary",
    );
    for (const [route, histogram] of this.#latencies) {
      for (const percentile of PERCENTILES) {
        const seconds = histogram.getValueAtPercentile(percentile) / 1e6;
        const quantile = percentile / 100;
        lines.push(
          `rhubarbwall_latency_seconds{route="${route}",quantile="${quantile}"} ${seconds}`,
        );
      }
      lines.push(
        `rhubarbwall_latency_seconds_count{route="${route}"} ${histogram.totalCount}`,
      );
    }
    return lines.join("\n") + "\n";
  }

  #addRoute(route: string): Histogram {
    if (this.#latencies.size >= MAX_ROUTES) {
      const oldest = this.#latencies.keys().next();
      if (!oldest.done) this.#latencies.delete(oldest.value);
    }
    const histogram = build({
      lowestDiscernibleValue: 1,
      highestTrackableValue: MAX_LATENCY_US,
      numberOfSignificantValueDigits: SIGNIFICANT_DIGITS,
    });
    this.#latencies.set(route, histogram);
    return histogram;
  }
}
