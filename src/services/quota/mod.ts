/** Quota service: a team's rate and burst over all VMs together. */
import type { Preset, Team, TeamId } from "../../model/mod.ts";
import type { Clock } from "../clock/mod.ts";
import type { Usage, UsageSource } from "../fleet/mod.ts";
import { UsageGrowth } from "../fleet/usage_growth.ts";
import { BucketDecisionKind, TeamBucket } from "./team_bucket.ts";
import type { BucketLimits } from "./team_bucket.ts";
import { LimitKind } from "./team_limiter.ts";
import type { LimitDecision, TeamLimiter } from "./team_limiter.ts";

/** Teams whose buckets are kept; those used least recently are forgotten. */
const TEAMS_KEPT = 50_000;

/** What the service works with. */
export interface QuotaParts {
  readonly clock: Clock;
  /** Counts the VMs that live, this one included. */
  readonly countVms: () => number;
  /** Finds a team's limits in force; undefined for a team that is unknown. */
  readonly findLimits: (team: TeamId) => BucketLimits | undefined;
}

/** What is known of one team. */
interface TeamEntry {
  readonly bucket: TeamBucket;
  admitted: number;
  asked: number;
}

/** Admits requests and exchanges counts with the other VMs. */
export class Quota implements TeamLimiter, UsageSource {
  readonly #parts: QuotaParts;
  readonly #teams = new Map<TeamId, TeamEntry>();
  readonly #growth = new UsageGrowth();
  #heardAt = -Infinity;
  readonly #startedAt: number;

  /** Creates a service that has admitted nothing. */
  constructor(parts: QuotaParts) {
    this.#parts = parts;
    this.#startedAt = parts.clock.now();
  }

  take(team: Team, preset: Preset): Promise<LimitDecision> {
    return Promise.resolve(this.#takeOne(team, preset));
  }

  listUsage(): readonly Usage[] {
    return [...this.#teams].map(([name, { admitted, asked }]) => ({
      name,
      admitted,
      asked,
    }));
  }

  recordOthers(others: readonly Usage[], isFirst: boolean): void {
    const now = this.#parts.clock.now();
    const heardAt = this.#heardAt;
    this.#heardAt = now;
    if (isFirst && heardAt > -Infinity) {
      for (const { bucket } of this.#teams.values()) {
        bucket.recordUnheard(heardAt, now);
      }
    }
    for (const grown of this.#growth.listGrowth(others, isFirst)) {
      const { name, admitted, asked } = grown;
      // A team that was not asked for here is counted too: its first request
      // here must not find tokens that are spent.
      const limits = this.#parts.findLimits(name);
      if (limits === undefined || limits.ratePerSecond === Infinity) continue;
      const { bucket } = this.#getEntry(name, limits, now);
      bucket.recordOthers(admitted, asked, now);
    }
  }

  #takeOne(team: Team, preset: Preset): LimitDecision {
    const limits = resolveLimits(team, preset);
    if (limits.ratePerSecond === Infinity) {
      return { kind: LimitKind.Within, giveBack: () => {} };
    }
    const now = this.#parts.clock.now();
    const entry = this.#getEntry(team.id, limits, now);
    entry.asked += 1;
    const view = {
      vms: this.#parts.countVms(),
      heardMs: now - this.#heardAt,
    };
    const decision = entry.bucket.take(limits, view, now);
    const inputs = {
      ratePerSecond: limits.ratePerSecond,
      burst: limits.burst,
      tokens: Math.round(decision.level),
      share: Number(decision.share.toFixed(3)),
      vms: view.vms,
      heardAgoMs: Math.round(view.heardMs),
    };
    switch (decision.kind) {
      case BucketDecisionKind.Refused:
        return {
          kind: LimitKind.Over,
          retryAfterMs: decision.retryAfterMs,
          inputs,
        };
      case BucketDecisionKind.Admitted:
        entry.admitted += 1;
        return {
          kind: LimitKind.Within,
          inputs: { ...inputs, hasPart: decision.hasPart },
          giveBack: () => {
            entry.admitted -= 1;
            entry.bucket.giveBack(limits);
          },
        };
    }
  }

  #getEntry(team: TeamId, limits: BucketLimits, now: number): TeamEntry {
    const existing = this.#teams.get(team);
    if (existing !== undefined) return existing;
    const created = {
      bucket: new TeamBucket(
        limits,
        this.#parts.countVms(),
        now - this.#startedAt,
        now,
      ),
      admitted: 0,
      asked: 0,
    };
    this.#teams.set(team, created);
    if (this.#teams.size > TEAMS_KEPT) {
      const oldest = this.#teams.keys().next();
      if (!oldest.done) this.#teams.delete(oldest.value);
    }
    return created;
  }
}

/** Resolves a team's limits under a preset. */
export function resolveLimits(team: Team, preset: Preset): BucketLimits {
  return {
    ratePerSecond: team.ratePerSecond * preset.rateFactor,
    burst: Math.max(1, team.burst * preset.rateFactor),
  };
}
