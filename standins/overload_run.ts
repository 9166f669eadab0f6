/** One service under a given load in virtual time, with and without decisions. */
import { Overload, OverloadKind } from "../src/services/overload/mod.ts";
import { createSeededRandom } from "../src/services/random/mod.ts";
import { SlottedServer } from "./slotted_server.ts";
import { VirtualTime } from "./virtual_clock.ts";

/** Load for a time. */
export interface LoadStep {
  /** Arriving work, in multiples of what all slots can do. */
  readonly load: number;
  /** Length in milliseconds. */
  readonly forMs: number;
}

/** Options of {@linkcode runOverload}. */
export interface OverloadOptions {
  readonly seed: number;
  readonly steps: readonly LoadStep[];
  /**
   * Share of the requests that are urgent, 0 to 1.
   * @default {0.5}
   */
  readonly urgentShare?: number;
  /** Virtual time in milliseconds from which `refusedAfter` counts. */
  readonly settledAt?: number;
  /** Whether every request is accepted, as without decisions. */
  readonly isOpen?: boolean;
}

/** How the requests ended. */
export interface OverloadResult {
  requests: number;
  /** Answered within the target, and within the deadline. */
  inTime: number;
  served: number;
  refused: number;
  refusedAfter: number;
  urgentRequests: number;
  urgentInTime: number;
  readonly requestsByTeam: Map<string, number>;
  readonly servedByTeam: Map<string, number>;
  /** Requests that the slots could do in the time of all steps. */
  capacity: number;
}

const SERVERS = 8;
const SLOTS = 4;
/** Requests that a server takes beyond its slots before it sheds. */
const SERVER_QUEUE = 16;
const WORK_MS = 250;
const TARGET_MS = 800;
const DEADLINE_MS = 2_000;
const TEAMS = 6;
/** Age of what is known of the queues, in milliseconds. */
const LOOK_MS = 80;

/** Runs one service; servers go on with what their callers gave up. */
export async function runOverload(
  options: OverloadOptions,
): Promise<OverloadResult> {
  const time = new VirtualTime();
  const random = createSeededRandom(options.seed);
  const overload = new Overload(random);
  const servers = Array.from(
    { length: SERVERS },
    () => new SlottedServer(time, SLOTS),
  );
  const result = createResult(options);
  let known = servers.map((server) => server.inFlight);
  const look = (): void => {
    known = servers.map((server) => server.inFlight);
    time.startTimer(LOOK_MS, look);
  };
  const pickServer = (): number => {
    // The better of two at random, since what is known is old.
    const [first = 0, second = 0] = [0, 0]
      .map(() => Math.floor(random() * SERVERS));
    return (known[first] ?? 0) <= (known[second] ?? 0) ? first : second;
  };
  const send = async (): Promise<void> => {
    const isUrgent = random() < (options.urgentShare ?? 0.5);
    const team = `${isUrgent ? "urgent" : "other"} ${
      Math.floor(random() * TEAMS)
    }`;
    result.requests += 1;
    result.urgentRequests += isUrgent ? 1 : 0;
    addOne(result.requestsByTeam, team);
    const turns = Math.min(...known.map((count) => count + 1 - SLOTS)) / SLOTS;
    const decision = overload.judge({
      service: "rota",
      route: isUrgent ? "swap" : "lookup",
      priority: isUrgent ? 1 : 2,
      queueMs: Math.max(0, turns) * WORK_MS,
      targetMs: TARGET_MS,
      leftMs: DEADLINE_MS,
    }, time.now);
    if (!options.isOpen && decision.kind === OverloadKind.Refused) {
      result.refused += 1;
      if (time.now >= (options.settledAt ?? Infinity)) result.refusedAfter += 1;
      return;
    }
    const picked = pickServer();
    const server = servers[picked];
    if (server === undefined) return;
    known[picked] = (known[picked] ?? 0) + 1;
    if (server.inFlight >= SLOTS + SERVER_QUEUE) return;
    const startedAt = time.now;
    const waitedMs = await server.run(WORK_MS * (0.5 + random()));
    const tookMs = time.now - startedAt;
    overload.recordWork(
      "rota",
      isUrgent ? "swap" : "lookup",
      tookMs - waitedMs,
    );
    if (tookMs > DEADLINE_MS) return;
    result.served += 1;
    addOne(result.servedByTeam, team);
    if (tookMs > TARGET_MS) return;
    result.inTime += 1;
    result.urgentInTime += isUrgent ? 1 : 0;
  };
  look();
  for (const { load, forMs } of options.steps) {
    const perMs = load * SERVERS * SLOTS / WORK_MS;
    const endAt = time.now + forMs;
    const sendNext = (): void => {
      if (time.now >= endAt) return;
      void send();
      time.startTimer(-Math.log(1 - random()) / perMs, sendNext);
    };
    sendNext();
    await time.advance(forMs);
  }
  await time.advance(DEADLINE_MS);
  return result;
}

function createResult({ steps }: OverloadOptions): OverloadResult {
  const totalMs = steps.reduce((sum, { forMs }) => sum + forMs, 0);
  return {
    requests: 0,
    inTime: 0,
    served: 0,
    refused: 0,
    refusedAfter: 0,
    urgentRequests: 0,
    urgentInTime: 0,
    requestsByTeam: new Map(),
    servedByTeam: new Map(),
    capacity: totalMs * SERVERS * SLOTS / WORK_MS,
  };
}

function addOne(counts: Map<string, number>, name: string): void {
  counts.set(name, (counts.get(name) ?? 0) + 1);
}
