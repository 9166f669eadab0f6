/** Dispatch service: bounded concurrency, with fair queuing among teams. */
import PQueue from "p-queue";
import {
  MAX_CONNECTIONS_PER_SERVER,
  QUEUE_LIMIT_PER_TEAM,
} from "../../constants.ts";
import type { Server, ServerId, ServiceId, TeamId } from "../../model/mod.ts";
import { FairQueue } from "./fair_queue.ts";
import type { FairOptions } from "./fair_queue.ts";

/** How a job left the queue. */
export enum DispatchKind {
  Ran = "ran",
  /** The team has too many waiting jobs; the job did not run. */
  QueueFull = "queue_full",
  /** The job was cancelled or its deadline passed; it did not run. */
  Cancelled = "cancelled",
}

/** Result of {@linkcode Dispatch.run}. */
export type DispatchResult<T> =
  | { readonly kind: DispatchKind.Ran; readonly value: T }
  | { readonly kind: DispatchKind.QueueFull }
  | { readonly kind: DispatchKind.Cancelled };

/** Service and team of a job, and the signal that cancels it. */
export interface DispatchRequest {
  readonly service: ServiceId;
  /** Empty for callers without a team. */
  readonly team: TeamId;
  /** Aborts when the result is no longer needed. */
  readonly signal: AbortSignal;
}

/** A server and its number of slots. */
export type ServerCapacity = Pick<Server, "id" | "slots">;

/** State of one service's queue, for dumps. */
export interface QueueReport {
  readonly service: ServiceId;
  readonly concurrency: number;
  readonly running: number;
  readonly waiting: number;
}

type FairPQueue = PQueue<FairQueue, FairOptions>;

interface QueueEntry {
  readonly queue: FairPQueue;
  /** Backing queue of `queue`, for counting and removing waiting jobs. */
  readonly fairQueue: FairQueue;
}

/** Queue of one server. */
interface ServerEntry extends QueueEntry {
  /** Number of jobs that run or wait. */
  jobs: number;
}

/** Numbers of jobs at servers, for metrics. */
export interface ServerJobCounts {
  readonly running: number;
  readonly waiting: number;
}

/** Team of jobs at a server, which run in the order they were added. */
const NO_TEAM = "";
/** Number of jobs that a new queue runs at the same time. */
const INITIAL_CONCURRENCY = 4;
/**
 * Minimum number of jobs that run at a server at the same time. More than a
 * server with few slots has, so that its own queue bridges the round trip.
 */
const SERVER_CONCURRENCY_MIN = 4;

/** Runs jobs through one queue per service and one per backend server. */
export class Dispatch {
  readonly #services = new Map<ServiceId, QueueEntry>();
  readonly #servers = new Map<ServerId, ServerEntry>();
  #lastId = 0;

  /** Sets how many jobs of a service run at the same time; at least 1. */
  setServiceConcurrency(service: ServiceId, concurrency: number): void {
    const { queue } = this.#getService(service);
    const bounded = Math.max(1, Math.floor(concurrency));
    if (queue.concurrency !== bounded) queue.concurrency = bounded;
  }

  /** Runs all jobs that wait for a server, which must check it themselves. */
  openServer(server: ServerId): void {
    const entry = this.#servers.get(server);
    if (entry !== undefined) entry.queue.concurrency = Infinity;
  }

  /**
   * Queues `job` and runs it when it is the team's turn at the service.
   *
   * A waiting job is dropped when the request's signal aborts; a running job is
   * not interrupted. Rejects with the error that `job` throws.
   */
  async run<T>(
    request: DispatchRequest,
    job: () => Promise<T>,
  ): Promise<DispatchResult<T>> {
    const entry = this.#getService(request.service);
    if (entry.fairQueue.count(request.team) >= QUEUE_LIMIT_PER_TEAM) {
      return { kind: DispatchKind.QueueFull };
    }
    return await this.#runQueued(entry, request, job);
  }

  /**
   * Queues `job` and runs it when it is its turn at the backend server.
   *
   * A waiting job is dropped when `signal` aborts; a running job is not
   * interrupted. Rejects with the error that `job` throws.
   */
  async runOnServer<T>(
    server: ServerCapacity,
    signal: AbortSignal,
    job: () => Promise<T>,
  ): Promise<DispatchResult<T>> {
    const entry = this.#getServer(server.id);
    const concurrency = computeServerConcurrency(server.slots);
    if (entry.queue.concurrency !== concurrency) {
      entry.queue.concurrency = concurrency;
    }
    entry.jobs += 1;
    try {
      return await this.#runQueued(entry, { team: NO_TEAM, signal }, job);
    } finally {
      entry.jobs -= 1;
      if (entry.jobs === 0) this.#servers.delete(server.id);
    }
  }

  /** Counts the jobs at all servers. */
  countServerJobs(): ServerJobCounts {
    let running = 0;
    let waiting = 0;
    for (const { queue } of this.#servers.values()) {
      running += queue.pending;
      waiting += queue.size;
    }
    return { running, waiting };
  }

  async #runQueued<T>(
    { queue, fairQueue }: QueueEntry,
    { team, signal }: Pick<DispatchRequest, "team" | "signal">,
    job: () => Promise<T>,
  ): Promise<DispatchResult<T>> {
    if (signal.aborted) return { kind: DispatchKind.Cancelled };
    this.#lastId += 1;
    const id = String(this.#lastId);
    let cancel: () => void = () => {};
    const cancelled = new Promise<DispatchResult<T>>((resolve) => {
      cancel = () => {
        fairQueue.remove(id);
        resolve({ kind: DispatchKind.Cancelled });
      };
    });
    signal.addEventListener("abort", cancel, { once: true });
    const ran = queue.add(async (): Promise<DispatchResult<T>> => {
      signal.removeEventListener("abort", cancel);
      return { kind: DispatchKind.Ran, value: await job() };
    }, { team, id });
    return await Promise.race([ran, cancelled]);
  }

  /** Returns the state of each service's queue. */
  getReport(): QueueReport[] {
    return [...this.#services].map(([service, { queue }]) => ({
      service,
      concurrency: queue.concurrency,
      running: queue.pending,
      waiting: queue.size,
    }));
  }

  #getService(service: ServiceId): QueueEntry {
    const existing = this.#services.get(service);
    if (existing !== undefined) return existing;
    const entry = createEntry();
    this.#services.set(service, entry);
    return entry;
  }

  #getServer(server: ServerId): ServerEntry {
    const existing = this.#servers.get(server);
    if (existing !== undefined) return existing;
    const entry = { ...createEntry(), jobs: 0 };
    this.#servers.set(server, entry);
    return entry;
  }
}

/**
 * Computes how many jobs run at a server at the same time. A VM with few peers
 * can use all slots. A job beyond the limit of connections would only wait for
 * one.
 */
function computeServerConcurrency(slots: number): number {
  const wanted = Math.max(SERVER_CONCURRENCY_MIN, Math.floor(slots));
  return Math.min(wanted, MAX_CONNECTIONS_PER_SERVER);
}

function createEntry(): QueueEntry {
  const fairQueue = new FairQueue();
  const queue: FairPQueue = new PQueue<FairQueue, FairOptions>({
    concurrency: INITIAL_CONCURRENCY,
    queueClass: createQueueClass(fairQueue),
  });
  return { queue, fairQueue };
}

/** Creates a class for p-queue whose constructor returns an existing queue. */
function createQueueClass(fairQueue: FairQueue): new () => FairQueue {
  return function () {
    return fairQueue;
  } as unknown as new () => FairQueue;
}
