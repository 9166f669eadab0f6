/**
 * Starts daemons as `deploy/system.toml` says: with its `run` command and its
 * environment, whose placeholders are filled in from a machine's settings.
 */
import { spawn } from "node:child_process";
import { readFileSync } from "node:fs";
import net from "node:net";
import { fileURLToPath } from "node:url";

const ROOT = fileURLToPath(new URL("../", import.meta.url));

/** Exit code of a case that couldn't run. */
const EXIT_NOT_RUN = 2;
const children = new Set();

// Whatever ends a case, no process that it started stays.
process.on("exit", () => {
  for (const child of children) child.kill("SIGKILL");
});
for (const event of ["uncaughtException", "unhandledRejection"]) {
  process.on(event, (cause) => {
    console.error(cause);
    process.exit(EXIT_NOT_RUN);
  });
}
for (const signal of ["SIGTERM", "SIGINT"]) {
  process.on(signal, () => process.exit(EXIT_NOT_RUN));
}

/** Bounds of the users' pages. */
const BOUNDS = {
  Revoke: "5000ms",
  Grace: "6s",
  BudgetRatio: "0.2",
  BudgetSlack: "58",
  BudgetWindow: "10s",
};

/** Reads the command and the environment of the one role. */
function readDeployFile() {
  const lines = readFileSync(`${ROOT}deploy/system.toml`, "utf8").split("\n");
  const environment = {};
  let run = "";
  for (const line of lines) {
    const match = /^(\w+) = "(.*)"$/.exec(line);
    if (match === null) continue;
    const [, name, value] = match;
    if (name === "run") run = value;
    if (name.startsWith("RHUBARBWALL_")) environment[name] = value;
  }
  return { words: run.split(" "), environment };
}

function fill(text, settings) {
  return text.replace(/\{\{([\w.]+)\}\}/g, (_all, path) => {
    let value = settings;
    for (const name of path.split(".")) value = value?.[name];
    return Array.isArray(value) ? value.join(",") : String(value ?? "");
  });
}

/** Returns `count` ports that are free on `host`. */
export async function findFreePorts(host, count) {
  const servers = await Promise.all(
    Array.from({ length: count }, () =>
      new Promise((resolve, reject) => {
        const server = net.createServer();
        server.once("error", reject);
        server.listen(0, host, () => resolve(server));
      })),
  );
  const ports = servers.map((server) => server.address().port);
  await Promise.all(
    servers.map((server) => new Promise((resolve) => server.close(resolve))),
  );
  return ports;
}

/**
 * Starts one daemon for each zone in `zones`, each on its own loopback address.
 * `onLine` receives each line that a daemon logs.
 */
export async function startFleet({ zones, storeAddress, onLine }) {
  const { words, environment } = readDeployFile();
  // A random network, so that two runs at the same time don't meet.
  const network = `127.${100 + random(100)}.${1 + random(250)}`;
  const machines = [];
  for (const [index, zone] of zones.entries()) {
    const ip = `${network}.${index + 1}`;
    const [front, ready, control, directory] = await findFreePorts(ip, 4);
    machines.push({
      NodeName: `frontend-${zone}-${index + 1}`,
      Ip: ip,
      Zone: zone,
      Region: "costa-norte",
      ListenAddresses: {
        Frontend: `${ip}:${front}`,
        Ready: `${ip}:${ready}`,
        Control: `${ip}:${control}`,
        Directory: `${ip}:${directory}`,
      },
      Platform: { Address: storeAddress },
      Bounds: BOUNDS,
      Limits: { CpuShare: "0.54", LinkMbps: "1000.0" },
    });
  }
  const seeds = machines.slice(0, 3)
    .map(({ ListenAddresses }) => ListenAddresses.Control);
  const daemons = machines.map((machine) => {
    const settings = { ...machine, Seeds: seeds };
    const env = { PATH: process.env.PATH, HOME: process.env.HOME };
    for (const [name, value] of Object.entries(environment)) {
      env[name] = fill(value, settings);
    }
    const child = spawn(words[0], words.slice(1), {
      cwd: ROOT,
      env,
      stdio: ["ignore", "pipe", "ignore"],
    });
    children.add(child);
    child.once("exit", () => children.delete(child));
    let rest = "";
    child.stdout.on("data", (chunk) => {
      const lines = (rest + chunk).split("\n");
      rest = lines.pop();
      for (const line of lines) onLine(machine.NodeName, line);
    });
    return { machine, child };
  });
  return {
    daemons,
    stop: () =>
      Promise.all(daemons.map(({ child }) =>
        new Promise((resolve) => {
          if (child.exitCode !== null || child.signalCode !== null) {
            return resolve();
          }
          child.once("exit", resolve);
          child.kill("SIGKILL");
        })
      )),
  };
}

function random(limit) {
  return Math.floor(Math.random() * limit);
}
