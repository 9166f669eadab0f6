/**
 * `npm run demo`: runs a fleet on stand-ins, sends requests through it and
 * checks the responses. With `-- --keep` the fleet stays up for your requests.
 */
import process from "node:process";
import { sendRequest, startFleet } from "./demo_fleet.ts";
import type { CallerResponse, Fleet } from "./demo_fleet.ts";

const REQUESTS = 300;
const STOP_GRACE_MS = 8_000;
const failures: string[] = [];

function printLine(line: string): void {
  process.stdout.write(`${line}\n`);
}

function checkThat(hasPassed: boolean, description: string): void {
  printLine(`${hasPassed ? "ok    " : "FAILED"} ${description}`);
  if (!hasPassed) failures.push(description);
}

async function runCtl(fleet: Fleet, ...args: string[]): Promise<string> {
  const { code, stdout, stderr } = await fleet.runCtl(...args);
  if (code !== 0) throw new Error(`rhubarbctl ${args.join(" ")}: ${stderr}`);
  return stdout.trim();
}

/** Configures a service, two routes and a team; returns the team's API key. */
async function createConfiguration(fleet: Fleet): Promise<string> {
  await runCtl(fleet, "service", "set", "rota");
  for (const [index, port] of fleet.serverPorts.entries()) {
    await runCtl(
      fleet,
      ..."server set --service rota --host 127.0.0.1 --port".split(" "),
      String(port),
      `rota-${index + 1}`,
    );
  }
  await runCtl(
    fleet,
    ..."route set turns --path /turns --service rota --method GET".split(" "),
    ..."--idempotency idempotent".split(" "),
  );
  await runCtl(
    fleet,
    ..."route set swaps --path /swaps --service rota --method POST".split(" "),
  );
  await runCtl(
    fleet,
    ..."team create chaudhry --rate 500 --burst 500".split(" "),
  );
  const issued = await runCtl(fleet, "key", "issue", "chaudhry", "--wait");
  const key = /rbw_\S+/.exec(issued)?.[0];
  if (key === undefined) throw new Error("rhubarbctl issued no key");
  return key;
}

function getPort(fleet: Fleet, index: number): number {
  return fleet.daemons[index % fleet.daemons.length]?.callerPort ?? 0;
}

async function sendAll(fleet: Fleet, key: string): Promise<void> {
  let complete = 0;
  let swaps = 0;
  for (let index = 0; index < REQUESTS; index += 1) {
    const port = getPort(fleet, index);
    const isSwap = index % 10 === 0;
    const response = await sendRequest(
      isSwap
        ? { port, path: "/swaps", method: "POST", key, body: `swap ${index}` }
        : { port, path: `/turns/${index}`, key },
    );
    if (!isComplete(response, isSwap ? "/swaps" : `/turns/${index}`)) continue;
    complete += 1;
    if (isSwap) swaps += 1;
  }
  checkThat(
    complete === REQUESTS,
    `${complete} of ${REQUESTS} requests got a complete response (${swaps} swaps)`,
  );
}

function isComplete(response: CallerResponse, path: string): boolean {
  if (response.status !== 200) return false;
  return (JSON.parse(response.body) as { path: string }).path === path;
}

async function checkRefusals(fleet: Fleet, key: string): Promise<void> {
  const port = getPort(fleet, 0);
  const missing = await sendRequest({ port, path: "/turns/1" });
  checkThat(
    missing.status === 401 && missing.body.includes(`"run":"not run"`),
    "a request without a key is refused as not run",
  );
  const unknown = await sendRequest({ port, path: "/turns/1", key: "wrong" });
  checkThat(
    unknown.body.includes("key_unknown"),
    "a request with an unknown key is refused",
  );
  const route = await sendRequest({ port, path: "/nowhere", key });
  checkThat(route.status === 404, "a request without a route is refused");
}

async function checkWithdrawal(fleet: Fleet, key: string): Promise<void> {
  const startedAt = performance.now();
  await runCtl(fleet, "key", "withdraw", key, "--wait");
  const elapsedMs = Math.round(performance.now() - startedAt);
  const responses = await Promise.all(
    fleet.daemons.map((daemon) =>
      sendRequest({ port: daemon.callerPort, path: "/turns/1", key })
    ),
  );
  checkThat(
    responses.every((response) => response.body.includes("key_withdrawn")),
    `every daemon refuses a withdrawn key (the command took ${elapsedMs} ms)`,
  );
}

function printKeepHelp(fleet: Fleet, key: string): void {
  const port = getPort(fleet, 0);
  printLine("\nThe fleet runs until you press Ctrl-C. Try:\n");
  printLine(
    `  curl -i -H 'authorization: Bearer ${key}' http://127.0.0.1:${port}/turns/7`,
  );
  for (const [name, value] of Object.entries(fleet.ctlEnvironment)) {
    printLine(`  export ${name}='${value}'`);
  }
  printLine("  node dist/src/ctl/main.js status");
  printLine("  node dist/src/ctl/main.js team list");
  printLine("  node dist/src/ctl/main.js preset switch peak --wait");
}

async function runDemo(): Promise<void> {
  const fleet = await startFleet();
  try {
    printLine(
      `fleet: ${fleet.daemons.length} daemons, ${fleet.serverPorts.length} backend servers`,
    );
    const key = await createConfiguration(fleet);
    await sendAll(fleet, key);
    await checkRefusals(fleet, key);
    if (process.argv.includes("--keep")) {
      printKeepHelp(fleet, key);
      await new Promise((resolve) => process.once("SIGINT", resolve));
      return;
    }
    await checkWithdrawal(fleet, key);
  } finally {
    await fleet.group.stop(STOP_GRACE_MS);
  }
}

await runDemo();
printLine(failures.length === 0 ? "all checks passed" : "some checks failed");
process.exit(failures.length === 0 ? 0 : 1);
