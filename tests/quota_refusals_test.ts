import { test } from "node:test";
import { checkRefusals } from "./quota_loads.ts";

for (const seed of [1, 2, 3]) {
  test(`skewed callers: one VM gets nearly the whole rate (seed ${seed})`, async () => {
    await checkRefusals({
      vms: 32,
      limit: 46,
      seconds: 30,
      seed,
      getRate: () => 0.95 * 46,
      pickVm: (vms) => vms[7],
    });
  });

  test(`even callers: a team within its rate is rarely refused (seed ${seed})`, async () => {
    await checkRefusals({
      vms: 32,
      limit: 46,
      seconds: 30,
      seed,
      getRate: () => 0.8 * 46,
    });
  });
}
