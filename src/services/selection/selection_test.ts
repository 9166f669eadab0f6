import assert from "node:assert/strict";
import { test } from "node:test";
import { SILENT_LOGGER } from "../../../standins/silent_logger.ts";
import { SlottedServer } from "../../../standins/slotted_server.ts";
import { VirtualClock, VirtualTime } from "../../../standins/virtual_clock.ts";
import { ServerPhase } from "../../model/mod.ts";
import type { Server } from "../../model/mod.ts";
import { Configuration } from "../configuration/mod.ts";
import { EjectionState } from "../detector/mod.ts";
import type { Detector } from "../detector/mod.ts";
import { LoadTable } from "../fleet/load_table.ts";
import { Metrics } from "../metrics/mod.ts";
import { createSeededRandom } from "../random/mod.ts";
import type { Random } from "../random/mod.ts";
import { ServerNotices } from "../server_notices/mod.ts";
import { NO_WARM_UP } from "../warm_up/mod.ts";
import type { LoadByServer } from "./load_exchange.ts";
import { FailureImpact, Selection } from "./mod.ts";

const VMS = 12;
const SERVERS = 9;
const SLOTS = 4;
/** Processing time: mean in ms, and standard deviation of its logarithm. */
const WORK_MS = 250;
const WORK_SPREAD = 0.8;
const SERVICE = "rota";

interface Waits {
  readonly requests: number;
  /** Requests that waited for over a tenth of the mean processing time. */
  readonly waited: number;
}

function createDetector(): Detector {
  const detector: Partial<Detector> = {
    getEjectionState: () => EjectionState.Admitted,
    isSuspect: () => false,
    getFailureProbability: () => 0,
    getAdmittedMs: () => Infinity,
    getTestIntervalMs: () => Infinity,
  };
  return detector as Detector;
}

function createNotices(clock: VirtualClock): ServerNotices {
  const metrics = new Metrics();
  return new ServerNotices({ clock, metrics, logger: SILENT_LOGGER });
}

function createConfiguration(clock: VirtualClock): Configuration {
  const configuration = new Configuration("cell", clock);
  for (let index = 0; index < SERVERS; index += 1) {
    configuration.setServer({
      id: `server-${index}`,
      service: SERVICE,
      host: "h",
      port: index,
      failureDomain: "a",
      slots: SLOTS,
      phase: ServerPhase.Active,
      revision: 1,
    });
  }
  return configuration;
}

function computeWorkMs(random: Random): number {
  const normal = Math.sqrt(-2 * Math.log(1 - random())) *
    Math.cos(2 * Math.PI * random());
  return WORK_MS * Math.exp(WORK_SPREAD * normal - WORK_SPREAD ** 2 / 2);
}

/** Runs VMs that send to shared servers and get each other's loads late. */
async function runLoad(given: {
  readonly seed: number;
  /** Share of all slots that the requests need, 0 to 1. */
  readonly utilization: number;
  /** Time between two exchanges of loads in ms. */
  readonly exchangeMs: number;
  /** Whether servers are picked at random instead. */
  readonly isRandom?: boolean;
}): Promise<Waits> {
  const time = new VirtualTime();
  const clock = new VirtualClock(time);
  const random = createSeededRandom(given.seed);
  const configuration = createConfiguration(clock);
  const servers = new Map(
    [...configuration.state.servers.keys()]
      .map((id) => [id, new SlottedServer(time, SLOTS)]),
  );
  const table = new LoadTable<number>();
  const notices = createNotices(clock);
  const sources: (() => LoadByServer)[] = [];
  const others: LoadByServer[] = [];
  const selections = Array.from({ length: VMS }, (_vm, index) =>
    new Selection({
      configuration,
      detector: createDetector(),
      notices,
      warmUp: NO_WARM_UP,
      clock,
      random,
      failureDomain: "a",
      loads: {
        countOthers: (server) => others[index]?.get(server) ?? 0,
        setSource: (countLocal) => void (sources[index] = countLocal),
      },
    }));
  const listed = [...configuration.state.servers.values()];
  const pickRandom = (): Server =>
    listed[Math.floor(random() * SERVERS)] as Server;
  let requests = 0;
  let waited = 0;
  const send = async (selection: Selection): Promise<void> => {
    const server = given.isRandom
      ? pickRandom()
      : selection.selectServers(SERVICE, FailureImpact.Request)
        .next().value as Server;
    const hadCapacity = selection.recordStart(server);
    const startedAt = time.now;
    const waitedMs = await servers.get(server.id)?.run(computeWorkMs(random)) ??
      0;
    requests += 1;
    if (waitedMs > WORK_MS / 10) waited += 1;
    selection.recordEnd(server, {
      latencyMs: time.now - startedAt,
      load: undefined,
      isShed: false,
      hadCapacity,
    });
  };
  const perMs = given.utilization * SERVERS * SLOTS / WORK_MS;
  const endAt = 60_000;
  const sendNext = (): void => {
    const selection = selections[Math.floor(random() * VMS)];
    if (time.now > endAt || selection === undefined) return;
    void send(selection);
    time.startTimer(-Math.log(1 - random()) / perMs, sendNext);
  };
  const exchange = (): void => {
    sources.forEach((countLocal, vm) => table.replace(vm, countLocal()));
    sources.forEach((_source, vm) => others[vm] = table.sumOthers(vm));
    time.startTimer(given.exchangeMs, exchange);
  };
  sendNext();
  exchange();
  await time.advance(endAt);
  return { requests, waited };
}

for (const seed of [1, 2, 3]) {
  test(`stale loads: at most half as many requests wait as with random servers (seed ${seed})`, async () => {
    const load = { seed, utilization: 0.75 };
    // Two intervals of the fleet's load exchange: to the hub and back.
    const informed = await runLoad({ ...load, exchangeMs: 80 });
    const random = await runLoad({ ...load, exchangeMs: 80, isRandom: true });
    const share = informed.waited / informed.requests;
    const randomShare = random.waited / random.requests;
    assert.ok(share <= randomShare / 2, `${share} against ${randomShare}`);
  });
}
