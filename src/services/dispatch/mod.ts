/** Dispatch service: bounded concurrency, with fair queuing among teams. */
import PQueue from "p-queue";
import { QUEUE_LIMIT_PER_TEAM } from "../../constants.ts";
import type { ServerId, ServiceId, TeamId } from "../../model/mod.ts";
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
  /**
   * Expected work, by which teams of the service share its slots.
   * @default 1
   */
  readonly work?: number;
  /** Aborts when the result is no longer needed. */
  readonly signal: AbortSignal;
}

/** State of one service's queue, for dumps. */
export interface QueueReport {
  readonly service: ServiceId;
  readonly concurrency: number;
  readonly running: number;
  readonly waiting: number;
}

type ServiceQueue = PQueue<FairQueue, FairOptions>;

interface ServiceEntry {
  readonly queue: ServiceQueue;
  /** Backing queue of `queue`, for counting a team's waiting jobs. */
  readonly fairQueue: FairQueue;
}

/** Number of jobs that a new queue runs at the same time. */
const INITIAL_CONCURRENCY = 4;

/** Runs jobs through one queue per service and one per backend server. */
export class Dispatch {
  readonly #services = new Map<ServiceId, ServiceEntry>();
  readonly #servers = new Map<ServerId, PQueue>();
  #lastId = 0;

  /** Sets how many jobs of a service run at the same time; at least 1. */
  setServiceConcurrency(service: ServiceId, concurrency: number): void {
    const { queue } = this.#getService(service);
    const bounded = Math.max(1, Math.floor(concurrency));
    if (queue.concurrency !== bounded) queue.concurrency = bounded;
  }

  /** Sets how many jobs run at a backend server at the same time; at least 1. */
  setServerConcurrency(server: ServerId, concurrency: number): void {
    const queue = this.#getServer(server);
    const bounded = Math.max(1, Math.floor(concurrency));
    if (queue.concurrency !== bounded) queue.concurrency = bounded;
  }

  /** Deletes the queue of a removed backend server. */
  removeServer(server: ServerId): void {
    this.#servers.delete(server);
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
    const { queue, fairQueue } = this.#getService(request.service);
    if (fairQueue.count(request.team) >= QUEUE_LIMIT_PER_TEAM) {
      return { kind: DispatchKind.QueueFull };
    }
    if (request.signal.aborted) return { kind: DispatchKind.Cancelled };
    this.#lastId += 1;
    const id = String(this.#lastId);
    let cancel: () => void = () => {};
    const cancelled = new Promise<DispatchResult<T>>((resolve) => {
      cancel = () => {
        fairQueue.remove(id);
        resolve({ kind: DispatchKind.Cancelled });
      };
    });
    request.signal.addEventListener("abort", cancel, { once: true });
    const ran = queue.add(async (): Promise<DispatchResult<T>> => {
      request.signal.removeEventListener("abort", cancel);
      return { kind: DispatchKind.Ran, value: await job() };
    }, { team: request.team, id, work: request.work ?? 1 });
    return await Promise.race([ran, cancelled]);
  }

  /** Queues `job` and runs it within the backend server's concurrency limit. */
  runOnServer<T>(server: ServerId, job: () => Promise<T>): Promise<T> {
    return this.#getServer(server).add(job);
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

  #getService(service: ServiceId): ServiceEntry {
    const existing = this.#services.get(service);
    if (existing !== undefined) return existing;
    const fairQueue = new FairQueue();
    const queue: ServiceQueue = new PQueue<FairQueue, FairOptions>({
      concurrency: INITIAL_CONCURRENCY,
      queueClass: createQueueClass(fairQueue),
    });
    const entry = { queue, fairQueue };
    this.#services.set(service, entry);
    return entry;
  }

  #getServer(server: ServerId): PQueue {
    const existing = this.#servers.get(server);
    if (existing !== undefined) return existing;
    const queue = new PQueue({ concurrency: INITIAL_CONCURRENCY });
    this.#servers.set(server, queue);
    return queue;
  }
}

/** Creates a class for p-queue whose constructor returns an existing queue. */
function createQueueClass(fairQueue: FairQueue): new () => FairQueue {
  return function () {
    return fairQueue;
  } as unknown as new () => FairQueue;
}
