/** CPU time and memory of daemon processes, idle and under load. */
import { readFileSync } from "node:fs";
import { sendToVm } from "../scripts/platform_calls.ts";
import { startPlatformFleet } from "../scripts/platform_fleet.ts";
import type { PlatformFleet, PlatformVm } from "../scripts/platform_fleet.ts";
import { printLine, printTable } from "./report.ts";

const VMS = [6, 6];
const SERVERS = 80;
/** Work of each request at its server, in milliseconds. */
const WORK_MS = 250;
const KEY = "k-idle-1";
/** Time from the start until the first measurement, in milliseconds. */
const WARMUP_MS = 10_000;
/** Duration of a measurement, in milliseconds. */
const RUN_MS = 15_000;
/** Requests per second and VM; 0 measures an idle fleet. */
const RATES = [0, 6, 12];
/** Unit of CPU times in `/proc/PID/stat`, in milliseconds. */
const TICK_MS = 10;
const MS_PER_SECOND = 1_000;
const KB_PER_MB = 1_024;
/** Indexes of user and system time after the name in `/proc/PID/stat`. */
const USER_TIME = 11;
const SYSTEM_TIME = 12;

/** Prints the CPU time per second and the memory of the VMs at each load. */
export async function runIdleBench(): Promise<void> {
  const fleet = await startPlatformFleet({
    vms: VMS,
    servers: SERVERS,
    workMs: WORK_MS,
  });
  try {
    fleet.publish([{ name: "judges", keys: [KEY] }]);
    await sleep(WARMUP_MS);
    printLine(`${fleet.vms.length} daemons, ${SERVERS} servers, loopback`);
    const rows = [[
      "requests/s per VM",
      "succeeded",
      "CPU ms/s: min",
      "median",
      "max",
      "RSS MB: max",
    ]];
    for (const rate of RATES) rows.push(await measure(fleet, rate));
    printTable(rows);
  } finally {
    await fleet.stop();
  }
}

async function measure(fleet: PlatformFleet, rate: number): Promise<string[]> {
  const before = fleet.vms.map(readCpuMs);
  const startedAt = performance.now();
  const succeeded = await sendRequests(fleet, rate);
  const seconds = (performance.now() - startedAt) / MS_PER_SECOND;
  const used = fleet.vms
    .map((vm, index) => (readCpuMs(vm) - (before[index] ?? 0)) / seconds)
    .sort((left, right) => left - right);
  const memory = Math.max(...fleet.vms.map(readMemoryMb));
  return [
    String(rate),
    succeeded,
    ...[used[0], used[used.length >> 1], used.at(-1)]
      .map((ms) => (ms ?? 0).toFixed(1)),
    memory.toFixed(0),
  ];
}

/** Sends requests to the VMs in turn; returns how many of them succeeded. */
async function sendRequests(
  fleet: PlatformFleet,
  rate: number,
): Promise<string> {
  const startedAt = performance.now();
  const intervalMs = MS_PER_SECOND / (rate * fleet.vms.length);
  const pending: Promise<boolean>[] = [];
  while (rate > 0 && performance.now() - startedAt < RUN_MS) {
    const vm = fleet.vms[pending.length % fleet.vms.length];
    if (vm === undefined) break;
    pending.push(
      sendToVm(vm, { path: `/look/${pending.length}`, key: KEY })
        .then(({ status }) => status === 200, () => false),
    );
    const dueMs = startedAt + pending.length * intervalMs - performance.now();
    await sleep(Math.max(0, dueMs));
  }
  if (rate === 0) await sleep(RUN_MS);
  const outcomes = await Promise.all(pending);
  return `${outcomes.filter(Boolean).length} of ${outcomes.length}`;
}

/** Reads the CPU time that a daemon has used, in milliseconds. */
function readCpuMs(vm: PlatformVm): number {
  const stat = readFileSync(`/proc/${vm.process.pid}/stat`, "utf8");
  // The name, in parentheses, may contain spaces.
  const fields = stat.slice(stat.lastIndexOf(")") + 2).split(" ");
  return TICK_MS * (Number(fields[USER_TIME]) + Number(fields[SYSTEM_TIME]));
}

function readMemoryMb(vm: PlatformVm): number {
  const status = readFileSync(`/proc/${vm.process.pid}/status`, "utf8");
  const [, kilobytes] = status.match(/VmRSS:\s+(\d+)/) ?? [];
  return Number(kilobytes) / KB_PER_MB;
}

function sleep(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}
