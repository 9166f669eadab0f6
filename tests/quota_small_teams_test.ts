import { test } from "node:test";
import { checkWindow } from "./quota_loads.ts";

for (const vms of [18, 112]) {
  for (const seed of [1, 2, 3]) {
    test(`small team: ${vms} VMs receive requests beyond the rate (seed ${seed})`, async () => {
      await checkWindow({
        vms,
        limit: 10,
        seconds: 30,
        seed,
        getRate: (ms) => ms < 5_000 ? 0 : 80,
      });
    });
  }
}
