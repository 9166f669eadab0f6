import assert from "node:assert/strict";
import { test } from "node:test";
import { REPORT_MS, UsageExchange } from "../../../standins/usage_exchange.ts";
import type { Clock } from "../clock/mod.ts";
import { createSeededRandom } from "../random/mod.ts";
import { FleetRetryBudget } from "./fleet_retry_budget.ts";

const WINDOW_MS = 10_000;
const STEP_MS = 10;
/** Time after its start until a VM uses the complete slack. */
const WARM_UP_MS = 12_000;
const RATIO = 0.2;
const SLACK = 56;
const VMS = 32;
/** Failure domains, each with a hub. */
const DOMAINS = 3;
/** Reports that a domain misses when its hub becomes unresponsive: 0.9 s. */
const HUB_PAUSE_REPORTS = 4;
const SCOPE = { service: "rota", team: "", priority: 1 };
const LESS_URGENT = { ...SCOPE, priority: 2 };

interface Load {
  readonly seed: number;
  readonly seconds: number;
  /** Requests per second of all VMs together. */
  readonly perSecond: number;
  /** Probability that a request needs a retry, by time and VM. */
  readonly getRetryProbability: (ms: number, vm: number) => number;
  /** When all VMs are killed and restarted; undefined for never. */
  readonly restartAt?: number;
  /** Time between two losses of a hub in ms; undefined for none. */
  readonly hubLossMs?: number;
}

interface Result {
  readonly needed: number;
  readonly denied: number;
  /** Maximum number of retries beyond the users' limit in any window. */
  readonly worstExcess: number;
}

function createClock(now: () => number): Clock {
  return {
    now,
    wallNow: now,
    startTimer: () => () => {},
    sleep: () => Promise.resolve(),
  };
}

function createBudgets(clock: Clock): FleetRetryBudget[] {
  return Array.from({ length: VMS }, () =>
    new FleetRetryBudget({
      clock,
      countVms: () => VMS,
      ratio: RATIO,
      slack: SLACK,
      windowMs: WINDOW_MS,
    }));
}

function runLoad(load: Load): Result {
  let now = 0;
  const random = createSeededRandom(load.seed);
  let budgets = createBudgets(createClock(() => now));
  let exchange = new UsageExchange(budgets, DOMAINS);
  let losses = 0;
  const requestedAt: number[] = [];
  const retriedAt: number[] = [];
  let needed = 0;
  let denied = 0;
  for (; now < load.seconds * 1_000; now += STEP_MS) {
    if (now === load.restartAt) {
      budgets = createBudgets(createClock(() => now));
      exchange = new UsageExchange(budgets, DOMAINS);
    }
    if (now > 0 && now % (load.hubLossMs ?? Infinity) === 0) {
      exchange.replaceHub(losses, HUB_PAUSE_REPORTS);
      losses += 1;
    }
    if (now % REPORT_MS === 0) exchange.sendReports();
    const count = Math.floor(load.perSecond * STEP_MS / 1_000 + random());
    for (let index = 0; index < count; index += 1) {
      const vm = Math.floor(random() * VMS);
      requestedAt.push(now);
      budgets[vm]?.recordRequest(SCOPE);
      if (random() >= load.getRetryProbability(now, vm)) continue;
      needed += 1;
      if (budgets[vm]?.acquire(SCOPE)) retriedAt.push(now);
      else denied += 1;
    }
  }
  const worstExcess = Math.max(...retriedAt.map((end) => {
    const countIn = (times: readonly number[]): number =>
      times.filter((at) => at > end - WINDOW_MS && at <= end).length;
    return countIn(retriedAt) - RATIO * countIn(requestedAt) - SLACK;
  }));
  return { needed, denied, worstExcess };
}

for (const seed of [1, 2, 3]) {
  test(`16 % of the requests need a retry: no retry is denied (seed ${seed})`, () => {
    const { needed, denied } = runLoad({
      seed,
      seconds: 42,
      perSecond: 28,
      getRetryProbability: (ms) => ms < WARM_UP_MS ? 0 : 0.16,
    });
    assert.ok(denied <= 0.01 * needed, `${denied} of ${needed}`);
  });

  test(`failures at few VMs: they use retries that the others don't need (seed ${seed})`, () => {
    const { needed, denied } = runLoad({
      seed,
      seconds: 42,
      perSecond: 80,
      getRetryProbability: (ms, vm) =>
        ms < WARM_UP_MS ? 0 : vm < 4 ? 0.5 : 0.02,
    });
    assert.ok(denied <= 0.05 * needed, `${denied} of ${needed}`);
  });

  test(`restart: all requests fail while all VMs restart, retries stay limited (seed ${seed})`, () => {
    for (const restartAt of [12_000, 15_000]) {
      const { worstExcess } = runLoad({
        seed,
        seconds: 25,
        perSecond: 30,
        getRetryProbability: (ms) => ms < 10_000 ? 0.02 : 1,
        restartAt,
      });
      assert.ok(worstExcess <= 0, `${worstExcess} too many`);
    }
  });

  // Guards against uncounted retries from before the first report of a new hub.
  test(`hubs are replaced while all requests fail: retries stay limited (seed ${seed})`, () => {
    for (const perSecond of [30, 120]) {
      const { worstExcess } = runLoad({
        seed,
        seconds: 30,
        perSecond,
        getRetryProbability: (ms) => ms < 8_000 ? 0.02 : 1,
        hubLossMs: 2_000,
      });
      assert.ok(worstExcess <= 0, `${worstExcess} too many at ${perSecond}`);
    }
  });

  test(`all requests fail at once: all VMs together stay within the limit (seed ${seed})`, () => {
    for (const perSecond of [5, 30, 120]) {
      const { worstExcess } = runLoad({
        seed,
        seconds: 30,
        perSecond,
        getRetryProbability: (ms) => ms < 8_000 ? 0.02 : 1,
      });
      assert.ok(worstExcess <= 0, `${worstExcess} too many at ${perSecond}`);
    }
  });
}

test("all servers shed for a long time: urgent requests get the last retries", () => {
  const { urgent, others } = runSheddingLoad();
  assert.ok(urgent >= 4 * others, `${urgent} and ${others}`);
});

/** Counts retries from three seconds after the servers start to shed. */
function runSheddingLoad(): { urgent: number; others: number } {
  let now = 0;
  const budgets = createBudgets(createClock(() => now));
  const exchange = new UsageExchange(budgets);
  const random = createSeededRandom(1);
  const granted = { urgent: 0, others: 0 };
  for (; now < 12_000; now += STEP_MS) {
    if (now % REPORT_MS === 0) exchange.sendReports();
    const budget = budgets[Math.floor(random() * VMS)];
    const isUrgent = random() < 0.5;
    const scope = isUrgent ? SCOPE : LESS_URGENT;
    budget?.recordRequest(scope);
    const isShed = now >= 3_000;
    if (!isShed || !budget?.acquire(scope) || now < 6_000) continue;
    if (isUrgent) granted.urgent += 1;
    else granted.others += 1;
  }
  return granted;
}

test("a VM without reports of others uses only its own share", () => {
  let now = 0;
  const [budget] = createBudgets(createClock(() => now));
  now = 20_000;
  let granted = 0;
  for (let index = 0; index < 40; index += 1) {
    budget?.recordRequest(SCOPE);
    if (budget?.acquire(SCOPE)) granted += 1;
  }
  assert.ok(granted >= 6 && granted <= RATIO * 40 + SLACK / VMS, `${granted}`);
});
