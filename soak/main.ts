/** `npm run soak`: real daemons under faults by a seed, and what must hold. */
import process from "node:process";
import yargs from "yargs";
import { hideBin } from "yargs/helpers";
import { fetchReady, sendToVm } from "../scripts/platform_calls.ts";
import { startPlatformFleet } from "../scripts/platform_fleet.ts";
import type { PlatformFleet, PlatformVm } from "../scripts/platform_fleet.ts";
import { waitUntil } from "../scripts/processes.ts";
import { formatCause } from "../src/services/logging/mod.ts";
import { createSeededRandom } from "../src/services/random/mod.ts";
import { pickOne, runCaller, sleep } from "./callers.ts";
import { FaultProxy } from "./fault_proxy.ts";
import { isRunning, runFaults, runPause } from "./faults.ts";
import type { FaultRecord } from "./faults.ts";
import { runLeaves } from "./leaves.ts";
import type { LeaveRecord } from "./leaves.ts";
import { listBroken } from "./promises.ts";
import { REGRESSION_SEEDS } from "./regressions.ts";

const START_LIMIT_MS = 20_000;
/** Time after the last fault in which the fleet must serve again. */
const RECOVERY_MS = 15_000;
/** Shares of the run after which a key is taken away. */
const WITHDRAW_AT = [0.15, 0.35, 0.55];
/** A VM that sleeps for longer than a key may still be honoured, in ms. */
const WITHDRAWAL_PAUSE_MS = 6_000;
const KEY = "k-soak-1";
const WITHDRAWN_KEYS = ["k-soak-2", "k-soak-3", "k-soak-4"];
const LIMITED_KEY = "k-soak-5";
const KEYS = [KEY, ...WITHDRAWN_KEYS, LIMITED_KEY];
const LIMIT = { ratePerS: 10, burst: 10 };
const WINDOW_S = 5;
/** Rate and burst in a window, a tenth more, and twenty requests. */
const LIMIT_WINDOW = (LIMIT.ratePerS * WINDOW_S + LIMIT.burst) * 1.1 + 20;
/** Tokens and statuses on their way, in time of the rate (docs/PLATFORM.md). */
const BEYOND_S = 0.8;
const RECOVERED_REQUESTS = 20;
/** Each such caller uses its open connection until that is closed. */
const KEEPING_EVERY = 3;
/** Apart from the faults' seed, so that those of earlier seeds stay as they were. */
const LEAVES_SEED = 1_000_000;

/** Size and length of a run. */
interface SoakOptions {
  readonly seed: number;
  readonly seconds: number;
  readonly vms: readonly number[];
  readonly servers: number;
  readonly callers: number;
}

/**
 * Gets the most requests of the limited team that all VMs may admit in a window:
 * rate, burst and what is on its way; tokens of hubs that lost their followers,
 * together a burst at most; and one token for each VM that is alone.
 */
function getLimitWindow(vms: number): number {
  const { ratePerS, burst } = LIMIT;
  const worst = ratePerS * (WINDOW_S + BEYOND_S) + 2 * burst + vms;
  return Math.min(LIMIT_WINDOW, worst);
}

/** Publishes the teams without the first `withdrawn` of the keys to withdraw. */
function publishTeams(fleet: PlatformFleet, withdrawn: number): void {
  const keys = [KEY, ...WITHDRAWN_KEYS.slice(withdrawn)];
  fleet.publish([
    { name: "judges", keys },
    { name: "stewards", keys: [LIMITED_KEY], ...LIMIT },
  ]);
}

/** Runs one seed; returns what was broken. */
async function runSeed(options: SoakOptions): Promise<string[]> {
  const { seed, seconds } = options;
  const random = createSeededRandom(seed);
  const proxies = new Map<string, FaultProxy>();
  const fleet = await startPlatformFleet({
    vms: options.vms,
    servers: options.servers,
    workMs: 40,
    resolvePort: async ({ kind, name }, port) => {
      const proxy = new FaultProxy(port);
      proxies.set(`${kind} ${name}`, proxy);
      return await proxy.open();
    },
  });
  try {
    publishTeams(fleet, 0);
    await waitUntil(() => isServing(fleet), START_LIMIT_MS);
    const ended = new AbortController();
    const callers = Array.from(
      { length: options.callers },
      (_caller, index) =>
        runCaller({
          fleet,
          random: createSeededRandom(seed * 1_000 + index),
          pickKey: () => pickOne(KEYS, random),
          gapMs: 60,
          name: `c${index}`,
          keepsConnection: index % KEEPING_EVERY === 0,
        }, ended.signal),
    );
    const faultRecords: FaultRecord[] = [];
    const startedAt = performance.now();
    const waitUntilShare = (share: number): Promise<void> =>
      sleep(startedAt + share * seconds * 1_000 - performance.now());
    const faults = runFaults(
      { fleet, proxies, random, gapMs: 500, records: faultRecords },
      ended.signal,
    );
    const leaveRecords: LeaveRecord[] = [];
    const leaves = runLeaves(
      {
        fleet,
        random: createSeededRandom(seed + LEAVES_SEED),
        records: leaveRecords,
      },
      ended.signal,
    );
    const withdrawnAt = new Map<string, number>();
    const pauses: Promise<void>[] = [];
    for (const [index, share] of WITHDRAW_AT.entries()) {
      await waitUntilShare(share);
      const asleep = pickOne(fleet.vms, random);
      pauses.push(runPause(asleep, WITHDRAWAL_PAUSE_MS, faultRecords));
      publishTeams(fleet, index + 1);
      withdrawnAt.set(WITHDRAWN_KEYS[index] ?? "", performance.now());
    }
    await waitUntilShare(1);
    ended.abort();
    await Promise.all([faults, leaves, ...pauses]);
    const records = (await Promise.all(callers)).flat();
    const recovery = await checkRecovery(fleet);
    const window = getLimitWindow(fleet.vms.length);
    const limited = { key: LIMITED_KEY, window };
    const broken = listBroken({
      fleet,
      callers: records,
      faults: faultRecords,
      leaves: leaveRecords,
      withdrawnAt,
      limited,
    });
    process.stdout.write(
      `seed ${seed}: ${records.length} requests, ${faultRecords.length} ` +
        `faults, ${leaveRecords.length} leaves, ${
          broken.length + recovery.length
        } broken\n`,
    );
    return [...broken, ...recovery];
  } finally {
    await fleet.stop();
    for (const proxy of proxies.values()) proxy.close();
  }
}

async function isServing(fleet: PlatformFleet): Promise<boolean> {
  const answers = await Promise.all(fleet.vms.map(async (vm) => {
    if (!isRunning(vm) || !(await fetchReady(vm))) return false;
    const path = "/look/ready";
    return (await sendToVm(vm, { path, key: KEY })).status === 200;
  }));
  return answers.every((isGood) => isGood);
}

/** Formats what can be seen of a VM from outside. */
async function formatState(vm: PlatformVm): Promise<string> {
  if (!isRunning(vm)) {
    const { exitCode, signalCode } = vm.process;
    return `${vm.name} ended with ${exitCode ?? signalCode}`;
  }
  const isReady = await fetchReady(vm).catch(() => false);
  const path = "/look/state";
  const answer = await sendToVm(vm, { path, key: KEY }).catch(formatCause);
  const status = typeof answer === "string" ? answer : answer.status;
  return `${vm.name} ${isReady ? "ready" : "not ready"}, answers ${status}`;
}

/** After the last fault every VM serves again, and goes on serving. */
async function checkRecovery(fleet: PlatformFleet): Promise<string[]> {
  try {
    await waitUntil(() => isServing(fleet), RECOVERY_MS);
  } catch {
    const states = await Promise.all(fleet.vms.map(formatState));
    return [`no recovery after the last fault: ${states.join("; ")}`];
  }
  let failed = 0;
  for (let count = 0; count < RECOVERED_REQUESTS; count += 1) {
    const vm = fleet.vms[count % fleet.vms.length];
    if (vm === undefined) continue;
    const answer = await sendToVm(vm, {
      path: `/look/after-${count}`,
      key: KEY,
    })
      .catch(() => undefined);
    if (answer?.status !== 200) failed += 1;
  }
  return failed > 1 ? [`${failed} requests failed after the recovery`] : [];
}

const given = await yargs(hideBin(process.argv))
  .scriptName("soak")
  .option("seeds", {
    type: "number",
    default: 1,
    describe: "number of seeds beside the regressions",
  })
  .option("first", {
    type: "number",
    describe: "first seed; drawn from the time if left out",
  })
  .option("seconds", {
    type: "number",
    default: 16,
    describe: "length of the faults of one seed",
  })
  .option("regressions", {
    type: "boolean",
    default: true,
    describe: "play the seeds that failed once, too",
  })
  .option("vms", {
    type: "string",
    default: "2,2,1",
    describe: "daemons in each failure domain",
  })
  .option("servers", { type: "number", default: 6 })
  .option("callers", { type: "number", default: 8 })
  .strict()
  .parse();
const first = given.first ?? Date.now() % 1_000_000;
const seeds = [
  ...(given.regressions ? REGRESSION_SEEDS.map(({ seed }) => seed) : []),
  ...Array.from({ length: given.seeds }, (_seed, index) => first + index),
];
let failures = 0;
for (const seed of seeds) {
  const broken = await runSeed({
    seed,
    seconds: given.seconds,
    vms: given.vms.split(",").map(Number),
    servers: given.servers,
    callers: given.callers,
  });
  for (const line of broken) process.stdout.write(`  BROKEN ${line}\n`);
  if (broken.length > 0) failures += 1;
}
process.stdout.write(
  `${seeds.length} seeds, ${failures} with a broken promise\n`,
);
process.exit(failures > 0 ? 1 : 0);
