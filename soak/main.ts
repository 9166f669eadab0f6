/**
 * `npm run soak`: runs daemons as processes under seeded random faults and
 * checks the invariants of the fleet.
 */
import process from "node:process";
import yargs from "yargs";
import { hideBin } from "yargs/helpers";
import { fetchReadiness, sendToVm } from "../scripts/platform_calls.ts";
import { startPlatformFleet } from "../scripts/platform_fleet.ts";
import type { PlatformFleet, PlatformVm } from "../scripts/platform_fleet.ts";
import { waitUntil } from "../scripts/processes.ts";
import { formatCause } from "../src/services/logging/mod.ts";
import { createSeededRandom } from "../src/services/random/mod.ts";
import { pickOne, runCaller, sleep } from "./callers.ts";
import { FaultProxy } from "./fault_proxy.ts";
import { isRunning, runFaults, runPause } from "./faults.ts";
import type { FaultRecord } from "./faults.ts";
import { runDepartures } from "./departures.ts";
import type { DepartureRecord } from "./departures.ts";
import { runRestores } from "./restores.ts";
import { listViolations } from "./invariants.ts";
import { REGRESSION_SEEDS } from "./regressions.ts";

/** Maximum time until the started fleet serves, in milliseconds. */
const START_TIMEOUT_MS = 20_000;
/** Maximum time from the last fault until the fleet serves, in milliseconds. */
const RECOVERY_TIMEOUT_MS = 15_000;
/** Times at which the keys are withdrawn, as shares of the run. */
const WITHDRAWAL_SHARES = [0.15, 0.35, 0.55];
/**
 * Duration for which one VM is paused when a key is withdrawn, in milliseconds;
 * longer than the time for which the VM may still accept the key.
 */
const WITHDRAWAL_PAUSE_MS = 6_000;
/** Key that stays valid, of a team without limits. */
const KEY = "k-soak-1";
const WITHDRAWN_KEYS = ["k-soak-2", "k-soak-3", "k-soak-4"];
/** Key of the team with a rate and a burst. */
const LIMITED_KEY = "k-soak-5";
const KEYS = [KEY, ...WITHDRAWN_KEYS, LIMITED_KEY];
const LIMIT = { ratePerS: 10, burst: 10 };
/** Window in which the limited team's requests are counted, in seconds. */
const WINDOW_S = 5;
/** Requests per window that rate and burst allow, plus 10%, plus 20. */
const TOLERATED_PER_WINDOW = (LIMIT.ratePerS * WINDOW_S + LIMIT.burst) * 1.1 +
  20;
/** Limit of requests to cold servers; they crash above the tolerated number. */
const WARM_UP = { perSecond: 3.8, maxPerSecond: 3.8 * 1.5 + 8, coldMs: 3_000 };
/** Tokens and statuses in flight, in seconds of the rate (docs/PLATFORM.md). */
const IN_FLIGHT_S = 0.8;
/** Number of requests that check the fleet after its recovery. */
const RECOVERY_REQUESTS = 20;
/** One caller in this many stays with a VM while its connection is open. */
const STICKY_CALLER_INTERVAL = 3;
/** Added to the seed for departures: they don't alter the faults of a seed. */
const DEPARTURE_SEED_OFFSET = 1_000_000;
/** The same for restores of the store. */
const RESTORE_SEED_OFFSET = 2_000_000;

/** Options of one run. */
interface SoakOptions {
  readonly seed: number;
  /** Duration of the faults. */
  readonly seconds: number;
  /** Number of VMs in each failure domain. */
  readonly vms: readonly number[];
  readonly servers: number;
  readonly callers: number;
}

/**
 * Computes the maximum number of requests of the limited team that the fleet
 * may admit in a window: rate, burst and tokens in flight; tokens of hubs that
 * lost their followers, at most a burst in total; and one token for each VM
 * that is not connected to any hub. Never more than `TOLERATED_PER_WINDOW`.
 */
function computeMaxPerWindow(vms: number): number {
  const { ratePerS, burst } = LIMIT;
  const worstCase = ratePerS * (WINDOW_S + IN_FLIGHT_S) + 2 * burst + vms;
  return Math.min(TOLERATED_PER_WINDOW, worstCase);
}

/** Publishes teams without the first `withdrawnCount` of `WITHDRAWN_KEYS`. */
function publishTeams(fleet: PlatformFleet, withdrawnCount: number): void {
  const keys = [KEY, ...WITHDRAWN_KEYS.slice(withdrawnCount)];
  fleet.publish([
    { name: "judges", keys },
    { name: "stewards", keys: [LIMITED_KEY], ...LIMIT },
  ]);
}

/** Runs one seed; returns the violations. */
async function runSeed(options: SoakOptions): Promise<string[]> {
  const { seed, seconds } = options;
  const random = createSeededRandom(seed);
  const proxies = new Map<string, FaultProxy>();
  const fleet = await startPlatformFleet({
    vms: options.vms,
    servers: options.servers,
    workMs: 40,
    warmUp: WARM_UP,
    resolvePort: async ({ kind, name }, port) => {
      const proxy = new FaultProxy(port);
      proxies.set(`${kind} ${name}`, proxy);
      return await proxy.open();
    },
  });
  try {
    publishTeams(fleet, 0);
    await waitUntil(() => isServing(fleet), START_TIMEOUT_MS);
    const ended = new AbortController();
    const callers = Array.from(
      { length: options.callers },
      (_caller, index) =>
        runCaller({
          fleet,
          random: createSeededRandom(seed * 1_000 + index),
          pickKey: () => pickOne(KEYS, random),
          meanPauseMs: 60,
          name: `c${index}`,
          isSticky: index % STICKY_CALLER_INTERVAL === 0,
        }, ended.signal),
    );
    const faultRecords: FaultRecord[] = [];
    const startedAt = performance.now();
    const waitUntilShare = (share: number): Promise<void> =>
      sleep(startedAt + share * seconds * 1_000 - performance.now());
    const faults = runFaults(
      { fleet, proxies, random, meanIntervalMs: 500, records: faultRecords },
      ended.signal,
    );
    const departureRecords: DepartureRecord[] = [];
    const departures = runDepartures(
      {
        fleet,
        random: createSeededRandom(seed + DEPARTURE_SEED_OFFSET),
        records: departureRecords,
      },
      ended.signal,
    );
    const restores = runRestores(
      {
        fleet,
        random: createSeededRandom(seed + RESTORE_SEED_OFFSET),
        records: faultRecords,
      },
      ended.signal,
    );
    const withdrawnAt = new Map<string, number>();
    const pauses: Promise<void>[] = [];
    for (const [index, share] of WITHDRAWAL_SHARES.entries()) {
      await waitUntilShare(share);
      const pausedVm = pickOne(fleet.vms, random);
      pauses.push(runPause(pausedVm, WITHDRAWAL_PAUSE_MS, faultRecords));
      publishTeams(fleet, index + 1);
      withdrawnAt.set(WITHDRAWN_KEYS[index] ?? "", performance.now());
    }
    await waitUntilShare(1);
    ended.abort();
    await Promise.all([faults, departures, restores, ...pauses]);
    const records = (await Promise.all(callers)).flat();
    const recovery = await checkRecovery(fleet);
    const maxPerWindow = computeMaxPerWindow(fleet.vms.length);
    const limited = { key: LIMITED_KEY, maxPerWindow };
    const violations = listViolations({
      fleet,
      callers: records,
      faults: faultRecords,
      departures: departureRecords,
      withdrawnAt,
      limited,
    });
    process.stdout.write(
      `seed ${seed}: ${records.length} requests, ${faultRecords.length} ` +
        `faults, ${departureRecords.length} departures, ${
          violations.length + recovery.length
        } violations\n`,
    );
    return [...violations, ...recovery];
  } finally {
    await fleet.stop();
    for (const proxy of proxies.values()) proxy.close();
  }
}

async function isServing(fleet: PlatformFleet): Promise<boolean> {
  const results = await Promise.all(fleet.vms.map(async (vm) => {
    if (!isRunning(vm) || !(await fetchReadiness(vm))) return false;
    const path = "/look/ready";
    return (await sendToVm(vm, { path, key: KEY })).status === 200;
  }));
  return results.every((isGood) => isGood);
}

/** Formats the state of a VM's process and how the VM responds. */
async function formatState(vm: PlatformVm): Promise<string> {
  if (!isRunning(vm)) {
    const { exitCode, signalCode } = vm.process;
    return `${vm.name} exited with ${exitCode ?? signalCode}`;
  }
  const isReady = await fetchReadiness(vm).catch(() => false);
  const path = "/look/state";
  const response = await sendToVm(vm, { path, key: KEY }).catch(formatCause);
  const status = typeof response === "string" ? response : response.status;
  return `${vm.name} ${isReady ? "ready" : "not ready"}, responds: ${status}`;
}

/** Checks that every VM serves after the last fault, and keeps serving. */
async function checkRecovery(fleet: PlatformFleet): Promise<string[]> {
  try {
    await waitUntil(() => isServing(fleet), RECOVERY_TIMEOUT_MS);
  } catch {
    const states = await Promise.all(fleet.vms.map(formatState));
    return [`no recovery after the last fault: ${states.join("; ")}`];
  }
  let failed = 0;
  for (let count = 0; count < RECOVERY_REQUESTS; count += 1) {
    const vm = fleet.vms[count % fleet.vms.length];
    if (vm === undefined) continue;
    const response = await sendToVm(vm, {
      path: `/look/after-${count}`,
      key: KEY,
    })
      .catch(() => undefined);
    if (response?.status !== 200) failed += 1;
  }
  return failed > 1 ? [`${failed} requests failed after the recovery`] : [];
}

const args = await yargs(hideBin(process.argv))
  .scriptName("soak")
  .option("seeds", {
    type: "number",
    default: 1,
    describe: "number of seeds in addition to the regressions",
  })
  .option("first", {
    type: "number",
    describe: "first seed; by default derived from the time",
  })
  .option("seconds", {
    type: "number",
    default: 16,
    describe: "duration of the faults of one seed",
  })
  .option("regressions", {
    type: "boolean",
    default: true,
    describe: "also run the seeds that failed in the past",
  })
  .option("vms", {
    type: "string",
    default: "2,2,1",
    describe: "number of daemons in each failure domain",
  })
  .option("servers", { type: "number", default: 6 })
  .option("callers", { type: "number", default: 8 })
  .strict()
  .parse();
const first = args.first ?? Date.now() % 1_000_000;
const seeds = [
  ...(args.regressions ? REGRESSION_SEEDS.map(({ seed }) => seed) : []),
  ...Array.from({ length: args.seeds }, (_seed, index) => first + index),
];
let failures = 0;
for (const seed of seeds) {
  const violations = await runSeed({
    seed,
    seconds: args.seconds,
    vms: args.vms.split(",").map(Number),
    servers: args.servers,
    callers: args.callers,
  });
  for (const line of violations) process.stdout.write(`  VIOLATION ${line}\n`);
  if (violations.length > 0) failures += 1;
}
process.stdout.write(
  `${seeds.length} seeds, ${failures} with violations\n`,
);
process.exit(failures > 0 ? 1 : 0);
