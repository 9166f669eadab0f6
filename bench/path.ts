/** Latency that one daemon adds, compared with direct calls in the same run. */
import http from "node:http";
import { sendRequest, startFleet } from "../scripts/demo_fleet.ts";
import type { CallerRequest, Fleet } from "../scripts/demo_fleet.ts";
import { LatencyRecorder, printLine, printTable } from "./report.ts";

const RATE_PER_SECOND = 400;
const ROUND_MS = 2_500;
const ROUNDS = 4;
const CLOSED_LOOP_MS = 5_000;
const CLOSED_LOOP_CALLERS = 16;
const MS_PER_SECOND = 1_000;

async function createConfiguration(fleet: Fleet): Promise<string> {
  const lines = [
    "service set rota",
    ...fleet.serverPorts.map((port, index) =>
      `server set rota-${
        index + 1
      } --service rota --host 127.0.0.1 --port ${port}`
    ),
    "route set turns --path / --service rota --idempotency idempotent",
    "team create bench --rate 100000 --burst 100000",
  ];
  for (const line of lines) await fleet.runCtl(...line.split(" "));
  const issued = await fleet.runCtl("key", "issue", "bench", "--wait");
  return /rbw_\S+/.exec(issued.stdout)?.[0] ?? "";
}

/** Sends at a fixed rate, regardless of responses. */
async function runOpenLoop(
  request: CallerRequest,
  recorder: LatencyRecorder,
): Promise<void> {
  const pending: Promise<void>[] = [];
  const startedAt = performance.now();
  const count = RATE_PER_SECOND * ROUND_MS / MS_PER_SECOND;
  for (let index = 0; index < count; index += 1) {
    const dueAt = startedAt + index * MS_PER_SECOND / RATE_PER_SECOND;
    const waitMs = dueAt - performance.now();
    if (waitMs > 0) {
      await new Promise((resolve) => setTimeout(resolve, waitMs));
    }
    pending.push(measureRequest(request, recorder));
  }
  await Promise.all(pending);
}

async function measureRequest(
  request: CallerRequest,
  recorder: LatencyRecorder,
): Promise<void> {
  const sentAt = performance.now();
  const { status } = await sendRequest(request);
  if (status !== 200) throw new Error(`status ${status}`);
  recorder.add(performance.now() - sentAt);
}

/**
 * Sends from a fixed number of callers, each of which waits for a response
 * before its next request. Returns the number of requests.
 */
async function runClosedLoop(request: CallerRequest): Promise<number> {
  const recorder = new LatencyRecorder();
  const end = performance.now() + CLOSED_LOOP_MS;
  await Promise.all(
    Array.from({ length: CLOSED_LOOP_CALLERS }, async () => {
      while (performance.now() < end) await measureRequest(request, recorder);
    }),
  );
  return recorder.count;
}

async function readCpuMs(fleet: Fleet): Promise<number> {
  const dump = await fleet.runCtl("dump", "--output", "json");
  const [response] = JSON.parse(dump.stdout) as {
    value: { process: { cpuMs: number } };
  }[];
  return response?.value.process.cpuMs ?? 0;
}

/** Measures added latency at a fixed rate, and requests per second and core. */
export async function runPathBench(): Promise<void> {
  const fleet = await startFleet({ daemons: 1, servers: 4 });
  try {
    const key = await createConfiguration(fleet);
    const agent = new http.Agent({ keepAlive: true });
    const path = "/turns";
    const viaDaemon = {
      port: fleet.daemons[0]?.callerPort ?? 0,
      path,
      key,
      agent,
    };
    const toServer = { port: fleet.serverPorts[0] ?? 0, path, key, agent };
    const direct = new LatencyRecorder();
    const proxied = new LatencyRecorder();
    await runOpenLoop(viaDaemon, new LatencyRecorder());
    for (let round = 0; round < ROUNDS; round += 1) {
      await runOpenLoop(toServer, direct);
      await runOpenLoop(viaDaemon, proxied);
    }
    printLatencies(direct, proxied);
    const cpuBefore = await readCpuMs(fleet);
    const count = await runClosedLoop(viaDaemon);
    const cpuMs = await readCpuMs(fleet) - cpuBefore;
    const perCore = count / (cpuMs / MS_PER_SECOND);
    printLine(
      `closed loop: ${count} requests, ${
        (cpuMs / count).toFixed(3)
      } ms of CPU time each, ${perCore.toFixed(0)} per second and core`,
    );
  } finally {
    await fleet.group.stop(MS_PER_SECOND);
  }
}

function printLatencies(
  direct: LatencyRecorder,
  proxied: LatencyRecorder,
): void {
  const rows = [50, 90, 99].map((percentile) => {
    const directMs = direct.getPercentile(percentile);
    const proxiedMs = proxied.getPercentile(percentile);
    return [
      `p${percentile}`,
      directMs.toFixed(2),
      proxiedMs.toFixed(2),
      (proxiedMs - directMs).toFixed(2),
      (proxiedMs / directMs).toFixed(2),
    ];
  });
  printLine(`open loop at ${RATE_PER_SECOND} requests/s, latency in ms`);
  printTable([["", "direct", "daemon", "added", "ratio"], ...rows]);
}
