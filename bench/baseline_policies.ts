/** Baseline policy that the fleet's own selection is compared with. */
import type { Server, ServerId, ServiceId } from "../src/model/mod.ts";
import { ServiceName } from "../src/services/catalog.ts";
import type { Services } from "../src/services/catalog.ts";
import type { Configuration } from "../src/services/configuration/mod.ts";
import { AttemptVerdict } from "../src/services/detector/mod.ts";
import type { TrackedAttempt } from "../src/services/detector/mod.ts";
import type { VirtualClock } from "../standins/virtual_clock.ts";

/** Consecutive errors after which a server is ejected. */
const MAX_CONSECUTIVE_ERRORS = 5;
const EJECTION_MS = 30_000;

/** Round robin that ejects a server for 30 s after five consecutive errors. */
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

  /** Yields the servers that aren't ejected, starting one further each time. */
  *selectServers(service: ServiceId): Generator<Server, void, undefined> {
    const servers = this.#getConfiguration().state.listServers(service);
    const start = this.#next;
    this.#next += 1;
    const rotated = servers.map((_server, index) =>
      servers[(start + index) % servers.length] as Server
    );
    yield* rotated.filter((server) => !this.#isEjected(server.id));
  }

  /** Sums the slots of all servers, ejected ones included. */
  countSlots(service: ServiceId): number {
    return this.#getConfiguration().state.listServers(service)
      .reduce((sum, server) => sum + server.slots, 0);
  }

  /** Returns an attempt without recording it; the policy ignores load. */
  recordStart(server: Server): TrackedAttempt {
    return { server, startedAt: this.#clock.now(), isSlow: false };
  }

  /** Counts consecutive errors and ejects the server at the limit. */
  recordEnd(attempt: TrackedAttempt, verdict: AttemptVerdict): void {
    const id = attempt.server?.id;
    if (id === undefined) return;
    if (verdict !== AttemptVerdict.Failed) {
      this.#errors.delete(id);
      return;
    }
    const errors = (this.#errors.get(id) ?? 0) + 1;
    this.#errors.set(id, errors);
    if (errors < MAX_CONSECUTIVE_ERRORS) return;
    this.#errors.delete(id);
    this.#ejectedUntil.set(id, this.#clock.now() + EJECTION_MS);
  }

  /** Records nothing. */
  recordDraining(): void {}

  /** Resolves at once, as the policy has no background task. */
  run(): Promise<void> {
    return Promise.resolve();
  }

  #isEjected(id: ServerId): boolean {
    return (this.#ejectedUntil.get(id) ?? 0) > this.#clock.now();
  }
}

/** Creates a policy that replaces selection and detection on one VM. */
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
