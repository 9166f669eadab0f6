import assert from "node:assert/strict";
import { test } from "node:test";
import { resolvePolicyKind } from "../src/daemon/wiring/overload_policy.ts";
import { OverloadPolicyKind } from "../src/model/mod.ts";
import { ServiceName } from "../src/services/catalog.ts";
import { FairQueue } from "../src/services/dispatch/fair_queue.ts";
import { startServerStandin } from "../standins/server_standin.ts";
import {
  formatRequest,
  KEY_LINE,
  resolveTestSettings,
  sendRaw,
  startDaemon,
} from "./harness.ts";

const { Cost, Priority } = OverloadPolicyKind;

// Guards against a change of behaviour where no deployment asks for it.
for (
  const [flags, expected] of [
    [{}, Priority],
    [{ "overload-policy": "cost" }, Cost],
    [{ contracts: "pressure" }, Cost],
    [{ contracts: "other, pressure" }, Cost],
    [{ contracts: '["pressure"]' }, Cost],
    [{ contracts: "other,pressures" }, Priority],
    [{ contracts: "{{Contracts}}" }, Priority],
  ] satisfies [Record<string, string>, OverloadPolicyKind][]
) {
  test(`settings ${JSON.stringify(flags)} select the policy ${expected}`, () => {
    assert.equal(resolvePolicyKind(resolveTestSettings(flags)), expected);
  });
}

// Guards against slots that stay taken: each request must be counted out.
test("a daemon with the cost policy serves requests and counts them by level", async () => {
  const server = await startServerStandin({ name: "rota-1", workMs: 0 });
  const daemon = await startDaemon({
    servers: [server.port],
    flags: { "overload-policy": "cost" },
  });
  try {
    for (let index = 0; index < 20; index += 1) {
      const request = formatRequest("GET /turns", [KEY_LINE]);
      assert.match(await sendRaw(daemon.port, request), /^HTTP\/1.1 200 /);
    }
    const text = daemon.kernel.find(ServiceName.Metrics).formatText();
    assert.match(text, /rhubarbwall_scarcity_starts\{kind="1"\} 20/);
  } finally {
    await daemon.stop();
    await server.close();
  }
});

// Guards against a team that gets more slot time by sending long requests.
test("teams share the queue by work, not by the number of jobs", () => {
  const queue = new FairQueue();
  const order: string[] = [];
  for (let index = 0; index < 6; index += 1) {
    queue.enqueue(() => Promise.resolve(order.push("long")), {
      team: "long",
      work: 300,
    });
    queue.enqueue(() => Promise.resolve(order.push("short")), {
      team: "short",
      work: 100,
    });
  }
  for (let index = 0; index < 8; index += 1) void queue.dequeue()?.();
  assert.equal(order.filter((name) => name === "short").length, 6);
});
