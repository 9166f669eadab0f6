/** Detector service: finds backend servers with gray failures. */
import { ServerPhase } from "../../model/mod.ts";
import type { Server, ServerId, ServiceId } from "../../model/mod.ts";
import type { Clock } from "../clock/mod.ts";
import type { Configuration } from "../configuration/mod.ts";
import { computeHash, listRanked } from "../hashing/mod.ts";
import type { Logger } from "../logging/mod.ts";
import type { ServerEvidence } from "../membership/peer_message.ts";
import type { Random } from "../random/mod.ts";
import { Baseline } from "./baseline.ts";
import { EjectionReason, Ejections, ServerStanding } from "./ejections.ts";
import type { FloorView } from "./ejections.ts";
import type { EvidenceExchange } from "./evidence_exchange.ts";
import type { EvidenceOrigin, Tally } from "./sequential_test.ts";
import type { Seen } from "./server_belief.ts";
import { createWatch, isOverThreshold, OWN } from "./watch.ts";
import type { Watch } from "./watch.ts";

export { EjectionReason, ServerStanding } from "./ejections.ts";

/** How the fleet reacts to failing servers. */
export enum DetectionPolicy {
  /** Ejects servers on strong evidence; trial requests readmit them. */
  Eject = "eject",
  /** Selects servers less often the more likely they are to fail. */
  Avoid = "avoid",
}

/** Dependencies of {@linkcode Detector}. */
export interface DetectorParts {
  readonly policy: DetectionPolicy;
  readonly clock: Clock;
  readonly configuration: Configuration;
  readonly exchange: EvidenceExchange;
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
  Unreached = "unreached",
  /** No indication: shed by the server, or cancelled by the caller. */
  Neutral = "neutral",
}

/** An attempt in progress. */
export interface WatchedAttempt {
  readonly server: Server;
  /** Monotonic time in milliseconds. */
  readonly startedAt: number;
  /** Whether it has already been counted as slow. */
  isSlow: boolean;
}

/** Detection state of one server, for dumps. */
export interface DetectorReport {
  readonly server: ServerId;
  readonly standing: ServerStanding;
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
const DIGEST_MIN_MS = 100;
/**
 * Minimum interval between two evidence messages where servers are avoided: one
 * failure can suffice for that, so it is reported sooner.
 */
const URGENT_DIGEST_MIN_MS = 20;
/**
 * Failure probability from which a server is suspected: it gets test requests,
 * and its successes are reported to other VMs too.
 */
const SUSPECT_CHANCE_MIN = 0.1;
/** Failure probability above which a server is avoided and gets no tests. */
const SUSPECT_CHANCE_MAX = 0.6;
/** Time without an outcome of a suspected server after which it is tested. */
const SUSPECT_SILENCE_MS = 400;
/** Delay from an ejection to the trial; doubles with each further ejection. */
const TRIAL_DELAY_MS = 2_000;
/** Maximum delay from an ejection to the trial. */
const TRIAL_DELAY_MAX_MS = 60_000;
/** Interval between trial requests of the whole cell to one server. */
const TRIAL_INTERVAL_MS = 250;
/** Interval between test requests of the whole cell to suspected servers. */
const TEST_INTERVAL_MS = 40;
/** Number of failures that one refused connection counts as. */
const REFUSED_WEIGHT = 2;
/** Number of VMs that probe a server whose refusal a peer reports. */
const PROBING_VMS = 3;
/** Good trial requests after which an ejected server is readmitted. */
const TRIALS_NEEDED = 5;
/** Time without an ejection after which the trial delay starts over. */
const FLAP_MEMORY_MS = 120_000;

/** Compares every server with the other servers of its service. */
export class Detector {
  readonly #parts: DetectorParts;
  readonly #watches = new Map<ServerId, Watch>();
  readonly #baselines = new Map<ServiceId, Baseline>();
  readonly #ejections = new Map<ServiceId, Ejections>();
  readonly #underWay = new Set<WatchedAttempt>();
  /** Revision of each server that reported that it is draining. */
  readonly #draining = new Map<ServerId, number>();
  /** Servers with unsent evidence. */
  readonly #changed = new Set<ServerId>();
  #digestAt = -Infinity;

  /** Creates a detector without outcomes. */
  constructor(parts: DetectorParts) {
    this.#parts = parts;
    parts.exchange.setHandler((servers, vm) =>
      this.#applyEvidence(servers, vm)
    );
  }

  /** Checks attempts in progress and sends evidence until `signal` aborts. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await this.#parts.clock.sleep(TICK_MS, signal);
      this.checkUnderWay();
      this.sendEvidence();
    }
  }

  /** Records the start of an attempt. */
  recordStart(server: Server): WatchedAttempt {
    const attempt = {
      server,
      startedAt: this.#parts.clock.now(),
      isSlow: false,
    };
    this.#underWay.add(attempt);
    const ejection = this.#getEjections(server.service).find(server.id);
    if (ejection !== undefined) ejection.triedAt = attempt.startedAt;
    return attempt;
  }

  /** Records the outcome of an attempt. */
  recordEnd(attempt: WatchedAttempt, verdict: AttemptVerdict): void {
    if (!this.#underWay.delete(attempt)) return;
    const { server } = attempt;
    switch (verdict) {
      case AttemptVerdict.Neutral:
        return;
      case AttemptVerdict.Refused:
        this.#addOwn(server, { good: 0, failed: REFUSED_WEIGHT, slow: 0 });
        this.#recordTrial(server, false);
        this.#digestAt = -Infinity;
        this.sendEvidence();
        return;
      case AttemptVerdict.Failed:
        this.#addOwn(server, { good: 0, failed: 1, slow: 0 });
        this.#recordTrial(server, false);
        return;
      case AttemptVerdict.Unreached:
        this.#addOwn(server, this.#createUnreached());
        this.#recordTrial(server, false);
        return;
      case AttemptVerdict.Good: {
        const latencyMs = this.#parts.clock.now() - attempt.startedAt;
        const baseline = this.#getBaseline(server.service);
        baseline.addLatency(latencyMs);
        const isSlow = latencyMs > baseline.slowLimitMs && !attempt.isSlow;
        this.#addOwn(server, {
          good: attempt.isSlow ? 0 : 1,
          failed: 0,
          slow: isSlow ? 1 : 0,
        });
        this.#recordTrial(server, !isSlow && !attempt.isSlow);
      }
    }
  }

  #createUnreached(): Seen {
    switch (this.#parts.policy) {
      case DetectionPolicy.Eject:
        return { good: 0, failed: 1, slow: 0 };
      case DetectionPolicy.Avoid:
        return { good: 0, failed: 0, slow: 1 };
    }
  }

  /** Records whether a server reports that it is draining. */
  recordDraining(server: Server, isDraining: boolean): void {
    if (!isDraining) {
      this.#draining.delete(server.id);
      return;
    }
    if (this.#draining.has(server.id)) return;
    this.#draining.set(server.id, server.revision);
    this.#changed.add(server.id);
    this.#digestAt = -Infinity;
    this.sendEvidence();
  }

  /** Returns whether a server is draining and must get no new requests. */
  isDraining(server: Server): boolean {
    if (server.phase === ServerPhase.Draining) return true;
    return this.#draining.get(server.id) === server.revision;
  }

  /** Returns whether a server gets requests now. */
  getStanding(server: Server): ServerStanding {
    const ejection = this.#getEjections(server.service).find(server.id);
    if (ejection === undefined) return ServerStanding.Admitted;
    const now = this.#parts.clock.now();
    const isDue = now >= ejection.trialAt &&
      now - ejection.triedAt >= ejection.trialIntervalMs;
    return isDue ? ServerStanding.Trial : ServerStanding.Ejected;
  }

  /** Returns whether test requests should confirm or clear a suspicion. */
  isSuspect(server: Server): boolean {
    const { failures, slowness, belief } = this.#getWatch(server.id);
    switch (this.#parts.policy) {
      case DetectionPolicy.Eject:
        return Math.max(failures.score, slowness.score) >= SUSPECT_SCORE;
      case DetectionPolicy.Avoid: {
        const now = this.#parts.clock.now();
        const chance = belief.getChance(now);
        return chance >= SUSPECT_CHANCE_MIN && chance <= SUSPECT_CHANCE_MAX &&
          belief.getSilenceMs(now) >= SUSPECT_SILENCE_MS;
      }
    }
  }

  /** Returns the probability, 0 to 1, that a server fails the next request. */
  getFaultChance(server: Server): number {
    return this.#getWatch(server.id).belief.getChance(this.#parts.clock.now());
  }

  /** Returns this VM's interval between test requests, in milliseconds. */
  getTestIntervalMs(): number {
    return TEST_INTERVAL_MS * this.#parts.exchange.countVms();
  }

  /**
   * Returns the milliseconds since a server was readmitted, Infinity if it was
   * not ejected before.
   */
  getAdmittedMs(server: Server): number {
    const { admittedAt, flaps } = this.#getWatch(server.id);
    return flaps === 0 ? Infinity : this.#parts.clock.now() - admittedAt;
  }

  /** Counts attempts in progress as slow once they exceed the slow limit. */
  checkUnderWay(): void {
    const now = this.#parts.clock.now();
    for (const attempt of this.#underWay) {
      if (attempt.isSlow) continue;
      const { slowLimitMs } = this.#getBaseline(attempt.server.service);
      if (now - attempt.startedAt <= slowLimitMs) continue;
      attempt.isSlow = true;
      this.#addOwn(attempt.server, { good: 0, failed: 0, slow: 1 });
      this.#recordTrial(attempt.server, false);
    }
  }

  /** Sends unsent evidence to all reachable VMs, at a limited rate. */
  sendEvidence(): void {
    const { clock, exchange } = this.#parts;
    const now = clock.now();
    const minMs = this.#getDigestMinMs();
    if (this.#changed.size === 0 || now - this.#digestAt < minMs) return;
    this.#digestAt = now;
    const servers = [...this.#changed].map((id) => this.#takeEvidence(id));
    this.#changed.clear();
    exchange.sendToAll(servers);
  }

  /** Lists this VM's detection state of every server. */
  getReport(): DetectorReport[] {
    const { servers } = this.#parts.configuration.state;
    return [...servers.values()].map((server) => {
      const ejections = this.#getEjections(server.service);
      const watch = this.#getWatch(server.id);
      return {
        server: server.id,
        standing: this.getStanding(server),
        failureScore: watch.failures.score,
        slowScore: watch.slowness.score,
        reason: ejections.find(server.id)?.reason,
        floorLeft: ejections.getFloorLeft(this.#getView(server.service)),
      };
    });
  }

  /**
   * Returns whether the policy ejects servers. Only then are servers probed:
   * otherwise each refused probe would be sent as evidence and trigger further
   * probes.
   */
  #isEjecting(): boolean {
    switch (this.#parts.policy) {
      case DetectionPolicy.Eject:
        return true;
      case DetectionPolicy.Avoid:
        return false;
    }
  }

  #getDigestMinMs(): number {
    switch (this.#parts.policy) {
      case DetectionPolicy.Eject:
        return DIGEST_MIN_MS;
      case DetectionPolicy.Avoid:
        return URGENT_DIGEST_MIN_MS;
    }
  }

  #takeEvidence(id: ServerId): ServerEvidence {
    const watch = this.#getWatch(id);
    const evidence = {
      server: id,
      successes: watch.good,
      failures: watch.failed,
      slow: watch.slow,
      isDraining: this.#draining.has(id),
    };
    watch.good = 0;
    watch.failed = 0;
    watch.slow = 0;
    return evidence;
  }

  /**
   * Adds outcomes that this VM observed, and queues them for the other VMs.
   *
   * Good outcomes of an unsuspected server are not queued: sent later, together
   * with the first failures, they would offset newer evidence of a fault.
   */
  #addOwn(server: Server, seen: Seen): void {
    const watch = this.#getWatch(server.id);
    const isSuspected = this.#isSuspected(watch);
    const isBad = seen.failed + seen.slow > 0;
    if (isSuspected || isBad) {
      watch.good += seen.good;
      watch.failed += seen.failed;
      watch.slow += seen.slow;
      if (isBad || seen.good > 0) this.#changed.add(server.id);
    }
    this.#addSeen(server, OWN, seen);
    if (isBad) this.sendEvidence();
  }

  #isSuspected(watch: Watch): boolean {
    switch (this.#parts.policy) {
      case DetectionPolicy.Eject:
        return watch.failures.score + watch.slowness.score > 0;
      case DetectionPolicy.Avoid: {
        const now = this.#parts.clock.now();
        return watch.belief.getSharedChance(now) >= SUSPECT_CHANCE_MIN;
      }
    }
  }

  #applyEvidence(
    told: readonly ServerEvidence[],
    origin: EvidenceOrigin,
  ): void {
    const { servers } = this.#parts.configuration.state;
    for (const evidence of told) {
      const server = servers.get(evidence.server);
      if (server === undefined) continue;
      if (evidence.isDraining) {
        this.#draining.set(server.id, server.revision);
      }
      this.#addSeen(server, origin, {
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
   * chosen to do so. Possibly only the peer's link is at fault.
   */
  #probeIfChosen(server: Server): void {
    const { exchange, probe } = this.#parts;
    if (this.getStanding(server) !== ServerStanding.Admitted) return;
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

  #addSeen(server: Server, origin: EvidenceOrigin, seen: Seen): void {
    const now = this.#parts.clock.now();
    const watch = this.#getWatch(server.id);
    const baseline = this.#getBaseline(server.service);
    const total = seen.good + seen.failed + seen.slow;
    const failures: Tally = { good: total - seen.failed, bad: seen.failed };
    const slowness: Tally = { good: total - seen.slow, bad: seen.slow };
    watch.failures.add(
      origin,
      failures,
      baseline.getFailureHypotheses(server.id, now),
    );
    watch.slowness.add(
      origin,
      slowness,
      baseline.getSlowHypotheses(server.id, now),
    );
    const outcomes = { total, failed: seen.failed, slow: seen.slow };
    baseline.add(server.id, outcomes, now);
    if (origin === OWN) watch.belief.recordOwn(seen, now);
    else watch.belief.recordOthers(seen, now);
    this.#recordBelief(server, watch, origin, seen);
    if (this.#isEjecting()) this.#judge(server, watch);
  }

  /** Logs when this VM starts or stops avoiding a server. */
  #recordBelief(
    server: Server,
    watch: Watch,
    origin: EvidenceOrigin,
    seen: Seen,
  ): void {
    const chance = watch.belief.getChance(this.#parts.clock.now());
    const isAvoided = chance > SUSPECT_CHANCE_MAX;
    if (isAvoided === watch.isAvoided) return;
    watch.isAvoided = isAvoided;
    const message = isAvoided
      ? "started avoiding a server"
      : "stopped avoiding a server";
    this.#parts.logger.info(message, {
      server: server.id,
      chance: Number(chance.toFixed(2)),
      origin: origin === OWN ? "own" : origin,
      failed: seen.failed,
      slow: seen.slow,
    });
  }

  #judge(server: Server, watch: Watch): void {
    const { failures, slowness } = watch;
    if (isOverThreshold(failures)) {
      this.#eject(server, EjectionReason.Failures, failures.score);
    } else if (isOverThreshold(slowness)) {
      this.#eject(server, EjectionReason.Slowness, slowness.score);
    }
  }

  #eject(server: Server, reason: EjectionReason, score: number): void {
    const { clock, logger, random } = this.#parts;
    const now = clock.now();
    const watch = this.#getWatch(server.id);
    const ejections = this.#getEjections(server.service);
    const wasEjected = ejections.find(server.id) !== undefined;
    if (now - watch.admittedAt > FLAP_MEMORY_MS) watch.flaps = 0;
    const delayMs = Math.min(
      TRIAL_DELAY_MAX_MS,
      TRIAL_DELAY_MS * 2 ** watch.flaps,
    );
    const isEjected = ejections.eject({
      server: server.id,
      reason,
      score,
      trialAt: now + delayMs,
      trialsLeft: TRIALS_NEEDED,
      trialIntervalMs: TRIAL_INTERVAL_MS * this.#parts.exchange.countVms(),
      triedAt: now -
        random() * TRIAL_INTERVAL_MS * this.#parts.exchange.countVms(),
    }, this.#getView(server.service));
    if (!isEjected) return;
    watch.failures.removeAll();
    watch.slowness.removeAll();
    watch.flaps += 1;
    if (wasEjected) return;
    logger.warn(
      `ejected server ${server.id} for ${reason}, score ${score.toFixed(1)}`,
    );
  }

  /** Counts an attempt at an ejected server toward its readmission. */
  #recordTrial(server: Server, isGood: boolean): void {
    const ejections = this.#getEjections(server.service);
    const ejection = ejections.find(server.id);
    const now = this.#parts.clock.now();
    if (ejection === undefined || now < ejection.trialAt) return;
    this.#changed.add(server.id);
    if (!isGood) {
      this.#eject(server, ejection.reason, ejection.score);
      return;
    }
    ejection.trialsLeft -= 1;
    if (ejection.trialsLeft > 0) return;
    ejections.remove(server.id);
    const watch = this.#getWatch(server.id);
    watch.admittedAt = now;
    watch.failures.removeAll();
    watch.slowness.removeAll();
    this.#parts.logger.info(`readmitted server ${server.id}`);
  }

  #getView(service: ServiceId): FloorView {
    const { state } = this.#parts.configuration;
    return {
      servers: state.listServers(service)
        .filter((server) => !this.isDraining(server)),
      floor: state.getFloor(service),
    };
  }

  #getWatch(server: ServerId): Watch {
    const existing = this.#watches.get(server);
    if (existing !== undefined) return existing;
    const created = createWatch(this.#parts.clock.now());
    this.#watches.set(server, created);
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
