/** Seeded random faults that are injected from outside the daemons. */
import { once } from "node:events";
import type { PlatformFleet, PlatformVm } from "../scripts/platform_fleet.ts";
import type { Random } from "../src/services/random/mod.ts";
import { ServerMode } from "../standins/server_standin.ts";
import { StoreMode } from "../standins/store_standin.ts";
import { pickOne, sleep } from "./callers.ts";
import { ProxyMode } from "./fault_proxy.ts";
import type { FaultProxy } from "./fault_proxy.ts";

/** Kinds of faults, all equally likely. */
export enum FaultKind {
  /** A daemon gets SIGKILL and is started again later. */
  Kill = "kill",
  /** A daemon is suspended for a while. */
  Pause = "pause",
  /** A daemon gets SIGTERM and is started again once it has exited. */
  PlannedStop = "planned_stop",
  /** A daemon gets SIGHUP. */
  Reload = "reload",
  /** A proxy delays or stalls its connections for a while. */
  Proxy = "proxy",
  /** A proxy resets its open connections. */
  Reset = "reset",
  /** The store fails or gets slow for a while. */
  Store = "store",
  /** The store drops the history of its topics. */
  DropHistory = "forget",
  /** A backend server misbehaves for a while. */
  Server = "server",
  /** The store is restored from an old copy; see restores.ts. */
  Restore = "restore",
}

/** An injected fault, for the checks and the report. */
export interface FaultRecord {
  readonly kind: FaultKind;
  /** Name of the VM, proxy or server; `store` for the store. */
  readonly target: string;
  /** Monotonic time in milliseconds. */
  readonly startedAt: number;
  /** Monotonic time in milliseconds; infinite while the fault lasts. */
  endedAt: number;
}

/** Options of {@linkcode runFaults}. */
export interface FaultOptions {
  readonly fleet: PlatformFleet;
  /** Proxies by name, such as `peer vm-1-2` or `server i-0`. */
  readonly proxies: ReadonlyMap<string, FaultProxy>;
  readonly random: Random;
  /** Mean time between the starts of two faults, in milliseconds. */
  readonly meanIntervalMs: number;
  /** Every injected fault is appended here. */
  readonly records: FaultRecord[];
}

/** Minimum duration of a fault, in milliseconds. */
const FAULT_MIN_MS = 200;
/** Maximum duration of a fault, in milliseconds. */
const FAULT_MAX_MS = 7_000;
/** Kinds to choose from; restores have a seed of their own. */
const RANDOM_KINDS = Object.values(FaultKind)
  .filter((kind) => kind !== FaultKind.Restore);
const SERVER_MODES = Object.values(ServerMode);
const STORE_MODES = Object.values(StoreMode);
const PROXY_MODES = Object.values(ProxyMode);

/**
 * Injects faults, which may overlap, until the signal aborts. Resolves when the
 * last one has ended.
 */
export async function runFaults(
  options: FaultOptions,
  signal: AbortSignal,
): Promise<void> {
  const { random, meanIntervalMs } = options;
  const running = new Set<Promise<void>>();
  while (!signal.aborted) {
    const kind = pickOne(RANDOM_KINDS, random);
    const durationMs = FAULT_MIN_MS +
      random() * (FAULT_MAX_MS - FAULT_MIN_MS);
    const fault = runFault(options, kind, durationMs)
      .finally(() => running.delete(fault));
    running.add(fault);
    await sleep(-Math.log(1 - random()) * meanIntervalMs);
  }
  await Promise.all(running);
}

async function runFault(
  options: FaultOptions,
  kind: FaultKind,
  durationMs: number,
): Promise<void> {
  const { fleet, proxies, random, records } = options;
  const vm = pickOne(fleet.vms, random);
  const proxyName = pickOne([...proxies.keys()], random);
  const proxy = proxies.get(proxyName);
  const serverIndex = Math.floor(random() * fleet.servers.length);
  const startedAt = performance.now();
  const addRecord = (target: string): FaultRecord => {
    const record = { kind, target, startedAt, endedAt: Infinity };
    records.push(record);
    return record;
  };
  switch (kind) {
    case FaultKind.Kill:
      return await runKill(fleet, vm, durationMs, addRecord);
    case FaultKind.PlannedStop:
      return await runPlannedStop(fleet, vm, addRecord);
    case FaultKind.Pause:
      return await runPause(vm, durationMs, records);
    case FaultKind.Reload:
      // SIGHUP kills the process while Node.js starts, before the daemon can
      // install a handler. A fault that pauses the process prolongs that phase.
      if (!isRunning(vm) || !vm.hasStarted) return;
      vm.process.kill("SIGHUP");
      addRecord(vm.name).endedAt = performance.now();
      return;
    case FaultKind.Reset:
      proxy?.killConnections();
      addRecord(proxyName).endedAt = performance.now();
      return;
    case FaultKind.Proxy: {
      if (proxy === undefined) return;
      const record = addRecord(proxyName);
      proxy.mode = pickOne(PROXY_MODES, random);
      await sleep(durationMs);
      proxy.mode = ProxyMode.Pass;
      record.endedAt = performance.now();
      return;
    }
    case FaultKind.Store: {
      const record = addRecord("store");
      fleet.store.mode = pickOne(STORE_MODES, random);
      fleet.store.latencyMs = random() < 0.3 ? 200 : 0;
      await sleep(durationMs);
      fleet.store.mode = StoreMode.Up;
      fleet.store.latencyMs = 0;
      record.endedAt = performance.now();
      return;
    }
    case FaultKind.Restore:
      return;
    case FaultKind.DropHistory:
      fleet.store.removeHistory();
      addRecord("store").endedAt = performance.now();
      return;
    case FaultKind.Server: {
      const server = fleet.servers[serverIndex];
      if (server === undefined) return;
      const record = addRecord(`i-${serverIndex}`);
      server.mode = pickOne(SERVER_MODES, random);
      await sleep(durationMs);
      server.mode = ServerMode.Healthy;
      record.endedAt = performance.now();
    }
  }
}

/** Suspends a VM's process for `durationMs`. */
export async function runPause(
  vm: PlatformVm,
  durationMs: number,
  records: FaultRecord[],
): Promise<void> {
  if (!isRunning(vm)) return;
  const record = {
    kind: FaultKind.Pause,
    target: vm.name,
    startedAt: performance.now(),
    endedAt: Infinity,
  };
  records.push(record);
  const paused = vm.process;
  paused.kill("SIGSTOP");
  await sleep(durationMs);
  paused.kill("SIGCONT");
  record.endedAt = performance.now();
}

async function runKill(
  fleet: PlatformFleet,
  vm: PlatformVm,
  downMs: number,
  addRecord: (target: string) => FaultRecord,
): Promise<void> {
  if (!isRunning(vm)) return;
  const record = addRecord(vm.name);
  await stopProcess(vm, "SIGKILL");
  await sleep(downMs);
  if (!isRunning(vm)) fleet.startVm(vm);
  record.endedAt = performance.now();
}

async function runPlannedStop(
  fleet: PlatformFleet,
  vm: PlatformVm,
  addRecord: (target: string) => FaultRecord,
): Promise<void> {
  if (!isRunning(vm)) return;
  const record = addRecord(vm.name);
  await stopProcess(vm, "SIGTERM");
  record.endedAt = performance.now();
  if (!isRunning(vm)) fleet.startVm(vm);
}

async function stopProcess(
  vm: PlatformVm,
  signal: NodeJS.Signals,
): Promise<void> {
  const ended = once(vm.process, "exit");
  vm.process.kill(signal);
  await ended;
}

/** Whether a VM's process has not exited; a suspended one counts as running. */
export function isRunning(vm: PlatformVm): boolean {
  return vm.process.exitCode === null && vm.process.signalCode === null;
}
