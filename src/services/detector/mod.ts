/** Detector service: finds backend servers with gray failures. */
import type { Server, ServerId, ServiceId } from "../../model/mod.ts";
import type { Clock } from "../clock/mod.ts";
import type { Configuration } from "../configuration/mod.ts";
import { computeHash, listRanked } from "../hashing/mod.ts";
import type { Logger } from "../logging/mod.ts";
import type { ServerEvidence } from "../membership/peer_message.ts";
import type { Random } from "../random/mod.ts";
import { Availability, getStart } from "../server_notices/mod.ts";
import type { ServerNotices } from "../server_notices/mod.ts";
import { Baseline } from "./baseline.ts";
import { EjectionReason, Ejections, EjectionState } from "./ejections.ts";
import type { FloorView } from "./ejections.ts";
import type { EvidenceExchange } from "./evidence_exchange.ts";
import type { EvidenceOrigin, Tally } from "./sequential_test.ts";
import type { OutcomeCounts } from "./server_failure_estimator.ts";
import {
  createServerHealth,
  isOverThreshold,
  LOCAL_ORIGIN,
} from "./server_health.ts";
import type { ServerHealth } from "./server_health.ts";

export { EjectionReason, EjectionState } from "./ejections.ts";

/** How the fleet reacts to failing servers. */
export enum DetectionPolicy {
  /** Ejects servers on strong evidence; trial requests readmit them. */
  Eject = "eject",
  /** Selects servers less often the more likely they are to fail. */
  Avoid = "avoid",
}

/** Dependencies of {@linkcode Detector}. */
export interface DetectorDependencies {
  readonly policy: DetectionPolicy;
  readonly clock: Clock;
  readonly configuration: Configuration;
  readonly exchange: EvidenceExchange;
  readonly notices: ServerNotices;
  readonly random: Random;
  /** Resolves to whether a server accepts a connection. */
  readonly probe: (server: Server) => Promise<boolean>;
  readonly logger: Logger;
}

/** What an attempt indicates about its server. */
export enum AttemptVerdict {
  Good = "good",
  /** Connection refused, which hardly ever happens while a server runs. */
  Refused = "refused",
  /** Connection lost, invalid response or a server error. */
  Failed = "failed",
  /** Connect timeout: the server or the path to it is down. */
  Unreachable = "unreached",
  /** No indication: shed by the server, or cancelled by the caller. */
  Neutral = "neutral",
}

/** An attempt in progress. */
export interface TrackedAttempt {
  readonly server: Server;
  /** Monotonic time in milliseconds. */
  readonly startedAt: number;
  /** Whether it has already been counted as slow. */
  isSlow: boolean;
}

/** Detection state of one server, for dumps. */
export interface DetectorReport {
  readonly server: ServerId;
  readonly standing: EjectionState;
  readonly failureScore: number;
  readonly slowScore: number;
  readonly reason: EjectionReason | undefined;
  /** Number of further slots of the service that may be ejected. */
  readonly floorLeft: number;
}

/** Score from which a server gets test requests, to decide sooner. */
const SUSPECT_SCORE = 5;
/** Interval between checks of attempts in progress and of unsent evidence. */
const TICK_MS = 100;
/** Minimum interval between two evidence messages to the other VMs. */
const EVIDENCE_INTERVAL_MIN_MS = 100;
/**
 * Minimum interval between two evidence messages where servers are avoided: one
 * failure can suffice for that, so it is reported sooner.
 */
const URGENT_EVIDENCE_INTERVAL_MIN_MS = 20;
/**
 * Failure probability from which a server is suspected: it gets test requests,
 * and its successes are reported to other VMs too.
 */
const SUSPECT_PROBABILITY_MIN = 0.1;
/** Failure probability above which a server is avoided and gets no tests. */
const SUSPECT_PROBABILITY_MAX = 0.6;
/** Time without an outcome of a suspected server after which it is tested. */
const SUSPECT_TEST_AFTER_MS = 400;
/** Delay from an ejection to the trial; doubles with each further ejection. */
const TRIAL_DELAY_MS = 2_000;
/** Maximum delay from an ejection to the trial. */
const TRIAL_DELAY_MAX_MS = 60_000;
/** Interval between trial requests of all VMs together to one server. */
const TRIAL_INTERVAL_MS = 250;
/** Interval between test requests of all VMs together to suspected servers. */
const TEST_INTERVAL_MS = 40;
/** Number of failures that one refused connection counts as. */
const REFUSED_WEIGHT = 2;
/** Number of VMs that probe a server whose refusal a peer reports. */
const PROBING_VMS = 3;
/** Good trial requests after which an ejected server is readmitted. */
const TRIALS_NEEDED = 5;
/** Time without an ejection after which the trial delay starts over. */
const FLAP_RESET_MS = 120_000;

/** Compares every server with the other servers of its service. */
export class Detector {
  readonly #deps: DetectorDependencies;
  readonly #health = new Map<ServerId, ServerHealth>();
  readonly #baselines = new Map<ServiceId, Baseline>();
  readonly #ejections = new Map<ServiceId, Ejections>();
  readonly #inProgress = new Set<TrackedAttempt>();
  /** Servers with unsent evidence. */
  readonly #changed = new Set<ServerId>();
  #evidenceSentAt = -Infinity;

  /** Creates a detector without outcomes. */
  constructor(deps: DetectorDependencies) {
    this.#deps = deps;
    deps.exchange.setHandler((servers, vm) => this.#applyEvidence(servers, vm));
  }

  /** Checks attempts in progress and sends evidence until `signal` aborts. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await this.#deps.clock.sleep(TICK_MS, signal);
      this.checkInProgress();
      this.sendEvidence();
    }
  }

  /** Records the start of an attempt. */
  recordStart(server: Server): TrackedAttempt {
    const attempt = {
      server,
      startedAt: this.#deps.clock.now(),
      isSlow: false,
    };
    this.#inProgress.add(attempt);
    const ejection = this.#getEjections(server.service).find(server.id);
    if (ejection !== undefined) ejection.lastTrialAt = attempt.startedAt;
    return attempt;
  }

  /** Records the outcome of an attempt. */
  recordEnd(attempt: TrackedAttempt, verdict: AttemptVerdict): void {
    if (!this.#inProgress.delete(attempt)) return;
    const { server } = attempt;
    switch (verdict) {
      case AttemptVerdict.Neutral:
        return;
      case AttemptVerdict.Refused:
        this.#addLocal(server, { good: 0, failed: REFUSED_WEIGHT, slow: 0 });
        this.#recordTrial(server, false);
        this.#evidenceSentAt = -Infinity;
        this.sendEvidence();
        return;
      case AttemptVerdict.Failed:
        this.#addLocal(server, { good: 0, failed: 1, slow: 0 });
        this.#recordTrial(server, false);
        return;
      case AttemptVerdict.Unreachable:
        this.#addLocal(server, this.#createUnreachable());
        this.#recordTrial(server, false);
        return;
      case AttemptVerdict.Good: {
        const latencyMs = this.#deps.clock.now() - attempt.startedAt;
        const baseline = this.#getBaseline(server.service);
        baseline.addLatency(latencyMs);
        const isSlow = latencyMs > baseline.slowLimitMs && !attempt.isSlow;
        this.#addLocal(server, {
          good: attempt.isSlow ? 0 : 1,
          failed: 0,
          slow: isSlow ? 1 : 0,
        });
        this.#recordTrial(server, !isSlow && !attempt.isSlow);
      }
    }
  }

  #createUnreachable(): OutcomeCounts {
    switch (this.#deps.policy) {
      case DetectionPolicy.Eject:
        return { good: 0, failed: 1, slow: 0 };
      case DetectionPolicy.Avoid:
        return { good: 0, failed: 0, slow: 1 };
    }
  }

  /** Records that a server's response said that it is leaving. */
  recordLeaving(server: Server): void {
    if (!this.#deps.notices.recordLeaving(server)) return;
    this.#changed.add(server.id);
    this.#evidenceSentAt = -Infinity;
    this.sendEvidence();
  }

  /** Returns whether a server gets requests, trial requests or none now. */
  getEjectionState(server: Server): EjectionState {
    const ejection = this.#getEjections(server.service).find(server.id);
    if (ejection === undefined) return EjectionState.Admitted;
    const now = this.#deps.clock.now();
    const isDue = now >= ejection.trialAt &&
      now - ejection.lastTrialAt >= ejection.trialIntervalMs;
    return isDue ? EjectionState.Trial : EjectionState.Ejected;
  }

  /** Whether test requests should confirm or clear a suspicion. */
  isSuspect(server: Server): boolean {
    const { failures, slowness, estimator } = this.#getHealth(server.id);
    switch (this.#deps.policy) {
      case DetectionPolicy.Eject:
        return Math.max(failures.score, slowness.score) >= SUSPECT_SCORE;
      case DetectionPolicy.Avoid: {
        const now = this.#deps.clock.now();
        const probability = estimator.getFailureProbability(now);
        return probability >= SUSPECT_PROBABILITY_MIN &&
          probability <= SUSPECT_PROBABILITY_MAX &&
          estimator.getObservationAgeMs(now) >= SUSPECT_TEST_AFTER_MS;
      }
    }
  }

  /** Returns the probability, 0 to 1, that a server fails the next request. */
  getFailureProbability(server: Server): number {
    return this.#getHealth(server.id).estimator.getFailureProbability(
      this.#deps.clock.now(),
    );
  }

  /** Returns this VM's interval between test requests, in milliseconds. */
  getTestIntervalMs(): number {
    return TEST_INTERVAL_MS * this.#deps.exchange.countVms();
  }

  /**
   * Returns the milliseconds since a server was readmitted, Infinity if it was
   * not ejected before.
   */
  getAdmittedMs(server: Server): number {
    const { admittedAt, flaps } = this.#getHealth(server.id);
    return flaps === 0 ? Infinity : this.#deps.clock.now() - admittedAt;
  }

  /** Counts attempts in progress as slow once they exceed the slow limit. */
  checkInProgress(): void {
    const now = this.#deps.clock.now();
    for (const attempt of this.#inProgress) {
      if (attempt.isSlow) continue;
      const { slowLimitMs } = this.#getBaseline(attempt.server.service);
      if (now - attempt.startedAt <= slowLimitMs) continue;
      attempt.isSlow = true;
      this.#addLocal(attempt.server, { good: 0, failed: 0, slow: 1 });
      this.#recordTrial(attempt.server, false);
    }
  }

  /** Sends unsent evidence to all reachable VMs, at a limited rate. */
  sendEvidence(): void {
    const { clock, exchange } = this.#deps;
    const now = clock.now();
    const minMs = this.#getEvidenceIntervalMinMs();
    if (this.#changed.size === 0 || now - this.#evidenceSentAt < minMs) return;
    this.#evidenceSentAt = now;
    const servers = [...this.#changed].map((id) => this.#collectEvidence(id));
    this.#changed.clear();
    exchange.sendToAll(servers);
  }

  /** Lists this VM's detection state of every server. */
  getReport(): DetectorReport[] {
    const { servers } = this.#deps.configuration.state;
    return [...servers.values()].map((server) => {
      const ejections = this.#getEjections(server.service);
      const health = this.#getHealth(server.id);
      return {
        server: server.id,
        standing: this.getEjectionState(server),
        failureScore: health.failures.score,
        slowScore: health.slowness.score,
        reason: ejections.find(server.id)?.reason,
        floorLeft: ejections.countEjectableSlots(this.#getView(server.service)),
      };
    });
  }

  /**
   * Whether the policy ejects servers. Only then are servers probed: otherwise
   * each refused probe would be sent as evidence and trigger further probes.
   */
  #isEjecting(): boolean {
    switch (this.#deps.policy) {
      case DetectionPolicy.Eject:
        return true;
      case DetectionPolicy.Avoid:
        return false;
    }
  }

  #getEvidenceIntervalMinMs(): number {
    switch (this.#deps.policy) {
      case DetectionPolicy.Eject:
        return EVIDENCE_INTERVAL_MIN_MS;
      case DetectionPolicy.Avoid:
        return URGENT_EVIDENCE_INTERVAL_MIN_MS;
    }
  }

  #collectEvidence(id: ServerId): ServerEvidence {
    const health = this.#getHealth(id);
    const leavingStart = this.#deps.notices.findLeavingStart(id);
    const evidence = {
      server: id,
      successes: health.good,
      failures: health.failed,
      slow: health.slow,
      isDraining: leavingStart !== undefined,
      leavingStart,
    };
    health.good = 0;
    health.failed = 0;
    health.slow = 0;
    return evidence;
  }

  /**
   * Adds outcomes that this VM observed, and queues them for the other VMs.
   *
   * Good outcomes of an unsuspected server are not queued: sent later, together
   * with the first failures, they would offset newer evidence of a fault.
   */
  #addLocal(server: Server, counts: OutcomeCounts): void {
    const health = this.#getHealth(server.id);
    const isSuspected = this.#isSuspected(health);
    const isBad = counts.failed + counts.slow > 0;
    if (isSuspected || isBad) {
      health.good += counts.good;
      health.failed += counts.failed;
      health.slow += counts.slow;
      if (isBad || counts.good > 0) this.#changed.add(server.id);
    }
    this.#addCounts(server, LOCAL_ORIGIN, counts);
    if (isBad) this.sendEvidence();
  }

  #isSuspected(health: ServerHealth): boolean {
    switch (this.#deps.policy) {
      case DetectionPolicy.Eject:
        return health.failures.score + health.slowness.score > 0;
      case DetectionPolicy.Avoid: {
        const now = this.#deps.clock.now();
        return health.estimator.getSharedFailureProbability(now) >=
          SUSPECT_PROBABILITY_MIN;
      }
    }
  }

  #applyEvidence(
    reported: readonly ServerEvidence[],
    origin: EvidenceOrigin,
  ): void {
    const { servers } = this.#deps.configuration.state;
    for (const evidence of reported) {
      const server = servers.get(evidence.server);
      if (server === undefined) continue;
      if (evidence.isDraining) {
        this.#deps.notices.setLeaving(
          server.id,
          evidence.leavingStart ?? getStart(server),
        );
      }
      this.#addCounts(server, origin, {
        good: evidence.successes,
        failed: evidence.failures,
        slow: evidence.slow,
      });
      for (let good = 0; good < evidence.successes; good += 1) {
        this.#recordTrial(server, true);
      }
      const isRefused = evidence.failures >= REFUSED_WEIGHT;
      if (isRefused && this.#isEjecting()) this.#probeIfChosen(server);
    }
  }

  /**
   * Probes a server whose refusal a peer reported, if this VM is one of the few
   * chosen to do so, since the fault may be in the peer's link only.
   */
  #probeIfChosen(server: Server): void {
    const { exchange, notices, probe } = this.#deps;
    if (this.getEjectionState(server) !== EjectionState.Admitted) return;
    if (!isStaying(notices.getAvailability(server))) return;
    const ranked = listRanked(
      [...exchange.listVms(), exchange.vm],
      (vm) => computeHash(`${vm} probe ${server.id}`),
    );
    if (ranked.indexOf(exchange.vm) >= PROBING_VMS) return;
    void probe(server).then((isOpen) => {
      if (isOpen) return;
      this.recordEnd(this.recordStart(server), AttemptVerdict.Refused);
    });
  }

  #addCounts(
    server: Server,
    origin: EvidenceOrigin,
    counts: OutcomeCounts,
  ): void {
    const now = this.#deps.clock.now();
    const health = this.#getHealth(server.id);
    const baseline = this.#getBaseline(server.service);
    const total = counts.good + counts.failed + counts.slow;
    const failures: Tally = { good: total - counts.failed, bad: counts.failed };
    const slowness: Tally = { good: total - counts.slow, bad: counts.slow };
    health.failures.add(
      origin,
      failures,
      baseline.getFailureHypotheses(server.id, now),
    );
    health.slowness.add(
      origin,
      slowness,
      baseline.getSlowHypotheses(server.id, now),
    );
    const outcomes = { total, failed: counts.failed, slow: counts.slow };
    baseline.add(server.id, outcomes, now);
    if (origin === LOCAL_ORIGIN) health.estimator.recordLocal(counts, now);
    else health.estimator.recordRemote(counts, now);
    this.#recordAvoidance(server, health, origin, counts);
    if (this.#isEjecting()) this.#evaluate(server, health);
  }

  /** Logs when this VM starts or stops avoiding a server. */
  #recordAvoidance(
    server: Server,
    health: ServerHealth,
    origin: EvidenceOrigin,
    counts: OutcomeCounts,
  ): void {
    const probability = health.estimator.getFailureProbability(
      this.#deps.clock.now(),
    );
    const isAvoided = probability > SUSPECT_PROBABILITY_MAX;
    if (isAvoided === health.isAvoided) return;
    health.isAvoided = isAvoided;
    const message = isAvoided
      ? "started avoiding a server"
      : "stopped avoiding a server";
    this.#deps.logger.info(message, {
      server: server.id,
      chance: Number(probability.toFixed(2)),
      origin: origin === LOCAL_ORIGIN ? "own" : origin,
      failed: counts.failed,
      slow: counts.slow,
    });
  }

  #evaluate(server: Server, health: ServerHealth): void {
    const { failures, slowness } = health;
    if (isOverThreshold(failures)) {
      this.#eject(server, EjectionReason.Failures, failures.score);
    } else if (isOverThreshold(slowness)) {
      this.#eject(server, EjectionReason.Slowness, slowness.score);
    }
  }

  #eject(server: Server, reason: EjectionReason, score: number): void {
    const { clock, logger, random } = this.#deps;
    const now = clock.now();
    const health = this.#getHealth(server.id);
    const ejections = this.#getEjections(server.service);
    const wasEjected = ejections.find(server.id) !== undefined;
    if (now - health.admittedAt > FLAP_RESET_MS) health.flaps = 0;
    const delayMs = Math.min(
      TRIAL_DELAY_MAX_MS,
      TRIAL_DELAY_MS * 2 ** health.flaps,
    );
    const isEjected = ejections.eject({
      server: server.id,
      reason,
      score,
      trialAt: now + delayMs,
      remainingTrials: TRIALS_NEEDED,
      trialIntervalMs: TRIAL_INTERVAL_MS * this.#deps.exchange.countVms(),
      lastTrialAt: now -
        random() * TRIAL_INTERVAL_MS * this.#deps.exchange.countVms(),
    }, this.#getView(server.service));
    if (!isEjected) return;
    health.failures.removeAll();
    health.slowness.removeAll();
    health.flaps += 1;
    if (wasEjected) return;
    logger.warn(
      `ejected server ${server.id} for ${reason}, score ${score.toFixed(1)}`,
    );
  }

  /** Counts an attempt at an ejected server toward its readmission. */
  #recordTrial(server: Server, isGood: boolean): void {
    const ejections = this.#getEjections(server.service);
    const ejection = ejections.find(server.id);
    const now = this.#deps.clock.now();
    if (ejection === undefined || now < ejection.trialAt) return;
    this.#changed.add(server.id);
    if (!isGood) {
      this.#eject(server, ejection.reason, ejection.score);
      return;
    }
    ejection.remainingTrials -= 1;
    if (ejection.remainingTrials > 0) return;
    ejections.remove(server.id);
    const health = this.#getHealth(server.id);
    health.admittedAt = now;
    health.failures.removeAll();
    health.slowness.removeAll();
    this.#deps.logger.info(`readmitted server ${server.id}`);
  }

  #getView(service: ServiceId): FloorView {
    const { configuration: { state }, notices } = this.#deps;
    return {
      servers: state.listServers(service)
        .filter((server) => isStaying(notices.getAvailability(server))),
      floor: state.getFloor(service),
    };
  }

  #getHealth(server: ServerId): ServerHealth {
    const existing = this.#health.get(server);
    if (existing !== undefined) return existing;
    const created = createServerHealth(this.#deps.clock.now());
    this.#health.set(server, created);
    return created;
  }

  #getBaseline(service: ServiceId): Baseline {
    const existing = this.#baselines.get(service);
    if (existing !== undefined) return existing;
    const created = new Baseline();
    this.#baselines.set(service, created);
    return created;
  }

  #getEjections(service: ServiceId): Ejections {
    const existing = this.#ejections.get(service);
    if (existing !== undefined) return existing;
    const created = new Ejections();
    this.#ejections.set(service, created);
    return created;
  }
}

/** Whether a server counts as one of its service for floors and probes. */
function isStaying(availability: Availability): boolean {
  switch (availability) {
    case Availability.Available:
    case Availability.Paused:
      return true;
    case Availability.Leaving:
    case Availability.Evacuated:
      return false;
  }
}
