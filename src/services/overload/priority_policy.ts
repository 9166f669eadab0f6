/** The policy that refuses requests by priority and the shortest queue. */
import type { ServiceId } from "../../model/mod.ts";
import type { Clock } from "../clock/mod.ts";
import type { Logger } from "../logging/mod.ts";
import type { Random } from "../random/mod.ts";
import { OverloadKind } from "./mod.ts";
import type { Overload } from "./mod.ts";
import { VerdictKind } from "./policy.ts";
import type { OverloadPolicy, PolicyRequest, PolicyVerdict } from "./policy.ts";
import { computeRetryAfterMs } from "./retry_delay.ts";

/** Dependencies of {@linkcode createPriorityPolicy}. */
export interface PriorityPolicyDependencies {
  readonly clock: Clock;
  readonly overload: Overload;
  /** Returns the shortest expected wait for a slot, in milliseconds. */
  readonly getQueueMs: (service: ServiceId) => number;
  readonly logger: Logger;
  readonly random: Random;
}

/** Verdict on all requests that start; they are charged equally. */
const START: PolicyVerdict = {
  kind: VerdictKind.Start,
  work: 1,
  complete: () => {},
};

/** Creates the policy; requests never wait in it. */
export function createPriorityPolicy(
  deps: PriorityPolicyDependencies,
): OverloadPolicy {
  return {
    admit: (request) => Promise.resolve(evaluateRequest(deps, request)),
    recordProcessed: () => {},
    checkSecondOffer: () => true,
  };
}

function evaluateRequest(
  deps: PriorityPolicyDependencies,
  request: PolicyRequest,
): PolicyVerdict {
  const { clock, overload, logger, random } = deps;
  const { service, route, priority, targetMs } = request;
  const now = clock.now();
  const queueMs = deps.getQueueMs(service);
  const remainingMs = request.deadlineAt - now;
  const decision = overload.evaluate(
    { service, route, priority, queueMs, targetMs, remainingMs },
    now,
  );
  switch (decision.kind) {
    case OverloadKind.Accepted:
      return START;
    case OverloadKind.Refused:
      logger.info("service is overloaded; refusing the request", {
        request: request.id,
        service,
        route,
        priority,
        reason: decision.reason,
        queueMs: Math.round(queueMs),
        leftMs: Math.round(remainingMs),
        excessMs: Math.round(decision.excessMs),
      });
      return {
        kind: VerdictKind.Refuse,
        retryAfterMs: computeRetryAfterMs(decision.excessMs, random),
      };
  }
}
