/** Tokens of teams among the VMs of a fleet, by way of the hubs. */
import type { Clock } from "../clock/mod.ts";
import { AskerKind, StandingKind } from "../quota/token_exchange.ts";
import type {
  Standing,
  TokenExchange,
  TokenPeer,
} from "../quota/token_exchange.ts";
import { FleetMessageKind, FleetRole, LinkKind } from "./mod.ts";
import type { Fleet, Link } from "./mod.ts";

/**
 * Time after a follower's newest status for which its hub has its part. A
 * follower gives up a silent hub after 900 ms; the rest is for the way.
 */
const FOLLOWER_HEARD_MS = 700;
/**
 * Age of what a hub has answered or said last beyond which it is not asked for
 * tokens: an interval of 250 ms, and the time that an answer may take.
 */
const HUB_HEARD_MS = 650;

/** Creates an exchange by way of the hubs. */
export function createFleetTokens(fleet: Fleet, clock: Clock): TokenExchange {
  return {
    getStanding: () => getStanding(fleet, clock.now()),
    countHolders: () => fleet.countAnnounced(),
    setKeeper: (keeper) => {
      fleet.setElapsedTimeSource(keeper);
      fleet.setHandler(
        FleetMessageKind.TokenAsk,
        ({ ask }, link) => {
          const asker = link.kind === LinkKind.Follower
            ? AskerKind.Follower
            : AskerKind.Hub;
          keeper.answerAsk(ask, asker, createPeer(link));
        },
      );
      fleet.setHandler(
        FleetMessageKind.TokenGrant,
        ({ grant }) => keeper.applyGrant(grant),
      );
      fleet.setHandler(
        FleetMessageKind.TokenReturned,
        ({ team }) => keeper.addReturned(team),
      );
    },
  };
}

function getStanding(fleet: Fleet, now: number): Standing {
  switch (fleet.role) {
    case FleetRole.Searching:
      return { kind: StandingKind.Alone, isSearching: true };
    case FleetRole.Follower: {
      const hub = fleet.listLinks(LinkKind.Uplink)
        .find((link) => isPrompt(link, now));
      return hub === undefined
        ? { kind: StandingKind.Alone, isSearching: false }
        : { kind: StandingKind.Follower, hub: createPeer(hub) };
    }
    case FleetRole.Hub: {
      const ages = listFollowerAges(fleet, now);
      return {
        kind: StandingKind.Hub,
        followers: ages.length,
        notLeftMs: ages.reduce((sum, age) => sum + age, 0),
        hubs: fleet.listLinks(LinkKind.ToHub).map(createPeer),
      };
    }
  }
}

/** Lists how old the newest status of each follower is, by VM. */
function listFollowerAges(fleet: Fleet, now: number): number[] {
  const ages = new Map<string, number>();
  for (const { vm, status } of fleet.listLinks(LinkKind.Follower)) {
    if (status === undefined || !status.hasLeftTime) continue;
    const age = now - status.at;
    if (age > FOLLOWER_HEARD_MS) continue;
    ages.set(vm.name, Math.min(age, ages.get(vm.name) ?? age));
  }
  return [...ages.values()];
}

function isPrompt(link: Link, now: number): boolean {
  return now - link.heardAt <= HUB_HEARD_MS &&
    link.answeredAfterMs <= HUB_HEARD_MS;
}

function createPeer(link: Link): TokenPeer {
  return {
    vm: link.vm.name,
    sendAsk: (ask) => link.send({ kind: FleetMessageKind.TokenAsk, ask }),
    sendGrant: (grant) =>
      link.send({ kind: FleetMessageKind.TokenGrant, grant }),
    sendReturned: (team) =>
      link.send({ kind: FleetMessageKind.TokenReturned, team }),
  };
}
