/** Memory budget service: bounds the data held for callers and servers. */
import type { MemoryLimits, ServerId } from "../../model/mod.ts";
import type { Clock } from "../clock/mod.ts";
import type { Logger } from "../logging/mod.ts";
import { Counter } from "../metrics/mod.ts";
import type { Metrics } from "../metrics/mod.ts";

/** Bounds that a request can reach; the values are labels of metrics. */
export enum Bound {
  Connection = "connection",
  Server = "server",
  Vm = "vm",
}

/** What happens at a bound. */
enum BoundEffect {
  Refused = "refused",
  NotBuffered = "not_buffered",
}

/** What data is held for. */
export type MemoryScope =
  /** A caller's connection; counts towards it and towards this VM. */
  | { readonly kind: Bound.Connection; readonly connection: string }
  /** Bodies in flight to a server; they count towards its memory only. */
  | { readonly kind: Bound.Server; readonly server: ServerId };

/** Kinds of {@linkcode MemoryDecision}. */
export enum MemoryDecisionKind {
  Held = "held",
  Full = "full",
}

/** Result of {@linkcode MemoryBudget.acquire}. */
export type MemoryDecision =
  | { readonly kind: MemoryDecisionKind.Held; readonly hold: MemoryHold }
  | { readonly kind: MemoryDecisionKind.Full; readonly bound: Bound };

/** Bytes that one request holds, until they are released. */
export interface MemoryHold {
  /** Tries to hold more bytes; if not, they must not be buffered. */
  tryAdd(bytes: number): boolean;
  /** Releases all bytes; further calls change nothing. */
  release(): void;
}

/** A hold without a bound, for data that is not kept. */
export const UNBOUNDED_HOLD: MemoryHold = {
  tryAdd: () => true,
  release: () => {},
};

/**
 * Bytes that a running request needs even if its bodies are streamed: one read
 * of the caller, one of the server, and the buffers of the streams.
 */
export const REQUEST_BYTES = 65_536;
/**
 * Share of the VM's limit that buffers may fill, so that requests which only
 * stream still run when buffering is no longer possible.
 */
const BUFFER_RATIO = 0.5;

/** Minimum time between two log lines about the same bound and effect. */
const LOG_INTERVAL_MS = 1_000;

/** Dependencies of {@linkcode MemoryBudget}. */
export interface MemoryBudgetDependencies {
  readonly clock: Clock;
  readonly limits: MemoryLimits;
  readonly metrics: Metrics;
  readonly logger: Logger;
}

/** Counts held bytes and decides whether more may be held. */
export class MemoryBudget {
  readonly #deps: MemoryBudgetDependencies;
  readonly #connections = new Map<string, number>();
  readonly #servers = new Map<ServerId, number>();
  /** Time of the last log line about a bound and its effect. */
  readonly #loggedAt = new Map<string, number>();
  #vmBytes = 0;

  /** Creates a budget of which nothing is used. */
  constructor(deps: MemoryBudgetDependencies) {
    this.#deps = deps;
  }

  /** Bytes that are held for all connections of callers. */
  get usedBytes(): number {
    return this.#vmBytes;
  }

  /** Holds bytes for a request, unless a limit is reached. */
  acquire(scope: MemoryScope, bytes: number): MemoryDecision {
    const bound = this.#findReachedBound(scope, bytes, 1);
    if (bound !== undefined) {
      this.#recordBound(bound, BoundEffect.Refused);
      return { kind: MemoryDecisionKind.Full, bound };
    }
    this.#add(scope, bytes);
    return {
      kind: MemoryDecisionKind.Held,
      hold: this.#createHold(scope, bytes),
    };
  }

  #createHold(scope: MemoryScope, initialBytes: number): MemoryHold {
    let heldBytes = initialBytes;
    let isReleased = false;
    return {
      tryAdd: (bytes) => {
        // The request has ended; what is still read for it is not kept.
        if (isReleased) return false;
        const bound = this.#findReachedBound(scope, bytes, BUFFER_RATIO);
        if (bound !== undefined) {
          this.#recordBound(bound, BoundEffect.NotBuffered);
          return false;
        }
        this.#add(scope, bytes);
        heldBytes += bytes;
        return true;
      },
      release: () => {
        if (isReleased) return;
        isReleased = true;
        this.#add(scope, -heldBytes);
      },
    };
  }

  /** Returns the bound that `bytes` more would exceed, if any. */
  #findReachedBound(
    scope: MemoryScope,
    bytes: number,
    vmRatio: number,
  ): Bound | undefined {
    const { connectionBytes, serverBytes, vmBytes } = this.#deps.limits;
    switch (scope.kind) {
      case Bound.Connection: {
        if (this.#vmBytes + bytes > vmBytes * vmRatio) return Bound.Vm;
        const used = this.#connections.get(scope.connection) ?? 0;
        return isExceeded(used, bytes, connectionBytes)
          ? Bound.Connection
          : undefined;
      }
      case Bound.Server: {
        const used = this.#servers.get(scope.server) ?? 0;
        return isExceeded(used, bytes, serverBytes) ? Bound.Server : undefined;
      }
    }
  }

  #add(scope: MemoryScope, bytes: number): void {
    switch (scope.kind) {
      case Bound.Connection:
        this.#vmBytes += bytes;
        return addTo(this.#connections, scope.connection, bytes);
      case Bound.Server:
        return addTo(this.#servers, scope.server, bytes);
    }
  }

  #recordBound(bound: Bound, effect: BoundEffect): void {
    const { clock, logger, metrics } = this.#deps;
    const label = `${bound}_${effect}`;
    metrics.add(Counter.MemoryBounds, label);
    const now = clock.now();
    if (now - (this.#loggedAt.get(label) ?? -Infinity) < LOG_INTERVAL_MS) {
      return;
    }
    this.#loggedAt.set(label, now);
    logger.warn("reached a bound of the memory budget", {
      bound,
      effect,
      usedBytes: this.#vmBytes,
    });
  }
}

/** Whether a limit is exceeded; a single item may be larger than the limit. */
function isExceeded(used: number, bytes: number, limit: number): boolean {
  return used > 0 && used + bytes > limit;
}

/** Adds to the value of a key; a key with the value 0 is removed. */
function addTo(values: Map<string, number>, key: string, bytes: number): void {
  const value = (values.get(key) ?? 0) + bytes;
  if (value === 0) values.delete(key);
  else values.set(key, value);
}
