/** Baseline policies that the fleet's own selection is compared with. */
import { SILENT_LOGGER } from "../standins/silent_logger.ts";
import type { VirtualClock } from "../standins/virtual_clock.ts";
import type { Server, ServerId, ServiceId } from "../src/model/mod.ts";
import { ServiceName } from "../src/services/catalog.ts";
import type { Services } from "../src/services/catalog.ts";
import { Configuration } from "../src/services/configuration/mod.ts";
import {
  AttemptVerdict,
  DetectionPolicy,
  Detector,
  EjectionState,
} from "../src/services/detector/mod.ts";
import type { TrackedAttempt } from "../src/services/detector/mod.ts";
import { Metrics } from "../src/services/metrics/mod.ts";
import { Selection } from "../src/services/selection/mod.ts";
import { ServerNotices } from "../src/services/server_notices/mod.ts";
import { NO_WARM_UP } from "../src/services/warm_up/mod.ts";

/** Consecutive errors after which a server is ejected. */
const MAX_CONSECUTIVE_ERRORS = 5;
const EJECTION_MS = 30_000;

/** A detector that ignores all outcomes. */
export class BlindDetector extends Detector {
  readonly #clock: VirtualClock;

  /** Creates the detector of one VM. */
  constructor(clock: VirtualClock) {
    super({
      policy: DetectionPolicy.Eject,
      clock,
      configuration: new Configuration("cell", clock),
      exchange: {
        vm: "",
        listVms: () => [],
        countVms: () => 1,
        sendToAll: () => {},
        setHandler: () => {},
      },
      notices: createNotices(clock),
      random: () => 0,
      probe: () => Promise.resolve(true),
      logger: SILENT_LOGGER,
    });
    this.#clock = clock;
  }

  override recordStart(server: Server): TrackedAttempt {
    return { server, startedAt: this.#clock.now(), isSlow: false };
  }

  override recordEnd(_attempt: TrackedAttempt, _verdict: AttemptVerdict): void {
  }

  override recordLeaving(): void {}

  override getEjectionState(): EjectionState {
    return EjectionState.Admitted;
  }

  override isSuspect(): boolean {
    return false;
  }

  override getAdmittedMs(): number {
    return Infinity;
  }

  override run(): Promise<void> {
    return Promise.resolve();
  }
}

/** Ejects a server for 30 s after five consecutive errors. */
class ConsecutiveErrorDetector extends BlindDetector {
  readonly #clock: VirtualClock;
  readonly #errors = new Map<ServerId, number>();
  readonly #ejectedUntil = new Map<ServerId, number>();

  constructor(clock: VirtualClock) {
    super(clock);
    this.#clock = clock;
  }

  override recordEnd(
    { server: { id } }: TrackedAttempt,
    verdict: AttemptVerdict,
  ): void {
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

  isEjected(id: ServerId): boolean {
    return (this.#ejectedUntil.get(id) ?? 0) > this.#clock.now();
  }
}

/** Selects servers in turn, except for ejected ones; ignores their load. */
class RoundRobinSelection extends Selection {
  readonly #detector: ConsecutiveErrorDetector;
  readonly #getConfiguration: () => Configuration;
  #next = 0;

  constructor(
    clock: VirtualClock,
    detector: ConsecutiveErrorDetector,
    getConfiguration: () => Configuration,
  ) {
    super({
      configuration: new Configuration("cell", clock),
      detector,
      notices: createNotices(clock),
      warmUp: NO_WARM_UP,
      clock,
      random: () => 0,
      loads: { setSource: () => {}, countOthers: () => 0 },
      failureDomain: "",
    });
    this.#detector = detector;
    this.#getConfiguration = getConfiguration;
  }

  override *selectServers(
    service: ServiceId,
  ): Generator<Server, void, undefined> {
    const servers = this.#getConfiguration().state.listServers(service);
    const start = this.#next;
    this.#next += 1;
    const rotated = servers.map((_server, index) =>
      servers[(start + index) % servers.length] as Server
    );
    yield* rotated.filter(({ id }) => !this.#detector.isEjected(id));
  }

  override countSlots(service: ServiceId): number {
    return this.#getConfiguration().state.listServers(service)
      .reduce((sum, server) => sum + server.slots, 0);
  }

  override isUsable(): boolean {
    return true;
  }
}

function createNotices(clock: VirtualClock): ServerNotices {
  const metrics = new Metrics();
  return new ServerNotices({ clock, metrics, logger: SILENT_LOGGER });
}

/** Creates round robin, which replaces selection and detection on one VM. */
export function createRoundRobinFakes(
  clock: VirtualClock,
  getConfiguration: () => Configuration,
): Partial<Services> {
  const detector = new ConsecutiveErrorDetector(clock);
  return {
    [ServiceName.Detector]: detector,
    [ServiceName.Selection]: new RoundRobinSelection(
      clock,
      detector,
      getConfiguration,
    ),
  };
}
