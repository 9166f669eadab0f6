/** Describes an admitted request to the overload policy. */
import type { RequestPlan } from "../admission/mod.ts";
import type { PolicyRequest } from "../overload/policy.ts";

/** Creates what the policy knows of a request. */
export function createPolicyRequest(plan: RequestPlan): PolicyRequest {
  const { route, service, priority, arrivedAt, deadlineAt } = plan;
  return {
    id: plan.attempt ?? "",
    service,
    route: route.id,
    team: plan.team?.id ?? "",
    priority,
    targetMs: route.targetMs,
    arrivedAt,
    deadlineAt,
  };
}
