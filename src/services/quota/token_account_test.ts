import assert from "node:assert/strict";
import { test } from "node:test";
import { createSeededRandom } from "../random/mod.ts";
import { Accounts, MAX_TRACKED_TEAMS } from "./accounts.ts";
import { CachedTokens } from "./cached_tokens.ts";
import { PendingTokenRequests } from "./pending_token_requests.ts";
import { TokenAccount } from "./token_account.ts";
import type { AccountShare } from "./token_account.ts";
import type { TokenPeer, TokenRequest } from "./token_exchange.ts";

const LIMITS = { ratePerSecond: 20, burst: 20 };
const ALL_VMS: AccountShare = {
  vms: 10,
  formerVms: 10,
  undelegatedMs: 0,
  totalVms: 10,
};

/** Creates a clock whose timers run when it is advanced. */
function createClock() {
  let now = 0;
  const timers: { at: number; run: () => void }[] = [];
  return {
    now: () => now,
    wallNow: () => now,
    sleep: () => Promise.resolve(),
    startTimer: (ms: number, run: () => void) => {
      const timer = { at: now + ms, run };
      timers.push(timer);
      return () => void timers.splice(timers.indexOf(timer), 1);
    },
    advance: (ms: number) => {
      now += ms;
      for (const timer of timers.filter(({ at }) => at <= now)) timer.run();
    },
  };
}

test("an account spends at most its rate and one burst, in any order of events", () => {
  for (const seed of [1, 2, 3, 4, 5]) {
    const random = createSeededRandom(seed);
    const account = new TokenAccount(0);
    let spent = 0;
    let lent = 0;
    let now = 0;
    for (let step = 0; step < 2_000; step += 1) {
      now += random() * 30;
      // The refill total averages the time of all ten VMs: the elapsed time.
      account.update(LIMITS, ALL_VMS, now, now);
      if (random() < 0.6 && account.acquire()) spent += 1;
      if (random() < 0.1) lent += account.lend(random() * 3, random() * 5);
      const most = LIMITS.burst + LIMITS.ratePerSecond * now / 1_000;
      assert.ok(spent + lent <= most + 1e-6, `seed ${seed} at ${now}`);
    }
  }
});

test("tokens outside an account reduce its capacity", () => {
  const account = new TokenAccount(0);
  assert.equal(account.startBorrow(100, LIMITS, ALL_VMS, 0), 20);
  account.update(LIMITS, ALL_VMS, 5_000, 5_000);
  assert.equal(account.level, 0, "capacity is reserved for borrowed tokens");
  account.completeBorrow(4);
  assert.equal(account.level, 4);
  account.update(LIMITS, { ...ALL_VMS, undelegatedMs: 2_000 }, 9_000, 9_000);
  assert.equal(
    account.level,
    16,
    "followers have not delegated 0.2 s of the rate",
  );
  account.outstanding.set("vm-1", 1, 10_000);
  account.update(LIMITS, ALL_VMS, 9_500, 9_500);
  assert.equal(account.level, 19, "a follower has prefetched one");
  account.update(LIMITS, ALL_VMS, 10_000, 10_000);
  assert.equal(account.level, 20, "the prefetched token has expired");
});

// Guards against a full bucket for a team that was evicted and returns.
test("an evicted team starts again without tokens", () => {
  const clock = createClock();
  const accounts = new Accounts({
    clock,
    startedAt: 0,
    countTotalVms: () => 1,
    findLimits: () => LIMITS,
  });
  clock.advance(1_000);
  const account = accounts.get("team", LIMITS);
  while (account.acquire());
  for (let index = 0; index <= MAX_TRACKED_TEAMS; index += 1) {
    accounts.get(`other-${index}`, LIMITS);
  }
  assert.equal(accounts.get("team", LIMITS).level, 0);
});

// Guards against a hub that resumes after a pause and still spends tokens of
// its former followers.
test("a VM reduced to its own share drops the other VMs' tokens at once", () => {
  const clock = createClock();
  const accounts = new Accounts({
    clock,
    startedAt: 0,
    countTotalVms: () => 10,
    findLimits: () => LIMITS,
  });
  accounts.setShare(10, 0, true);
  for (let vm = 0; vm < 10; vm += 1) accounts.addElapsed(1_000);
  const account = accounts.get("team", LIMITS);
  assert.equal(account.level, 20);
  accounts.setShare(4, 0, true);
  assert.equal(account.level, 20, "followers that disconnected may have died");
  accounts.setShare(1, 0, false);
  assert.equal(account.level, 2);
});

// Guards against spending a token that was in transit for longer than the
// limits account for.
test("a token that arrives after the timeout is not spent", async () => {
  const clock = createClock();
  const requests = new PendingTokenRequests(clock);
  const cached = new CachedTokens(clock, requests);
  const sent: TokenRequest[] = [];
  const hub: TokenPeer = {
    vm: "hub",
    sendRequest: (request) => void sent.push(request),
    sendGrant: () => {},
    sendReturned: () => {},
  };
  const late = cached.fetch("team", hub, 1);
  clock.advance(400);
  assert.equal(await late, undefined);
  requests.applyGrant({ id: sent[0]?.id ?? 0, count: 2, waitMs: 0 });
  assert.equal(cached.acquire("team"), false);
  const prompt = cached.fetch("team", hub, 1);
  requests.applyGrant({ id: sent[1]?.id ?? 0, count: 2, waitMs: 0 });
  await prompt;
  assert.equal(cached.acquire("team"), true);
  clock.advance(4_000);
  assert.equal(cached.acquire("team"), false, "a cached token expires");
});
