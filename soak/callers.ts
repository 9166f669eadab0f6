/** Callers that cache addresses, reuse connections and record each outcome. */
import http from "node:http";
import { fetchVmAddresses, sendToVm } from "../scripts/platform_calls.ts";
import type { PlatformFleet, PlatformVm } from "../scripts/platform_fleet.ts";
import { PLATFORM_DIALECT } from "../platform/dialect.ts";
import type { Random } from "../src/services/random/mod.ts";

/** Outcome of a request, as its caller observed it. */
export enum CallerOutcomeKind {
  Completed = "answered",
  /** No complete response arrived. */
  Failed = "broken",
}

/** A request of a caller and its outcome. */
export interface CallerRecord {
  readonly id: string;
  readonly key: string;
  /** Whether the request is non-idempotent: a POST to the route `swap`. */
  readonly isUnsafe: boolean;
  readonly vm: PlatformVm;
  /** Monotonic time in milliseconds, like `endedAt`. */
  readonly sentAt: number;
  readonly endedAt: number;
  readonly outcome:
    | {
      readonly kind: CallerOutcomeKind.Completed;
      readonly status: number;
      /** Attempt id of the response; undefined if the VM itself responded. */
      readonly attempt: string | undefined;
      /** Request path that the server echoes; undefined unless status 200. */
      readonly path: string | undefined;
    }
    | { readonly kind: CallerOutcomeKind.Failed; readonly reason: string };
}

/** Lifetime of cached VM addresses, in milliseconds; the fleet's setting. */
const ADDRESS_TTL_MS = 1_000;
/** Deadline that callers send with each request, in milliseconds. */
const DEADLINE_MS = 2_000;

/** Options of {@linkcode runCaller}. */
export interface CallerOptions {
  readonly fleet: PlatformFleet;
  readonly random: Random;
  /** Picks the API key of the next request. */
  readonly pickKey: () => string;
  /** Mean pause between a response and the next request, in milliseconds. */
  readonly meanPauseMs: number;
  /** Prefix of the caller's request ids. */
  readonly name: string;
  /** Whether the caller stays with one VM while its connection is open. */
  readonly isSticky: boolean;
}

/** Sends requests one by one until the signal aborts; returns all records. */
export async function runCaller(
  options: CallerOptions,
  signal: AbortSignal,
): Promise<CallerRecord[]> {
  const { fleet, random, meanPauseMs, name, isSticky } = options;
  const records: CallerRecord[] = [];
  const agents = new Map<PlatformVm, http.Agent>();
  let vms: readonly PlatformVm[] = fleet.vms;
  let requestedAt = -Infinity;
  let lastVm: PlatformVm | undefined;
  for (let count = 0; !signal.aborted; count += 1) {
    if (performance.now() - requestedAt > ADDRESS_TTL_MS) {
      requestedAt = performance.now();
      vms = await findVms(fleet, random) ?? vms;
    }
    const canStay = isSticky && lastVm !== undefined &&
      hasOpenConnection(agents.get(lastVm));
    const vm = canStay && lastVm !== undefined ? lastVm : pickOne(vms, random);
    lastVm = vm;
    const agent = agents.get(vm) ?? new http.Agent({ keepAlive: true });
    agents.set(vm, agent);
    records.push(
      await sendOne(options, `${name}-${count}`, vm, agent),
    );
    await sleep(-Math.log(1 - random()) * meanPauseMs);
  }
  for (const agent of agents.values()) agent.destroy();
  return records;
}

function hasOpenConnection(agent: http.Agent | undefined): boolean {
  const sockets = Object.values(agent?.freeSockets ?? {}).flat();
  return sockets.some((socket) => socket !== undefined && !socket.destroyed);
}

async function sendOne(
  { random, pickKey }: CallerOptions,
  id: string,
  vm: PlatformVm,
  agent: http.Agent,
): Promise<CallerRecord> {
  const isUnsafe = random() < 0.5;
  const key = pickKey();
  const sentAt = performance.now();
  const outcome = await sendToVm(vm, {
    path: `/${isUnsafe ? "swap" : "look"}/${id}`,
    method: isUnsafe ? "POST" : "GET",
    key,
    attempt: id,
    remainingMs: DEADLINE_MS,
    agent,
    ...(isUnsafe && { body: id }),
  }).then((response): CallerRecord["outcome"] => ({
    kind: CallerOutcomeKind.Completed,
    status: response.status,
    attempt: response.headers[PLATFORM_DIALECT.attemptField] as
      | string
      | undefined,
    path: response.status === 200
      ? (JSON.parse(response.body) as { path?: string }).path
      : undefined,
  })).catch((error: Error): CallerRecord["outcome"] => ({
    kind: CallerOutcomeKind.Failed,
    reason: error.message,
  }));
  const endedAt = performance.now();
  return { id, key, isUnsafe, vm, sentAt, endedAt, outcome };
}

/**
 * Requests the addresses to use from a random VM. Resolves to undefined if it
 * does not respond in time or returns no known VM.
 */
async function findVms(
  fleet: PlatformFleet,
  random: Random,
): Promise<PlatformVm[] | undefined> {
  const resolver = pickOne(fleet.vms, random);
  const addresses = await Promise.race([
    fetchVmAddresses(resolver, resolver.failureDomain).catch(
      (): string[] => [],
    ),
    sleep(ADDRESS_TTL_MS).then((): string[] => []),
  ]);
  const found = fleet.vms.filter((vm) =>
    addresses.includes(`127.0.0.1:${vm.callerPort}`)
  );
  return found.length > 0 ? found : undefined;
}

/** Picks a random item; the list must not be empty. */
export function pickOne<T>(items: readonly T[], random: Random): T {
  return items[Math.floor(random() * items.length)] as T;
}

/** Waits for `ms` milliseconds. */
export function sleep(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}
