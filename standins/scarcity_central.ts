/** Central queues with complete and current information, for comparison. */
import type { ScarcityServer } from "./scarcity_server.ts";
import type { SimulatedRequest } from "./scarcity_result.ts";

/** How a central queue decides. */
export enum CentralKind {
  /** Most urgent first; requests that can't be in time are refused at once. */
  InTime = "in_time",
  /** Most urgent first; requests wait until their deadline. */
  StrictPriority = "strict_priority",
}

interface Waiting {
  readonly request: SimulatedRequest;
  /** Resolves with the server; without one, the request is refused. */
  readonly resolve: (server: ScarcityServer | undefined) => void;
}

/** Options of {@linkcode CentralQueue}. */
export interface CentralOptions {
  readonly kind: CentralKind;
  readonly servers: readonly ScarcityServer[];
  /**
   * Longest expected wait at arrival, relative to the longest with which the
   * response is in time.
   */
  readonly waitRatio: number;
  /** Share of all requests' rate at which each kind is served at least. */
  readonly minRatio: number;
  readonly getNow: () => number;
  readonly getSpeed: () => number;
}

/** Assigns requests to free slots as soon as there are any. */
export class CentralQueue {
  readonly #options: CentralOptions;
  #waiting: Waiting[] = [];
  readonly #counts = new Map<string, { requests: number; accepted: number }>();
  /** Slots that are assigned and not yet in use. */
  #assigned = new Map<ScarcityServer, number>();

  constructor(options: CentralOptions) {
    this.#options = options;
  }

  /** Waits for a slot; undefined if the request is refused. */
  acquire(request: SimulatedRequest): Promise<ScarcityServer | undefined> {
    const { name } = request.kind;
    const counts = this.#counts.get(name) ?? { requests: 0, accepted: 0 };
    this.#counts.set(name, counts);
    counts.requests += 1;
    if (!this.#isAccepted(request)) return Promise.resolve(undefined);
    counts.accepted += 1;
    return new Promise((resolve) => {
      this.#waiting.push({ request, resolve });
      this.advance();
    });
  }

  /** Assigns free slots, and refuses what can't end before its deadline. */
  advance(): void {
    this.#expire();
    while (this.#waiting.length > 0) {
      const server = this.#findFree();
      if (server === undefined) return;
      const next = this.#getNext();
      this.#waiting.splice(this.#waiting.indexOf(next), 1);
      this.#assigned.set(server, (this.#assigned.get(server) ?? 0) + 1);
      next.resolve(server);
    }
  }

  /** Records that an assigned slot is in use. */
  recordStart(server: ScarcityServer): void {
    this.#assigned.set(server, (this.#assigned.get(server) ?? 1) - 1);
  }

  #isAccepted({ kind }: SimulatedRequest): boolean {
    const { kind: policy, waitRatio, getSpeed } = this.#options;
    switch (policy) {
      case CentralKind.StrictPriority:
        return true;
      case CentralKind.InTime: {
        if (this.#findFree() !== undefined && this.#waiting.length === 0) {
          return true;
        }
        const aheadMs = this.#waiting
          .filter(({ request }) => request.kind.priority <= kind.priority)
          .reduce((sum, { request }) => sum + request.kind.workMs, 0);
        const waitMs = aheadMs / getSpeed() / this.#countSlots();
        const slackMs = kind.targetMs - kind.workMs / getSpeed();
        return waitMs <= slackMs * waitRatio || this.#isStarving(kind.name);
      }
    }
  }

  #isStarving(name: string): boolean {
    let requests = 0;
    let accepted = 0;
    for (const counts of this.#counts.values()) {
      requests += counts.requests;
      accepted += counts.accepted;
    }
    const own = this.#counts.get(name);
    return own !== undefined &&
      own.accepted / own.requests <
        this.#options.minRatio * accepted / requests;
  }

  #countSlots(): number {
    return this.#options.servers
      .reduce((sum, server) => sum + (server.isUp ? server.slots : 0), 0);
  }

  #findFree(): ScarcityServer | undefined {
    return this.#options.servers.find((server) =>
      server.isUp &&
      server.running + (this.#assigned.get(server) ?? 0) < server.slots
    );
  }

  /** Most urgent first among those in time, then those that will be late. */
  #getNext(): Waiting {
    const now = this.#options.getNow();
    const isLate = ({ request }: Waiting): boolean =>
      now + request.kind.workMs / this.#options.getSpeed() >
        request.sentAt + request.kind.targetMs;
    const compute = (waiting: Waiting): number =>
      (isLate(waiting) ? 10 : 0) + waiting.request.kind.priority;
    return this.#waiting.reduce((best, other) =>
      compute(other) < compute(best) ? other : best
    );
  }

  #expire(): void {
    const now = this.#options.getNow();
    const isExpired = ({ request }: Waiting): boolean =>
      now + request.kind.workMs > request.sentAt + request.kind.timeoutMs;
    const expired = this.#waiting.filter(isExpired);
    this.#waiting = this.#waiting.filter((waiting) => !isExpired(waiting));
    for (const { resolve } of expired) resolve(undefined);
  }
}
