import assert from "node:assert/strict";
import http from "node:http";
import { once } from "node:events";
import { after, before, test } from "node:test";
import { sendRequest, startFleet } from "../scripts/demo_fleet.ts";
import type { Fleet, FleetDaemon } from "../scripts/demo_fleet.ts";
import { waitUntil } from "../scripts/processes.ts";
import { getKnownRedOptions } from "./known_red.ts";

const READY_LIMIT_MS = 20_000;
const FREEZE_MS = 4_000;
const TTL_MS = 1_000;

let fleet: Fleet;
let key = "";

before(async () => {
  fleet = await startFleet({ daemons: 3, servers: 2, addressTtlMs: TTL_MS });
  for (
    const line of [
      "service set rota",
      ...fleet.serverPorts.map((port, index) =>
        `server set rota-${
          index + 1
        } --service rota --host 127.0.0.1 --port ${port}`
      ),
      "route set swaps --path /swaps --service rota --method POST",
      "team create judges --rate 100000 --burst 200000",
    ]
  ) {
    const { code, stderr } = await fleet.runCtl(...line.split(" "));
    assert.equal(code, 0, stderr);
  }
  key = await createKey();
  await waitUntil(async () => {
    const responses = await Promise.all(fleet.daemons.map(sendSwap));
    return responses.every((status) => status === 200);
  }, READY_LIMIT_MS);
});

after(() => fleet.group.stop(READY_LIMIT_MS));

async function createKey(): Promise<string> {
  const { stdout } = await fleet.runCtl("key", "issue", "judges", "--wait");
  return /rbw_\S+/.exec(stdout)?.[0] ?? "";
}

async function sendSwap(daemon: FleetDaemon): Promise<number> {
  const { callerPort: port } = daemon;
  const path = "/swaps";
  const response = await sendRequest({ port, path, method: "POST", key });
  return response.status;
}

/** Fetches the ports of VMs from a daemon; they may be cached for the TTL. */
async function fetchPorts(daemon: FleetDaemon): Promise<number[]> {
  const response = await sendRequest({
    port: daemon.callerPort,
    path: "/rhubarbwall/v1/addresses",
    key,
  });
  const { addresses } = JSON.parse(response.body) as {
    addresses: { address: string }[];
  };
  return addresses.map(({ address }) => Number(address.split(":")[1]));
}

function getDaemon(index: number): FleetDaemon {
  const daemon = fleet.daemons[index];
  if (daemon === undefined) throw new Error("there is no such daemon");
  return daemon;
}

test("a planned stop fails no request of callers that cache their addresses", async () => {
  const leaving = getDaemon(1);
  const agent = new http.Agent({ keepAlive: true });
  let isStopped = false;
  const exited = once(leaving.process, "exit");
  const statuses: number[] = [];
  const failures: string[] = [];
  const callers = Array.from({ length: 8 }, async (_caller, index) => {
    let ports = await fetchPorts(getDaemon(0));
    let requestedAt = performance.now();
    while (!isStopped) {
      if (performance.now() - requestedAt > TTL_MS) {
        ports = await fetchPorts(getDaemon(0));
        requestedAt = performance.now();
      }
      const port = ports[index % ports.length] ?? 0;
      await sendRequest({ port, path: "/swaps", method: "POST", key, agent })
        .then(({ status }) => statuses.push(status))
        .catch((error: Error) => failures.push(error.message));
    }
  });
  await new Promise((resolve) => setTimeout(resolve, 500));
  leaving.process.kill("SIGTERM");
  const [code] = await exited;
  isStopped = true;
  await Promise.all(callers);
  agent.destroy();
  assert.equal(code, 0);
  assert.deepEqual(failures, []);
  assert.ok(statuses.length > 0);
  assert.deepEqual(statuses.filter((status) => status !== 200), []);
  fleet.startDaemon(leaving);
});

const FROZEN =
  "a daemon resumed after SIGSTOP accepts no key withdrawn meanwhile";

test(FROZEN, getKnownRedOptions(FROZEN), async () => {
  const frozen = getDaemon(2);
  const withdrawn = key;
  frozen.process.kill("SIGSTOP");
  const { code } = await fleet.runCtl("key", "withdraw", withdrawn);
  assert.equal(code, 0);
  await new Promise((resolve) => setTimeout(resolve, FREEZE_MS));
  const pending = Array.from({ length: 4 }, () => sendSwap(frozen));
  frozen.process.kill("SIGCONT");
  const statuses = await Promise.all(pending);
  assert.equal(statuses.includes(200), false);
  key = await createKey();
});

test("the other daemons keep serving after one is killed", async () => {
  const killed = getDaemon(0);
  const exited = once(killed.process, "exit");
  killed.process.kill("SIGKILL");
  await exited;
  await waitUntil(
    async () => await sendSwap(getDaemon(2)) === 200,
    READY_LIMIT_MS,
  );
  fleet.startDaemon(killed);
});
