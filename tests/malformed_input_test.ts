import assert from "node:assert/strict";
import { once } from "node:events";
import net from "node:net";
import { after, before, test } from "node:test";
import fc from "fast-check";
import { fetchMetrics, sendToVm } from "../scripts/platform_calls.ts";
import { startPlatformFleet } from "../scripts/platform_fleet.ts";
import type { PlatformFleet, PlatformVm } from "../scripts/platform_fleet.ts";
import { waitUntil } from "../scripts/processes.ts";

const START_LIMIT_MS = 15_000;
/** Long enough that requests are running while malformed input arrives. */
const WORK_MS = 500;
const REQUESTS = 6;
const INPUTS_PER_PORT = 30;
const SEED = 20_261_206;
/** Time after which a connection that got no response is closed. */
const SILENCE_MS = 40;
const KEY = "k-judges-1";

let fleet: PlatformFleet;

before(async () => {
  fleet = await startPlatformFleet({ vms: [2], servers: 3, workMs: WORK_MS });
  fleet.publish([{ name: "judges", keys: [KEY] }]);
  await waitUntil(async () => {
    const responses = await Promise.all(
      fleet.vms.map((vm) => sendToVm(vm, { path: "/look/1", key: KEY })),
    );
    return responses.every(({ status }) => status === 200);
  }, START_LIMIT_MS);
});

after(() => fleet.stop());

function getVm(): PlatformVm {
  const [vm] = fleet.vms;
  if (vm === undefined) throw new Error("there is no VM");
  return vm;
}

const ALL_SERVED = Array.from({ length: REQUESTS }, () => 200);

/** Sends requests that must run only once; resolves to their statuses. */
async function sendRequests(vm: PlatformVm): Promise<number[]> {
  const responses = await Promise.all(
    ALL_SERVED.map((_status, index) =>
      sendToVm(vm, { path: `/swap/${index}`, method: "POST", key: KEY })
    ),
  );
  return responses.map(({ status }) => status);
}

function sumRuns(): number {
  return fleet.servers.reduce((sum, { runCount }) => sum + runCount, 0);
}

/** Sends bytes to a port; resolves to what it responded. */
async function sendBytes(port: number, bytes: Uint8Array): Promise<string> {
  const socket = net.connect(port, "127.0.0.1");
  let response = "";
  socket.on("data", (chunk) => response += chunk.toString("latin1"));
  socket.on("error", () => socket.destroy());
  socket.setTimeout(SILENCE_MS, () => socket.destroy());
  socket.end(bytes);
  await once(socket, "close");
  return response;
}

function listPorts(vm: PlatformVm): number[] {
  const { callerPort, directoryPort, readyPort, metricsPort, peerPort } = vm;
  return [callerPort, directoryPort, readyPort, metricsPort, peerPort];
}

const token = fc.string({ maxLength: 12 });
const target = fc.oneof(
  fc.constantFrom("//", "//:80/resolve", "//[/", "http://", "*", "/%", "\\"),
  token.map((text) => `/${text}`),
  token,
);
/** A request head with valid framing and arbitrary parts. */
const head = fc.record({
  method: fc.constantFrom("GET", "POST", "CONNECT", "OPTIONS", "X"),
  target,
  upgrade: fc.boolean(),
  field: fc.tuple(token, token),
}).map(({ method, target, upgrade, field: [name, value] }) => {
  const upgradeLines = upgrade
    ? "Connection: Upgrade\r\nUpgrade: websocket\r\n"
    : "";
  return Buffer.from(
    `${method} ${target} HTTP/1.1\r\nHost: a\r\n${upgradeLines}${name}: ${value}\r\n\r\n`,
  );
});
const input = fc.oneof(
  head,
  fc.uint8Array({ maxLength: 200 }).map((bytes) => Buffer.from(bytes)),
);

// Guards against input that ends the process, and with it running requests.
test("no input to any listener ends the process or a running request", async () => {
  const vm = getVm();
  for (const [index, port] of listPorts(vm).entries()) {
    const numRuns = INPUTS_PER_PORT;
    const inputs = fc.sample(input, { seed: SEED + index, numRuns });
    const running = sendRequests(vm);
    await Promise.all(inputs.map((bytes) => sendBytes(port, bytes)));
    assert.deepEqual(await running, ALL_SERVED);
    assert.equal(vm.process.exitCode, null);
  }
});

// Guards against `new URL` throwing inside a request listener.
test("a target without a host is refused with 400 and counted", async () => {
  const vm = getVm();
  for (const port of [vm.directoryPort, vm.readyPort]) {
    const response = await sendBytes(
      port,
      Buffer.from("GET //:80/resolve?Zone=a HTTP/1.1\r\nHost: a\r\n\r\n"),
    );
    assert.match(response, /^HTTP\/1\.1 400 /);
  }
  assert.match(
    await fetchMetrics(vm),
    /handler_errors\{kind="discovery"\} [1-9]/,
  );
});

// Guards against a second signal that ends the process at once.
test("stop signals in series cut no running request", async () => {
  const [, vm] = fleet.vms;
  assert.ok(vm);
  const before = sumRuns();
  const running = sendRequests(vm);
  await waitUntil(
    () => Promise.resolve(sumRuns() === before + REQUESTS),
    START_LIMIT_MS,
  );
  const exited = once(vm.process, "exit");
  for (const signal of ["SIGTERM", "SIGTERM", "SIGHUP", "SIGINT"] as const) {
    vm.process.kill(signal);
    await new Promise((resolve) => setTimeout(resolve, 50));
  }
  assert.deepEqual(await running, ALL_SERVED);
  assert.deepEqual(await exited, [0, null]);
});
