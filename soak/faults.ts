/** Faults from outside the daemons, in series that overlap, by a seed. */
import { once } from "node:events";
import type { PlatformFleet, PlatformVm } from "../scripts/platform_fleet.ts";
import type { Random } from "../src/services/random/mod.ts";
import { ServerMode } from "../standins/server_standin.ts";
import { StoreMode } from "../standins/store_standin.ts";
import { pickOne, sleep } from "./callers.ts";
import { ProxyMode } from "./fault_proxy.ts";
import type { FaultProxy } from "./fault_proxy.ts";

/** Kinds of faults. */
export enum FaultKind {
  Kill = "kill",
  Pause = "pause",
  PlannedStop = "planned_stop",
  Reload = "reload",
  Proxy = "proxy",
  Reset = "reset",
  Store = "store",
  Forget = "forget",
  Server = "server",
}

/** A fault that was caused, for the checks and for the report. */
export interface FaultRecord {
  readonly kind: FaultKind;
  /** VM, proxy, server or mode that it is about. */
  readonly on: string;
  readonly startedAt: number;
  endedAt: number;
}

/** What faults are caused on. */
export interface FaultOptions {
  readonly fleet: PlatformFleet;
  readonly proxies: ReadonlyMap<string, FaultProxy>;
  readonly random: Random;
  /** Mean time between the beginnings of two faults, in milliseconds. */
  readonly gapMs: number;
  /** Gets every fault that was caused. */
  readonly records: FaultRecord[];
}

/** Shortest and longest duration of a fault, in milliseconds. */
const FAULT_MIN_MS = 200;
const FAULT_MAX_MS = 7_000;
const SERVER_MODES = Object.values(ServerMode);
const STORE_MODES = Object.values(StoreMode);
const PROXY_MODES = Object.values(ProxyMode);

/** Causes faults until the signal aborts, and then ends them all. */
export async function runFaults(
  options: FaultOptions,
  signal: AbortSignal,
): Promise<void> {
  const { random, gapMs } = options;
  const running = new Set<Promise<void>>();
  while (!signal.aborted) {
    const kind = pickOne(Object.values(FaultKind), random);
    const durationMs = FAULT_MIN_MS +
      random() * (FAULT_MAX_MS - FAULT_MIN_MS);
    const fault = runFault(options, kind, durationMs)
      .finally(() => running.delete(fault));
    running.add(fault);
    await sleep(-Math.log(1 - random()) * gapMs);
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
  const note = (on: string): FaultRecord => {
    const record = { kind, on, startedAt, endedAt: Infinity };
    records.push(record);
    return record;
  };
  switch (kind) {
    case FaultKind.Kill:
      return await runKill(fleet, vm, durationMs, note);
    case FaultKind.PlannedStop:
      return await runPlannedStop(fleet, vm, note);
    case FaultKind.Pause:
      return await runPause(vm, durationMs, records);
    case FaultKind.Reload:
      // While Node itself starts, no program can catch a signal. That may take
      // long: a pause may begin before it has ended.
      if (!isRunning(vm) || !vm.hasStarted) return;
      vm.process.kill("SIGHUP");
      note(vm.name).endedAt = performance.now();
      return;
    case FaultKind.Reset:
      proxy?.cutAll();
      note(proxyName).endedAt = performance.now();
      return;
    case FaultKind.Proxy: {
      if (proxy === undefined) return;
      const record = note(proxyName);
      proxy.mode = pickOne(PROXY_MODES, random);
      await sleep(durationMs);
      proxy.mode = ProxyMode.Pass;
      record.endedAt = performance.now();
      return;
    }
    case FaultKind.Store: {
      const record = note("store");
      fleet.store.mode = pickOne(STORE_MODES, random);
      fleet.store.latencyMs = random() < 0.3 ? 200 : 0;
      await sleep(durationMs);
      fleet.store.mode = StoreMode.Up;
      fleet.store.latencyMs = 0;
      record.endedAt = performance.now();
      return;
    }
    case FaultKind.Forget:
      fleet.store.forget();
      note("store").endedAt = performance.now();
      return;
    case FaultKind.Server: {
      const server = fleet.servers[serverIndex];
      if (server === undefined) return;
      const record = note(`i-${serverIndex}`);
      server.mode = pickOne(SERVER_MODES, random);
      await sleep(durationMs);
      server.mode = ServerMode.Healthy;
      record.endedAt = performance.now();
    }
  }
}

/** Stops a VM's process from running for a time. */
export async function runPause(
  vm: PlatformVm,
  durationMs: number,
  records: FaultRecord[],
): Promise<void> {
  if (!isRunning(vm)) return;
  const record = {
    kind: FaultKind.Pause,
    on: vm.name,
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
  note: (on: string) => FaultRecord,
): Promise<void> {
  if (!isRunning(vm)) return;
  const record = note(vm.name);
  await stopProcess(vm, "SIGKILL");
  await sleep(downMs);
  if (!isRunning(vm)) fleet.startVm(vm);
  record.endedAt = performance.now();
}

async function runPlannedStop(
  fleet: PlatformFleet,
  vm: PlatformVm,
  note: (on: string) => FaultRecord,
): Promise<void> {
  if (!isRunning(vm)) return;
  const record = note(vm.name);
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

/** Whether a VM's process has not ended. */
export function isRunning(vm: PlatformVm): boolean {
  return vm.process.exitCode === null && vm.process.signalCode === null;
}
