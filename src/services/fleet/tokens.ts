/** Exchange of teams' tokens between the VMs of a fleet. */
import type { Clock } from "../clock/mod.ts";
import { QuotaRoleKind, RequesterKind } from "../quota/token_exchange.ts";
import type {
  QuotaRole,
  TokenExchange,
  TokenPeer,
} from "../quota/token_exchange.ts";
import { FleetMessageKind, FleetRole, LinkKind } from "./mod.ts";
import type { Fleet, Link } from "./mod.ts";

/**
 * Time after a follower's newest status for which its hub counts the follower's
 * share of the tokens, in milliseconds. A follower closes the link to an
 * unresponsive hub after 900 ms; the difference allows for network delay.
 */
const FOLLOWER_STATUS_TTL_MS = 700;
/**
 * Maximum age of the hub's last message, and maximum delay of its echo of a
 * status, at which tokens are requested from it, in milliseconds: the report
 * interval of 250 ms plus the time that a response may take.
 */
const HUB_RESPONSE_MAX_AGE_MS = 650;

/** Creates a token exchange over the hubs. */
export function createFleetTokens(fleet: Fleet, clock: Clock): TokenExchange {
  return {
    getQuotaRole: () => getQuotaRole(fleet, clock.now()),
    countTotalVms: () => fleet.countAnnounced(),
    setHandler: (handler) => {
      fleet.setElapsedTimeSource(handler);
      fleet.setHandler(
        FleetMessageKind.TokenRequest,
        ({ ask }, link) => {
          const requester = link.kind === LinkKind.Follower
            ? RequesterKind.Follower
            : RequesterKind.Hub;
          handler.handleRequest(ask, requester, createPeer(link));
        },
      );
      fleet.setHandler(
        FleetMessageKind.TokenGrant,
        ({ grant }) => handler.applyGrant(grant),
      );
      fleet.setHandler(
        FleetMessageKind.TokenReturned,
        ({ team }) => handler.addReturned(team),
      );
    },
  };
}

function getQuotaRole(fleet: Fleet, now: number): QuotaRole {
  switch (fleet.role) {
    case FleetRole.Searching:
      return { kind: QuotaRoleKind.Standalone, isSearching: true };
    case FleetRole.Follower: {
      const hub = fleet.listLinks(LinkKind.Uplink)
        .find((link) => isResponsive(link, now));
      return hub === undefined
        ? { kind: QuotaRoleKind.Standalone, isSearching: false }
        : { kind: QuotaRoleKind.Follower, hub: createPeer(hub) };
    }
    case FleetRole.Hub: {
      const ages = listFollowerAges(fleet, now);
      return {
        kind: QuotaRoleKind.Hub,
        followers: ages.length,
        undelegatedMs: ages.reduce((sum, age) => sum + age, 0),
        hubs: fleet.listLinks(LinkKind.ToHub).map(createPeer),
      };
    }
  }
}

/** Lists the age of each follower's newest status, one for each VM. */
function listFollowerAges(fleet: Fleet, now: number): number[] {
  const ages = new Map<string, number>();
  for (const { vm, status } of fleet.listLinks(LinkKind.Follower)) {
    if (status === undefined || !status.hasDelegatedTime) continue;
    const age = now - status.receivedAt;
    if (age > FOLLOWER_STATUS_TTL_MS) continue;
    ages.set(vm.name, Math.min(age, ages.get(vm.name) ?? age));
  }
  return [...ages.values()];
}

function isResponsive(link: Link, now: number): boolean {
  return now - link.lastSeenAt <= HUB_RESPONSE_MAX_AGE_MS &&
    link.echoedAfterMs <= HUB_RESPONSE_MAX_AGE_MS;
}

function createPeer(link: Link): TokenPeer {
  return {
    vm: link.vm.name,
    sendRequest: (ask) =>
      link.send({ kind: FleetMessageKind.TokenRequest, ask }),
    sendGrant: (grant) =>
      link.send({ kind: FleetMessageKind.TokenGrant, grant }),
    sendReturned: (team) =>
      link.send({ kind: FleetMessageKind.TokenReturned, team }),
  };
}
