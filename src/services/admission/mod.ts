/** Admission service: decides whether a request may run, and for which team. */
import { FRESHNESS_BOUND_MS, MIN_ATTEMPT_MS } from "../../constants.ts";
import {
  Idempotency,
  KeyPhase,
  RefusalKind,
  RouteAccess,
  RunState,
  Step,
} from "../../model/mod.ts";
import type {
  HeaderField,
  KeyDigest,
  Offset,
  Preset,
  Refusal,
  RequestHead,
  Route,
  ServiceId,
  Team,
} from "../../model/mod.ts";
import type { Clock } from "../clock/mod.ts";
import type { Configuration } from "../configuration/mod.ts";
import { FreshnessKind } from "../freshness/mod.ts";
import type { FreshnessReport, FreshnessSource } from "../freshness/mod.ts";
import type { Shutdown } from "../planned_stop/shutdown.ts";
import type { Random } from "../random/mod.ts";
import { KeyPresence, parseKey } from "./caller_key.ts";
import { parsePath, resolveNormalizedPath } from "./target.ts";

export { computeKeyDigest } from "./caller_key.ts";

/** Kinds of {@linkcode AdmissionDecision}. */
export enum AdmissionKind {
  Admitted = "admitted",
  Refused = "refused",
}

/** Parameters of an admitted request; fixed from its arrival to its end. */
export interface RequestPlan {
  readonly method: string;
  readonly target: string;
  /** Header fields that may be forwarded; without the key. */
  readonly headers: readonly HeaderField[];
  readonly route: Route;
  /** Service of the route that serves this request. */
  readonly service: ServiceId;
  /** Attempt id set by the caller; undefined if it set none. */
  readonly attempt: string | undefined;
  /** Version of the configuration under which the request was admitted. */
  readonly version: Offset;
  /** Priority rank; 0 is the highest. */
  readonly priority: number;
  /** Team of the caller; undefined on an open route. */
  readonly team: Team | undefined;
  /** Digest of the caller's key; empty on an open route. */
  readonly key: KeyDigest;
  readonly preset: Preset;
  /** Monotonic time of arrival, in milliseconds. */
  readonly arrivedAt: number;
  /** Monotonic time of the deadline, in milliseconds. */
  readonly deadlineAt: number;
}

/** Decision on a request. */
export type AdmissionDecision =
  | { readonly kind: AdmissionKind.Admitted; readonly plan: RequestPlan }
  | { readonly kind: AdmissionKind.Refused; readonly refusal: Refusal };

/** Identity of a caller that requests one of the daemon's own endpoints. */
export type CallerDecision =
  | {
    readonly kind: AdmissionKind.Admitted;
    /** Undefined for a caller without a key. */
    readonly team: Team | undefined;
    /** Digest of the caller's key; empty for a caller without a key. */
    readonly key: KeyDigest;
  }
  | { readonly kind: AdmissionKind.Refused; readonly refusal: Refusal };

/** Dependencies of {@linkcode Admission}. */
export interface AdmissionDependencies {
  readonly clock: Clock;
  readonly configuration: Configuration;
  readonly freshness: FreshnessSource;
  readonly shutdown: Shutdown;
  readonly random: Random;
}

/** Priority rank of requests whose route and team set none. */
const DEFAULT_PRIORITY = 1;
/**
 * Retry delay for a caller of a VM without a configuration: about the time from
 * a VM's first connection to its first configuration.
 */
const STARTING_RETRY_MS = 300;
/** Retry delay for a caller of a VM that stops; other VMs can serve it. */
const STOPPING_RETRY_MS = 100;
/** Retry delay for a caller whose key now belongs to another team. */
const REASSIGNED_RETRY_MS = 100;

/** Decides which requests may run. */
export class Admission {
  readonly #deps: AdmissionDependencies;

  constructor(deps: AdmissionDependencies) {
    this.#deps = deps;
  }

  /** Decides on an arriving request under the current configuration. */
  admit(head: RequestHead): AdmissionDecision {
    const { configuration } = this.#deps;
    const path = parsePath(head.target);
    if (path === undefined) {
      return refuse(RefusalKind.BadRequest, Step.Parse);
    }
    const caller = parseKey(head.headers, head.target);
    if (caller.presence === KeyPresence.Misplaced) {
      return refuse(RefusalKind.BadRequest, Step.Key);
    }
    const { state } = configuration;
    const missing = this.#checkLoaded();
    if (missing !== undefined) return missing;
    const route = state.routeTable.find(head.method, path, head.host);
    const normalized = resolveNormalizedPath(path);
    if (
      normalized !== path &&
      state.routeTable.find(head.method, normalized, head.host) !== route
    ) {
      return refuse(RefusalKind.BadRequest, Step.Parse);
    }
    if (route === undefined) {
      return refuse(RefusalKind.RouteUnknown, Step.Route);
    }
    const key = route.access === RouteAccess.Open ? "" : caller.digest;
    if (route.access === RouteAccess.TeamBound) {
      const refusal = this.checkKey(caller.digest);
      if (refusal !== undefined) {
        return { kind: AdmissionKind.Refused, refusal };
      }
    }
    const preset = state.getPreset();
    const team = state.teams.get(state.keys.get(key)?.team ?? "");
    const arrivedAt = head.receivedAt;
    const timeoutMs = Math.min(
      route.deadlineMs * preset.deadlineFactor,
      head.remainingMs ?? Infinity,
    );
    const plan: RequestPlan = {
      method: head.method,
      target: head.target,
      headers: caller.forwarded,
      route,
      service: pickService(route, this.#deps.random),
      attempt: head.attempt,
      version: state.offset,
      priority: team?.priority ?? route.priority ?? DEFAULT_PRIORITY,
      team,
      key,
      preset,
      arrivedAt,
      deadlineAt: arrivedAt + timeoutMs,
    };
    const refusal = this.#checkTime(plan);
    return refusal === undefined
      ? { kind: AdmissionKind.Admitted, plan }
      : { kind: AdmissionKind.Refused, refusal };
  }

  /**
   * Identifies the caller of one of the daemon's own endpoints.
   *
   * A caller without a key belongs to no team; one with an invalid key is
   * refused.
   */
  findCaller(head: RequestHead): CallerDecision {
    const caller = parseKey(head.headers, head.target);
    if (caller.presence === KeyPresence.None) {
      return { kind: AdmissionKind.Admitted, team: undefined, key: "" };
    }
    const refusal = this.#checkTeamOfKey(caller.digest);
    if (refusal !== undefined) return { kind: AdmissionKind.Refused, refusal };
    const { state } = this.#deps.configuration;
    const team = state.teams.get(state.keys.get(caller.digest)?.team ?? "");
    return { kind: AdmissionKind.Admitted, team, key: caller.digest };
  }

  /**
   * Version of the configuration under which requests are currently admitted.
   */
  get version(): Offset {
    return this.#deps.configuration.offset;
  }

  /** Returns the age of the configuration's newest confirmation. */
  getFreshness(): FreshnessReport {
    return this.#deps.freshness.getReport();
  }

  /** Checks before a dispatch whether an admitted request may still run. */
  checkPlan(plan: RequestPlan): Refusal | undefined {
    const expired = this.#checkTime(plan);
    if (expired !== undefined) return expired;
    if (plan.route.access === RouteAccess.Open) return undefined;
    return this.checkKey(plan.key) ?? this.#checkTeam(plan);
  }

  /**
   * Whether a request may run beside others of its connection. One that will be
   * refused may, since no server receives it.
   */
  isIdempotent(head: RequestHead): boolean {
    // A request that waits for the first configuration may be of any kind.
    if (this.#checkLoaded() !== undefined) return false;
    const path = parsePath(head.target);
    if (path === undefined) return true;
    const { routeTable } = this.#deps.configuration.state;
    const route = routeTable.find(head.method, path, head.host);
    return route?.idempotency !== Idempotency.NonIdempotent;
  }

  /** Returns a refusal if a request's deadline or this VM's stop is too near. */
  #checkTime(plan: RequestPlan): Refusal | undefined {
    const remainingMs = plan.deadlineAt - this.#deps.clock.now();
    if (remainingMs < MIN_ATTEMPT_MS) {
      return createRefusal(RefusalKind.DeadlineExpired, Step.Queue);
    }
    return this.#checkShutdown(plan, remainingMs);
  }

  /** Returns a refusal if this VM stops before the request is likely to end. */
  #checkShutdown(plan: RequestPlan, remainingMs: number): Refusal | undefined {
    const { route, service } = plan;
    const hasTime = this.#deps.shutdown.hasTimeFor({
      service,
      route: route.id,
      targetMs: route.targetMs,
      remainingMs,
      receivedAt: plan.arrivedAt,
    });
    return hasTime ? undefined : createStoppingRefusal();
  }

  /** Checks a key against the current configuration and its freshness. */
  checkKey(digest: KeyDigest): Refusal | undefined {
    if (digest === "") return createRefusal(RefusalKind.KeyMissing, Step.Key);
    const refusal = this.#checkTeamOfKey(digest);
    if (refusal !== undefined) return refusal;
    if (!this.#deps.freshness.isFresh()) {
      return createRefusal(
        RefusalKind.ConfigurationStale,
        Step.Freshness,
        FRESHNESS_BOUND_MS,
      );
    }
    return undefined;
  }

  /** Returns a refusal if a request's key now belongs to another team. */
  #checkTeam({ key, team }: RequestPlan): Refusal | undefined {
    const { state } = this.#deps.configuration;
    if (state.keys.get(key)?.team === team?.id) return undefined;
    return createRefusal(
      RefusalKind.KeyReassigned,
      Step.Key,
      REASSIGNED_RETRY_MS,
    );
  }

  #checkTeamOfKey(digest: KeyDigest): Refusal | undefined {
    const { state } = this.#deps.configuration;
    const key = state.keys.get(digest);
    if (key === undefined) {
      return createRefusal(RefusalKind.KeyUnknown, Step.Key);
    }
    const team = state.teams.get(key.team);
    if (key.phase === KeyPhase.Withdrawn || team === undefined) {
      return createRefusal(RefusalKind.KeyWithdrawn, Step.Key);
    }
    if (team.cell !== this.#deps.configuration.cell) {
      return createRefusal(RefusalKind.KeyUnknown, Step.Key);
    }
    return undefined;
  }

  #checkLoaded(): AdmissionDecision | undefined {
    const { kind } = this.#deps.freshness.getReport();
    if (kind !== FreshnessKind.Missing) return undefined;
    return refuse(
      RefusalKind.ConfigurationMissing,
      Step.Freshness,
      STARTING_RETRY_MS,
    );
  }
}

/** Picks one of a route's services by weight. */
function pickService(route: Route, random: Random): ServiceId {
  const { split } = route;
  if (split === undefined) return route.service;
  const total = split.reduce((sum, entry) => sum + entry.weight, 0);
  let remaining = random() * total;
  for (const { service, weight } of split) {
    remaining -= weight;
    if (remaining < 0) return service;
  }
  return route.service;
}

/** Creates the refusal of a request that can't end before this VM stops. */
export function createStoppingRefusal(): Refusal {
  return createRefusal(RefusalKind.Stopping, Step.Queue, STOPPING_RETRY_MS);
}

/** Creates a refusal of a request that no backend server has received. */
export function createRefusal(
  kind: RefusalKind,
  step: Step,
  retryAfterMs = 0,
): Refusal {
  return { kind, step, peer: "", run: RunState.NotRun, retryAfterMs };
}

function refuse(
  kind: RefusalKind,
  step: Step,
  retryAfterMs = 0,
): AdmissionDecision {
  const refusal = createRefusal(kind, step, retryAfterMs);
  return { kind: AdmissionKind.Refused, refusal };
}
