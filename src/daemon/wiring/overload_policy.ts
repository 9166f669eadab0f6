/** The policy that decides which requests start when capacity is scarce. */
import { decodeContracts } from "../../../platform/contracts.ts";
import type { Finder, Kernel } from "../../kernel/mod.ts";
import { Feature, OverloadPolicyKind } from "../../model/mod.ts";
import {
  createServiceDefinition,
  ServiceName,
} from "../../services/catalog.ts";
import type { Services } from "../../services/catalog.ts";
import type { OverloadPolicy } from "../../services/overload/policy.ts";
import { createPriorityPolicy } from "../../services/overload/priority_policy.ts";
import { createCapacityView } from "../../services/scarcity/capacity_source.ts";
import { Scarcity } from "../../services/scarcity/mod.ts";
import type { DaemonSettings } from "../../settings/mod.ts";

/** Adds the policy that the settings ask for. */
export function addOverloadPolicy(kernel: Kernel<Services>): void {
  kernel.add(createServiceDefinition({
    name: ServiceName.OverloadPolicy,
    dependencies: [
      ServiceName.Settings,
      ServiceName.Clock,
      ServiceName.Random,
      ServiceName.Selection,
      ServiceName.Overload,
      ServiceName.BacklogExchange,
      ServiceName.Metrics,
      ServiceName.Logging,
    ],
    create: (find) => {
      const kind = resolvePolicyKind(find(ServiceName.Settings));
      switch (kind) {
        case OverloadPolicyKind.Priority:
          return createPriority(find);
        case OverloadPolicyKind.Cost:
          return createScarcity(find);
      }
    },
  }));
}

/** Returns the policy that the settings or the platform's contracts ask for. */
export function resolvePolicyKind(
  { contracts, overloadPolicy }: DaemonSettings,
): OverloadPolicyKind {
  return decodeContracts(contracts).has(Feature.CostAdmission)
    ? OverloadPolicyKind.Cost
    : overloadPolicy;
}

function createPriority(find: Finder<Services>): OverloadPolicy {
  const selection = find(ServiceName.Selection);
  return createPriorityPolicy({
    clock: find(ServiceName.Clock),
    overload: find(ServiceName.Overload),
    getQueueMs: (service) => selection.getQueueMs(service),
    // The lines of this policy are the forwarding service's.
    logger: find(ServiceName.Logging).createLogger("forwarding"),
    random: find(ServiceName.Random),
  });
}

function createScarcity(find: Finder<Services>): OverloadPolicy {
  const selection = find(ServiceName.Selection);
  const backlog = find(ServiceName.BacklogExchange);
  const scarcity = new Scarcity({
    clock: find(ServiceName.Clock),
    random: find(ServiceName.Random),
    logger: find(ServiceName.Logging).createLogger("scarcity"),
    metrics: find(ServiceName.Metrics),
    getView: (service, workMs, ownStarted) =>
      createCapacityView({ selection, backlog, service, workMs, ownStarted }),
  });
  backlog.setBacklogSource(() => scarcity.sumBacklog());
  return scarcity;
}
