/**
 * The operator takes away the last tenant and its key. The configuration still
 * contains `Tenants`, with no entry, and no route is public.
 */
import { fileURLToPath } from "node:url";
import {
  createConfiguration,
  createDaemons,
  HAS_TROUBLE,
  runCase,
  send,
  sleep,
  Store,
  waitUntil,
  Worker,
} from "../kit-2/fleet.mjs";

const KEY = "2b9wu3fexd9dnn2ctnfz";
/** A key that no configuration ever held. */
const UNKNOWN_KEY = "zz0never0issued0zz00";
const REVOKE_MS = 5_000;
const REQUESTS = 20;

await runCase(
  fileURLToPath(new URL(".", import.meta.url)),
  async (recorder, keep) => {
    const store = keep(new Store());
    await store.open();
    const workers = ["i-1", "i-2"].map((id) =>
      keep(new Worker({ id, recorder }))
    );
    for (const worker of workers) await worker.open(store);
    const tenants = [{ Name: "huka270", ApiKeys: [KEY] }];
    store.put("keyed.op", "config", createConfiguration(3, { tenants }));
    const daemons = await createDaemons(
      store,
      ["zone-1", "zone-1", "zone-2"],
      recorder,
    );
    for (const daemon of daemons) keep(daemon).start();
    for (const daemon of daemons) {
      await waitUntil(
        async () =>
          (await send(daemon, { path: "/look/1", key: KEY })).status === 200,
        20_000,
        "the fleet serves",
      );
    }
    // Without the disruption, the tenant stays and only its key is taken away.
    const newer = createConfiguration(5, {
      tenants: HAS_TROUBLE ? [] : [{ ...tenants[0], ApiKeys: [] }],
    });
    store.put("keyed.op", "config", newer);
    const takenAt = performance.now();
    recorder.add(
      `config  version 5 acknowledged: Tenants ${
        JSON.stringify(newer.Tenants)
      }`,
    );
    await sleep(REVOKE_MS + 1_000);
    const sent = new Map();
    for (let index = 0; index < REQUESTS; index += 1) {
      const daemon = daemons[index % daemons.length];
      const key = [KEY, UNKNOWN_KEY][index % 2];
      const attempt = `t${index}`;
      const sentMs = Math.round(performance.now() - takenAt);
      recorder.add(
        `sent    POST /swap/${index} attempt ${attempt} to ${daemon.name} ` +
          `with the key ${key}, ${sentMs} ms after the acknowledgement`,
      );
      sent.set(attempt, key);
      const answer = await send(daemon, {
        path: `/swap/${index}`,
        method: "POST",
        key,
        attempt,
        body: "x=1",
      });
      recorder.add(
        `answer  attempt ${attempt}: ${answer.status ?? answer.error}`,
      );
    }
    const keys = workers.flatMap((worker) => worker.runs)
      .map(({ attempt }) => sent.get(attempt));
    const unknown = keys.filter((key) => key === UNKNOWN_KEY).length;
    const takenAway = keys.filter((key) => key === KEY).length;
    return {
      held: unknown === 0,
      text: `${unknown} requests with a key that no configuration ever held ` +
        `ran, and ${takenAway} with the key that was taken away`,
    };
  },
);
