/**
 * Scarcity service: the policy that admits requests by what their wait or
 * refusal costs.
 *
 * All VMs decide by the same counts: slots, requests in flight and work that
 * waits at any VM. While capacity suffices, requests start at once. Otherwise a
 * request waits in its VM, in the order of urgency, until the queue at the
 * servers is short enough for it, or is refused at once. The servers' queues
 * stay short, so that an urgent request finds room at any time.
 */
import type { ServiceId } from "../../model/mod.ts";
import type { Clock } from "../clock/mod.ts";
import type { Logger } from "../logging/mod.ts";
import { Counter } from "../metrics/mod.ts";
import type { Metrics } from "../metrics/mod.ts";
import { VerdictKind } from "../overload/policy.ts";
import type {
  OverloadPolicy,
  PolicyRequest,
  PolicyVerdict,
  ProcessedRequest,
} from "../overload/policy.ts";
import type { Random } from "../random/mod.ts";
import {
  computeAheadMs,
  computeLateAheadMs,
  computeStartLimitMs,
} from "./assessment.ts";
import type { Assessment } from "./assessment.ts";
import type { BacklogByService } from "./backlog_exchange.ts";
import {
  computeQueueMs,
  computeQueueRatio,
  ViewKind,
} from "./capacity_view.ts";
import type { CapacityView } from "./capacity_view.ts";
import { evaluateDemand, ScarcityKind, ScarcityReason } from "./decision.ts";
import type { ScarcityDemand, WaitLane } from "./decision.ts";
import { DrawPurpose, Draws } from "./draws.ts";
import { formatAgeMs, formatAssessment, formatRequest } from "./log_fields.ts";
import { computeRetryDelayMs } from "./retry_delay.ts";
import {
  createCandidate,
  getMarginMs,
  getSlackMs,
  ServiceState,
} from "./service_state.ts";
import type { Candidate } from "./service_state.ts";
import { computeStarts } from "./starts.ts";

/**
 * Minimum admission rate of any level or team, as a share of the rate of all
 * requests. The users require at least a quarter.
 */
const MIN_ADMITTED_RATIO = 0.3;
/** Admission rate below which a level counts as close to that minimum. */
const LOW_ADMITTED_RATIO = 0.4;
/** Relative use of slots from which a team may be refused most of the time. */
const HEAVY_TEAM_FACTOR = 1.5;
/** Interval of the checks of waiting requests, in milliseconds. */
const CHECK_INTERVAL_MS = 20;

/** Dependencies of {@linkcode Scarcity}. */
export interface ScarcityDependencies {
  readonly clock: Clock;
  readonly random: Random;
  readonly logger: Logger;
  readonly metrics: Metrics;
  /**
   * Returns a service's capacity; `workMs` is the expected work of a request,
   * and `ownStarted` requests of this VM run.
   */
  readonly getView: (
    service: ServiceId,
    workMs: number,
    ownStarted: number,
  ) => CapacityView;
}

/** Admits requests by the cost of their wait or refusal. */
export class Scarcity implements OverloadPolicy {
  readonly #deps: ScarcityDependencies;
  readonly #draws: Draws;
  readonly #services = new Map<ServiceId, ServiceState>();

  /** Creates the policy without any recorded admissions. */
  constructor(deps: ScarcityDependencies) {
    this.#deps = deps;
    this.#draws = new Draws(deps.clock, deps.random);
  }

  async admit(
    request: PolicyRequest,
    signal: AbortSignal,
  ): Promise<PolicyVerdict> {
    const state = this.#getState(request.service);
    const candidate = createCandidate(request, state);
    const assessment = this.#createAssessment(state);
    const demand = this.#createDemand(candidate, state, assessment);
    const decision = evaluateDemand(demand);
    const isAdmitted = decision.kind !== ScarcityKind.Refuse;
    state.shares.recordDecision(candidate.level, isAdmitted, assessment.now);
    switch (decision.kind) {
      case ScarcityKind.Start:
        return this.#start(state, candidate);
      case ScarcityKind.Wait:
        this.#recordDelay(candidate, demand, assessment, decision.lane);
        return await this.#wait(state, candidate, decision.lane, signal);
      case ScarcityKind.Refuse:
        return this.#refuse(candidate, assessment, decision.reason);
    }
  }

  recordProcessed({ service, route, latencyMs }: ProcessedRequest): void {
    const state = this.#getState(service);
    const { view } = this.#createAssessment(state);
    state.work.record(route, latencyMs, computeQueueRatio(view));
  }

  checkSecondOffer(request: PolicyRequest): boolean {
    const state = this.#getState(request.service);
    const candidate = createCandidate(request, state);
    const demand = this.#createDemand(
      candidate,
      state,
      this.#createAssessment(state),
    );
    const waitMs = demand.queueMs + demand.aheadMs;
    // A retry for a request that would be late anyway is lost to the others.
    const isWorthIt = waitMs + demand.workMs <= demand.targetLeftMs;
    if (isWorthIt) return true;
    this.#deps.logger.info("not offering the request to a second server", {
      ...formatRequest(candidate),
      waitMs: Math.round(waitMs),
      workMs: Math.round(demand.workMs),
      targetLeftMs: Math.round(demand.targetLeftMs),
    });
    return false;
  }

  /** Sums the work that waits at this VM, for the other VMs. */
  sumBacklog(): BacklogByService {
    const sums = new Map<ServiceId, readonly number[]>();
    for (const [service, { waiting }] of this.#services) {
      if (waiting.size > 0) sums.set(service, waiting.sumWork());
    }
    return sums;
  }

  #start(state: ServiceState, candidate: Candidate): PolicyVerdict {
    const { clock, metrics } = this.#deps;
    const { level, team, workMs } = candidate;
    metrics.add(Counter.ScarcityStarts, String(level));
    state.shares.recordStart(level, team, workMs, clock.now());
    state.running += 1;
    return {
      kind: VerdictKind.Start,
      work: Math.max(1, workMs),
      complete: () => {
        state.running -= 1;
      },
    };
  }

  #wait(
    state: ServiceState,
    candidate: Candidate,
    lane: WaitLane,
    signal: AbortSignal,
  ): Promise<PolicyVerdict> {
    this.#deps.metrics.add(Counter.ScarcityWaits, String(candidate.level));
    return new Promise((resolve) => {
      const cancel = (): void => {
        if (!state.waiting.remove(candidate)) return;
        resolve({ kind: VerdictKind.Cancelled });
      };
      if (signal.aborted) {
        resolve({ kind: VerdictKind.Cancelled });
        return;
      }
      candidate.resolve = (verdict) => {
        signal.removeEventListener("abort", cancel);
        resolve(verdict);
      };
      signal.addEventListener("abort", cancel, { once: true });
      state.waiting.add(candidate, lane);
      this.#startCheckTimer(state);
    });
  }

  #refuse(
    candidate: Candidate,
    assessment: Assessment,
    reason: ScarcityReason,
  ): PolicyVerdict {
    const { random, logger, metrics } = this.#deps;
    const retryAfterMs = computeRetryDelayMs({
      level: candidate.level,
      waitMs: computeQueueMs(assessment.view) +
        computeAheadMs(assessment, candidate.level),
      workMs: candidate.workMs,
      admittedRatio: assessment.shares.getAdmittedRatio(assessment.now),
      minMs: this.#draws.getRemainingMs(candidate.request),
    }, random);
    metrics.add(Counter.ScarcityRefusals, String(candidate.level));
    logger.info("capacity is scarce; refusing the request", {
      ...formatRequest(candidate),
      ...formatAssessment(assessment),
      reason,
      waitedMs: Math.round(assessment.now - candidate.arrivedAt),
      leftMs: Math.round(candidate.deadlineAt - assessment.now),
      retryAfterMs: Math.round(retryAfterMs),
    });
    return { kind: VerdictKind.Refuse, retryAfterMs };
  }

  /** Checks the waiting requests until none is left. */
  #startCheckTimer(state: ServiceState): void {
    if (state.isCheckScheduled) return;
    state.isCheckScheduled = true;
    state.checkedAt = this.#deps.clock.now();
    this.#deps.clock.startTimer(CHECK_INTERVAL_MS, () => {
      state.isCheckScheduled = false;
      this.#runCheck(state);
      if (state.waiting.size > 0) this.#startCheckTimer(state);
    });
  }

  /** Refuses the waiting requests that are too late and starts the next. */
  #runCheck(state: ServiceState): void {
    const assessment = this.#createAssessment(state);
    const { view, now } = assessment;
    const queueMs = computeQueueMs(view);
    for (const expired of state.waiting.collectExpired(queueMs, now)) {
      const reason = ScarcityReason.CannotFinish;
      expired.resolve(this.#refuse(expired, assessment, reason));
    }
    state.waiting.expireTargets(queueMs, now);
    const starts = computeStarts(state, assessment, this.#deps.random);
    state.checkedAt = now;
    for (let count = 0; count < starts; count += 1) {
      const next = state.waiting.getFirst();
      if (next === undefined) break;
      state.waiting.claim(next);
      next.resolve(this.#start(state, next));
    }
  }

  #createAssessment(state: ServiceState): Assessment {
    const { meanMs } = state.work.getAll();
    const view = this.#deps.getView(state.service, meanMs, state.running);
    this.#recordViewKind(state, view);
    return {
      view,
      shares: state.shares,
      ownWaitingMs: state.waiting.sumWork(),
      now: this.#deps.clock.now(),
    };
  }

  #recordViewKind(state: ServiceState, view: CapacityView): void {
    if (state.viewKind === view.kind) return;
    state.viewKind = view.kind;
    const { service } = state;
    switch (view.kind) {
      case ViewKind.Fleet:
        this.#deps.logger.info("deciding by the fleet's view of a service", {
          service,
          ageMs: Math.round(view.ageMs),
        });
        return;
      case ViewKind.Local:
        this.#deps.logger.warn("deciding by this VM's view of a service only", {
          service,
          ageMs: formatAgeMs(view.ageMs),
        });
    }
  }

  #createDemand(
    candidate: Candidate,
    state: ServiceState,
    assessment: Assessment,
  ): ScarcityDemand {
    const { level, workMs, team } = candidate;
    const { now, shares, view } = assessment;
    const slackMs = getSlackMs(candidate, state, now);
    const teamFactor = shares.getTeamFactor(team, workMs, now);
    return {
      queueMs: computeQueueMs(view),
      startLimitMs: computeStartLimitMs(assessment, level, slackMs),
      aheadMs: computeAheadMs(assessment, level),
      lateAheadMs: computeLateAheadMs(assessment),
      workMs,
      marginMs: getMarginMs(candidate, state, now),
      targetLeftMs: candidate.targetAt - now,
      remainingMs: candidate.deadlineAt - now,
      teamFactor,
      draw: this.#draws.getDraw(candidate.request, DrawPurpose.Wait),
      isExempt: this.#isExempt(candidate, assessment, teamFactor),
    };
  }

  /** Whether a request starts anyway so that its level or team never starves. */
  #isExempt(
    candidate: Candidate,
    { shares, now }: Assessment,
    teamFactor: number,
  ): boolean {
    const ratio = shares.getAdmittedRatio(now);
    const levelRatio = shares.getLevelRatio(candidate.level, now);
    const isNearMinimum = levelRatio < LOW_ADMITTED_RATIO * ratio ||
      teamFactor > HEAVY_TEAM_FACTOR;
    if (!isNearMinimum) return false;
    const draw = this.#draws.getDraw(candidate.request, DrawPurpose.Minimum);
    return draw < MIN_ADMITTED_RATIO * ratio;
  }

  #getState(service: ServiceId): ServiceState {
    const existing = this.#services.get(service);
    if (existing !== undefined) return existing;
    const created = new ServiceState(service);
    this.#services.set(service, created);
    return created;
  }

  #recordDelay(
    candidate: Candidate,
    demand: ScarcityDemand,
    assessment: Assessment,
    lane: WaitLane,
  ): void {
    this.#deps.logger.info("capacity is scarce; the request waits", {
      ...formatRequest(candidate),
      ...formatAssessment(assessment),
      lane,
      expectedMs: Math.round(demand.queueMs + demand.aheadMs),
      targetLeftMs: Math.round(demand.targetLeftMs),
    });
  }
}
