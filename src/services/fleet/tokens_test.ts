import assert from "node:assert/strict";
import { test } from "node:test";
import type { Clock } from "../clock/mod.ts";
import { QuotaRoleKind } from "../quota/token_exchange.ts";
import { FleetRole, LinkKind } from "./mod.ts";
import type { Fleet, Link } from "./mod.ts";
import { createFleetTokens } from "./tokens.ts";

const NOW = 10_000;

/** A follower's link to a hub. */
interface FollowerLink {
  readonly vm: string;
  readonly ageMs: number;
  readonly hasDelegatedTime?: boolean;
}

/** Counts the followers whose share of the tokens a hub refills. */
function countFollowers(links: readonly FollowerLink[]): number {
  const followers = links.map(({ vm, ageMs, hasDelegatedTime = true }) => ({
    vm: { name: vm },
    status: { sentAt: 0, receivedAt: NOW - ageMs, hasDelegatedTime },
  })) as unknown as Link[];
  const fleet = {
    role: FleetRole.Hub,
    listLinks: (kind: LinkKind) => kind === LinkKind.Follower ? followers : [],
  } as unknown as Fleet;
  const clock = { now: () => NOW } as unknown as Clock;
  const quotaRole = createFleetTokens(fleet, clock).getQuotaRole();
  assert.equal(quotaRole.kind, QuotaRoleKind.Hub);
  return quotaRole.kind === QuotaRoleKind.Hub ? quotaRole.followers : -1;
}

// Guards against a burst that both the hub and the follower accumulate.
test("a follower that refills its own share of the tokens is not counted", () => {
  const links = [
    { vm: "a", ageMs: 10 },
    { vm: "b", ageMs: 10, hasDelegatedTime: false },
  ];
  assert.equal(countFollowers(links), 1);
});

// Guards against counting the share of a restarted VM twice.
test("a follower with two links is counted once", () => {
  const links = [{ vm: "a", ageMs: 500 }, { vm: "a", ageMs: 10 }];
  assert.equal(countFollowers(links), 1);
});

// Guards against a share that the old hub still counts while the follower has
// already delegated it to the next hub.
test("a follower without a status for more than 0.7 s is not counted", () => {
  const links = [{ vm: "a", ageMs: 700 }, { vm: "b", ageMs: 701 }];
  assert.equal(countFollowers(links), 1);
});
