/** Policies that ours is measured against in the same run. */
import type { Server, ServerId, ServiceId } from "../src/model/mod.ts";
import { ServiceName } from "../src/services/catalog.ts";
import type { Services } from "../src/services/catalog.ts";
import type { Configuration } from "../src/services/configuration/mod.ts";
import { AttemptVerdict } from "../src/services/detector/mod.ts";
import type { TrackedAttempt } from "../src/services/detector/mod.ts";
import type { VirtualClock } from "../standins/virtual_clock.ts";

const ERRORS_IN_A_ROW = 5;
const EJECTION_MS = 30_000;

/** Round robin, with 30 s of ejection after five errors in a row. */
export class RoundRobin {
  readonly #clock: VirtualClock;
  readonly #getConfiguration: () => Configuration;
  readonly #errors = new Map<ServerId, number>();
  readonly #ejectedUntil = new Map<ServerId, number>();
  #next = 0;

  /** Creates the policy of one VM. */
  constructor(clock: VirtualClock, getConfiguration: () => Configuration) {
    this.#clock = clock;
    this.#getConfiguration = getConfiguration;
  }

  /** Yields the servers in turn, those ejected last. */
  *selectServers(service: ServiceId): Generator<Server, void, undefined> {
    const servers = this.#getConfiguration().state.listServers(service);
    const start = this.#next;
    this.#next += 1;
    const turn = servers.map((_server, index) =>
      servers[(start + index) % servers.length] as Server
    );
    yield* turn.filter((server) => !this.#isEjected(server.id));
  }

  /** Counts the slots of all servers. */
  countSlots(service: ServiceId): number {
    return this.#getConfiguration().state.listServers(service)
      .reduce((sum, server) => sum + server.slots, 0);
  }

  /** Notes nothing: load plays no part. */
  recordStart(server: Server): TrackedAttempt {
    return { server, startedAt: this.#clock.now(), isSlow: false };
  }

  /** Counts errors in a row. */
  recordEnd(attempt: TrackedAttempt, verdict: AttemptVerdict): void {
    const id = attempt.server?.id;
    if (id === undefined) return;
    if (verdict !== AttemptVerdict.Failed) {
      this.#errors.delete(id);
      return;
    }
    const errors = (this.#errors.get(id) ?? 0) + 1;
    this.#errors.set(id, errors);
    if (errors < ERRORS_IN_A_ROW) return;
    this.#errors.delete(id);
    this.#ejectedUntil.set(id, this.#clock.now() + EJECTION_MS);
  }

  /** Notes nothing. */
  recordDraining(): void {}

  /** Does nothing: no task is needed. */
  run(): Promise<void> {
    return Promise.resolve();
  }

  #isEjected(id: ServerId): boolean {
    return (this.#ejectedUntil.get(id) ?? 0) > this.#clock.now();
  }
}

/** Makes round robin take the place of selection and detection on one VM. */
export function createRoundRobinFakes(
  clock: VirtualClock,
  getConfiguration: () => Configuration,
): Partial<Services> {
  const policy = new RoundRobin(clock, getConfiguration);
  return {
    [ServiceName.Detector]: policy as never,
    [ServiceName.Selection]: policy as never,
  };
}
