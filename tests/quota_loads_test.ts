import { test } from "node:test";
import { checkWindow } from "./quota_loads.ts";
import { QuotaFaultKind } from "./quota_scenario.ts";

for (const seed of [1, 2, 3]) {
  test(`hot team: five times the rate on all VMs stays within the limits (seed ${seed})`, async () => {
    await checkWindow({
      vms: 32,
      limit: 46,
      seconds: 30,
      seed,
      getRate: (ms) => ms < 8_000 ? 29 : 230,
    });
  });

  test(`sudden load: every VM receives requests at once after a pause (seed ${seed})`, async () => {
    for (const vms of [4, 32]) {
      await checkWindow({
        vms,
        limit: 20,
        seconds: 12,
        seed,
        getRate: (ms) => ms < 2_000 ? 0 : 320,
      });
    }
  });

  test(`restart: all VMs restart while a team exceeds its rate (seed ${seed})`, async () => {
    await checkWindow({
      vms: 36,
      limit: 63,
      seconds: 20,
      seed,
      getRate: () => 400,
      faults: [{
        kind: QuotaFaultKind.MassKill,
        at: 13_000,
        share: 1,
        downMs: 10,
      }],
    });
  });

  // Guards against a new hub that starts with tokens that were already spent.
  test(`rolling replacement: hubs change while a team exceeds its rate (seed ${seed})`, async () => {
    await checkWindow({
      vms: 33,
      limit: 66,
      seconds: 30,
      seed,
      getRate: () => 300,
      faults: Array.from({ length: 14 }, (_fault, domain) => ({
        kind: QuotaFaultKind.HubFreeze,
        at: 2_000 * (1 + domain),
        downMs: 1_500,
        domain,
      })),
    });
  });
}
