/** Services that connect the VMs of a cell, with the log as backing. */
import { RETRY_BUDGET_BURST, RETRY_BUDGET_RATIO } from "../../constants.ts";
import type { Kernel } from "../../kernel/mod.ts";
import {
  createServiceDefinition,
  ServiceName,
} from "../../services/catalog.ts";
import type { Services } from "../../services/catalog.ts";
import { createHttpVmListClient } from "../../protocols/http/vm_list_client.ts";
import {
  decodeMessage,
  encodeMessage,
} from "../../protocols/peer/message_codec.ts";
import { createWebSocketTransport } from "../../protocols/peer/ws_transport.ts";
import { createMeshExchange } from "../../services/detector/evidence_exchange.ts";
import { DetectionPolicy } from "../../services/detector/mod.ts";
import { createTokenBudget } from "../../services/forwarding/retry_budget.ts";
import { Freshness } from "../../services/freshness/mod.ts";
import { Membership } from "../../services/membership/mod.ts";
import { Presence } from "../../services/presence/mod.ts";
import { QuotaShards } from "../../services/quota_shards/mod.ts";
import { NO_BACKLOG_EXCHANGE } from "../../services/scarcity/backlog_exchange.ts";
import { NO_LOAD_EXCHANGE } from "../../services/selection/load_exchange.ts";
import { Shares } from "../../services/shares/mod.ts";
import { createShareLimiter } from "../../services/shares/share_limiter.ts";
import { NO_WARM_UP } from "../../services/warm_up/mod.ts";
import type { DaemonSettings } from "../../settings/mod.ts";

/** Adds the services of a cell. */
export function addCell(kernel: Kernel<Services>): void {
  addMembership(kernel);
  addShards(kernel);
  addShares(kernel);
}

function addMembership(kernel: Kernel<Services>): void {
  kernel.add(createServiceDefinition({
    name: ServiceName.PeerTransport,
    dependencies: [ServiceName.Settings],
    create: (find, scope) =>
      createWebSocketTransport(
        find(ServiceName.Settings).peerListen,
        { encode: encodeMessage, decode: decodeMessage },
        scope.createBoundary(),
      ),
  }));
  kernel.add(createServiceDefinition({
    name: ServiceName.VmListClient,
    dependencies: [ServiceName.Settings, ServiceName.Clock],
    create: (find) =>
      createHttpVmListClient(
        find(ServiceName.Settings).vmListUrl,
        find(ServiceName.Clock),
      ),
  }));
  kernel.add(createServiceDefinition({
    name: ServiceName.Membership,
    dependencies: [
      ServiceName.Settings,
      ServiceName.Clock,
      ServiceName.PeerTransport,
      ServiceName.VmListClient,
      ServiceName.CallerServer,
      ServiceName.Logging,
    ],
    create: (find, scope) => {
      const settings = find(ServiceName.Settings);
      const server = find(ServiceName.CallerServer);
      const transport = find(ServiceName.PeerTransport);
      const membership = new Membership({
        self: {
          vm: settings.vm,
          incarnation: settings.incarnation,
          cell: settings.cell,
          failureDomain: settings.failureDomain,
          getCallerAddress: () => formatCallerAddress(settings, server.port),
        },
        clock: find(ServiceName.Clock),
        transport,
        vmList: find(ServiceName.VmListClient),
        logger: find(ServiceName.Logging).createLogger("peers"),
        scope,
      });
      scope.addStart(async () => {
        await transport.open();
        scope.runTask(() => membership.runAccepting());
        scope.runTask((signal) => membership.runVmList(signal));
      });
      scope.addStop(() => transport.close());
      return membership;
    },
  }));
}

function formatCallerAddress(settings: DaemonSettings, port: number): string {
  const { callerAdvertise } = settings;
  return `${callerAdvertise.host}:${callerAdvertise.port || port}`;
}

function addShards(kernel: Kernel<Services>): void {
  kernel.add(createServiceDefinition({
    name: ServiceName.QuotaShards,
    dependencies: [
      ServiceName.Clock,
      ServiceName.Random,
      ServiceName.Configuration,
      ServiceName.Membership,
      ServiceName.LogClient,
      ServiceName.Logging,
    ],
    create: (find, scope) => {
      const shards = new QuotaShards({
        clock: find(ServiceName.Clock),
        random: find(ServiceName.Random),
        configuration: find(ServiceName.Configuration),
        membership: find(ServiceName.Membership),
        log: find(ServiceName.LogClient),
        logger: find(ServiceName.Logging).createLogger("seats"),
      });
      scope.addStart(() => scope.runTask((signal) => shards.run(signal)));
      scope.addStop(() => shards.releaseRemaining());
      return shards;
    },
  }));
  kernel.add(createServiceDefinition({
    name: ServiceName.Freshness,
    dependencies: [
      ServiceName.Clock,
      ServiceName.Configuration,
      ServiceName.Membership,
      ServiceName.QuotaShards,
    ],
    create: (find) =>
      new Freshness({
        clock: find(ServiceName.Clock),
        configuration: find(ServiceName.Configuration),
        membership: find(ServiceName.Membership),
        shards: find(ServiceName.QuotaShards),
      }),
  }));
  kernel.add(createServiceDefinition({
    name: ServiceName.Presence,
    dependencies: [
      ServiceName.Configuration,
      ServiceName.Dispatch,
      ServiceName.Freshness,
      ServiceName.Membership,
      ServiceName.QuotaShards,
      ServiceName.Logging,
    ],
    create: (find) =>
      new Presence({
        configuration: find(ServiceName.Configuration),
        dispatch: find(ServiceName.Dispatch),
        freshness: find(ServiceName.Freshness),
        membership: find(ServiceName.Membership),
        shards: find(ServiceName.QuotaShards),
        logger: find(ServiceName.Logging).createLogger("presence"),
      }),
  }));
}

function addShares(kernel: Kernel<Services>): void {
  kernel.add(createServiceDefinition({
    name: ServiceName.TeamLimiter,
    dependencies: [ServiceName.Shares],
    create: (find) => createShareLimiter(find(ServiceName.Shares)),
  }));
  kernel.add(createServiceDefinition({
    name: ServiceName.LoadExchange,
    dependencies: [],
    create: () => NO_LOAD_EXCHANGE,
  }));
  kernel.add(createServiceDefinition({
    name: ServiceName.WarmUp,
    dependencies: [],
    create: () => NO_WARM_UP,
  }));
  kernel.add(createServiceDefinition({
    name: ServiceName.BacklogExchange,
    dependencies: [],
    create: () => NO_BACKLOG_EXCHANGE,
  }));
  kernel.add(createServiceDefinition({
    name: ServiceName.DetectionPolicy,
    dependencies: [],
    create: () => DetectionPolicy.Eject,
  }));
  kernel.add(createServiceDefinition({
    name: ServiceName.RetryBudget,
    dependencies: [],
    create: () =>
      createTokenBudget({
        ratio: RETRY_BUDGET_RATIO,
        burst: RETRY_BUDGET_BURST,
      }),
  }));
  kernel.add(createServiceDefinition({
    name: ServiceName.EvidenceExchange,
    dependencies: [ServiceName.Membership],
    create: (find) => createMeshExchange(find(ServiceName.Membership)),
  }));
  kernel.add(createServiceDefinition({
    name: ServiceName.Shares,
    dependencies: [
      ServiceName.Clock,
      ServiceName.Configuration,
      ServiceName.Freshness,
      ServiceName.Membership,
      ServiceName.QuotaShards,
    ],
    create: (find, scope) => {
      const shares = new Shares({
        clock: find(ServiceName.Clock),
        configuration: find(ServiceName.Configuration),
        freshness: find(ServiceName.Freshness),
        membership: find(ServiceName.Membership),
        shards: find(ServiceName.QuotaShards),
      });
      scope.addStart(() => scope.runTask((signal) => shares.run(signal)));
      return shares;
    },
  }));
}
