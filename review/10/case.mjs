/**
 * A key is taken away. Later the store comes back from a copy that is some
 * seconds old and still has the key, and the process that reads the store for
 * its zone is killed and started again meanwhile. The others know the newer
 * configuration all the while.
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
const OTHER_KEY = "7c4ke9swqa1hzz0mtrbx";
const REVOKE_MS = 5_000;
/** Time for which the store is away, in milliseconds. */
const AWAY_MS = 1_000;
/** Age of the copy, in milliseconds. */
const COPY_AGE_MS = 6_000;
/** Time until the operator and the workers write again what was lost. */
const REWRITE_MS = 1_000;

function findHub(daemons) {
  return daemons.find(({ log }) =>
    log.lastIndexOf('"role":"hub"') > log.lastIndexOf('"earlier":"hub"')
  );
}

await runCase(
  fileURLToPath(new URL(".", import.meta.url)),
  async (recorder, keep) => {
    const store = keep(new Store());
    await store.open();
    const workers = ["i-1", "i-2"].map((id) =>
      keep(new Worker({ id, recorder }))
    );
    for (const worker of workers) await worker.open(store);
    const tenants = (keys) => ({
      tenants: [
        { Name: "huka270", ApiKeys: keys },
        { Name: "nalo114", ApiKeys: [OTHER_KEY] },
      ],
    });
    store.put("keyed.op", "config", createConfiguration(3, tenants([KEY])));
    const daemons = await createDaemons(
      store,
      ["zone-1", "zone-1", "zone-1", "zone-1"],
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
    await sleep(5_000);
    const newer = createConfiguration(5, tenants([]));
    store.put("keyed.op", "config", newer);
    const takenAt = performance.now();
    recorder.add("config  version 5 acknowledged: key taken away");
    await sleep(REVOKE_MS - AWAY_MS + 600);
    const hub = findHub(daemons);
    if (hub === undefined) throw new Error("there is no reader of the store");
    recorder.add(`reader  ${hub.name} reads the store for its zone`);
    const sending = sendUntilEnd();
    if (HAS_TROUBLE) {
      store.isAway = true;
      recorder.add("store   away");
      if (process.env.KILL !== "0") {
        hub.signal("SIGKILL");
        await hub.exit;
      }
      await sleep(300);
      if (process.env.KILL !== "0") hub.start();
      await sleep(AWAY_MS - 300);
      store.restore(COPY_AGE_MS);
      store.isAway = false;
      recorder.add(`store   back in era ${store.era} from a copy`);
      await sleep(REWRITE_MS);
      store.put("keyed.op", "config", newer);
      recorder.add("config  version 5 written again");
    }
    await sleep(3_000);
    const sent = await sending.end();
    const run = new Set(
      workers.flatMap((worker) => worker.runs).map(({ attempt }) => attempt),
    );
    const late = sent.filter(({ attempt, at }) =>
      run.has(attempt) && at > takenAt + REVOKE_MS
    );
    for (const { attempt, at, daemon } of late) {
      recorder.add(
        `broken  attempt ${attempt} with the key ran at ${daemon}, sent ` +
          `${Math.round(at - takenAt)} ms after the acknowledgement`,
      );
    }
    return {
      held: late.length === 0,
      text: `${late.length} of ${sent.length} requests with the key that was ` +
        "taken away ran",
    };

    /** Sends requests with the key that was taken away to the reader. */
    function sendUntilEnd() {
      const sent = [];
      let isEnded = false;
      const loop = (async () => {
        while (!isEnded) {
          const attempt = `k${sent.length}`;
          sent.push({ attempt, at: performance.now(), daemon: hub.name });
          recorder.add(`sent    GET /look/1 attempt ${attempt} to ${hub.name}`);
          const answer = await send(hub, {
            path: "/look/1",
            key: KEY,
            attempt,
            deadlineMs: 2_000,
          });
          recorder.add(
            `answer  attempt ${attempt}: ${answer.status ?? answer.error}`,
          );
          await sleep(50);
        }
      })();
      return {
        end: async () => {
          isEnded = true;
          await loop;
          return sent;
        },
      };
    }
  },
);
