/** Starts daemons with the commands of the deploy file, on loopback. */
import { spawn } from "node:child_process";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import http from "node:http";
import net from "node:net";
import { tmpdir } from "node:os";
import path from "node:path";
import { fileURLToPath } from "node:url";

export const HOST = "127.0.0.1";
export const ROUTE_HOST = "review.example";
const ROOT = fileURLToPath(new URL("../..", import.meta.url));
/** The command of the role in deploy/system.toml. */
const COMMAND = [
  "--max-old-space-size=200",
  "--max-semi-space-size=4",
  "--always-sparkplug",
  "--interrupt-budget=2000000",
  "target/rhubarbwalld.cjs",
];

export const sleep = (ms) => new Promise((resolve) => setTimeout(resolve, ms));

export function openPort() {
  return new Promise((resolve) => {
    const server = net.createServer();
    server.listen(0, HOST, () => resolve(server));
  });
}

export async function findPorts(count) {
  const servers = [];
  while (servers.length < count) servers.push(await openPort());
  const ports = servers.map((server) => server.address().port);
  for (const server of servers) server.close();
  return ports;
}

/** A machine and its daemon. */
export class Vm {
  output = [];
  exits = [];

  constructor(options) {
    Object.assign(this, options);
  }

  get callerPort() {
    return this.ports[0];
  }

  start() {
    const [caller, ready, directory, peer, metrics] = this.ports;
    this.child = spawn(process.execPath, COMMAND, {
      cwd: ROOT,
      stdio: ["ignore", "pipe", "pipe"],
      env: {
        PATH: process.env.PATH,
        HOME: process.env.HOME,
        RHUBARBWALL_SETTINGS: this.settings,
        RHUBARBWALL_BACKING: "platform",
        RHUBARBWALL_VM: this.name,
        RHUBARBWALL_REGION: "punjab",
        RHUBARBWALL_FAILURE_DOMAIN: this.zone,
        RHUBARBWALL_CALLER_LISTEN: `${HOST}:${caller}`,
        RHUBARBWALL_CALLER_ADVERTISE: `${HOST}:${caller}`,
        RHUBARBWALL_READY_LISTEN: `${HOST}:${ready}`,
        RHUBARBWALL_DIRECTORY_LISTEN: `${HOST}:${directory}`,
        RHUBARBWALL_PEER_LISTEN: `${HOST}:${peer}`,
        RHUBARBWALL_METRICS_LISTEN: `${HOST}:${metrics}`,
        RHUBARBWALL_SEEDS: this.seeds.join(),
        RHUBARBWALL_STORE_ADDRESS: `${HOST}:${this.storePort}`,
        RHUBARBWALL_ADDRESS_TTL_MS: "2000",
        RHUBARBWALL_REVOKE_MS: "5000ms",
        RHUBARBWALL_GRACE_MS: "6s",
        RHUBARBWALL_RETRY_RATIO: "0.2",
        RHUBARBWALL_RETRY_SLACK: "56",
        RHUBARBWALL_RETRY_WINDOW_MS: "10s",
        RHUBARBWALL_CORES: "0.54",
        RHUBARBWALL_LINK_MBPS: "1000.0",
        RHUBARBWALL_MEMORY_MB: "350",
        RHUBARBWALL_CONTRACTS:
          "base,drain,config,cost,retry,recover,health,tenants,quota,platform",
        RHUBARBWALL_LOG_FORMAT: "json",
        ...this.extraEnv,
      },
    });
    const keep = (chunk) => {
      this.output.push(chunk);
      if (this.output.length > 20_000) this.output.splice(0, 5_000);
    };
    this.child.stdout.on("data", keep);
    this.child.stderr.on("data", keep);
    this.child.once("exit", (code, signal) => {
      this.exits.push({ at: performance.now(), code, signal });
    });
  }

  get isRunning() {
    return this.child.exitCode === null && this.child.signalCode === null;
  }

  async kill(signal = "SIGKILL") {
    if (!this.isRunning) return;
    const exited = new Promise((resolve) => this.child.once("exit", resolve));
    this.child.kill(signal);
    await exited;
  }

  /** The log as text, for a look after a failure. */
  get log() {
    return Buffer.concat(this.output).toString("utf8");
  }
}

/** Creates machines, `zones` being the zone of each. */
export async function createVms(storePort, zones, options = {}) {
  const folder = mkdtempSync(path.join(tmpdir(), "review-"));
  process.once("exit", () => rmSync(folder, { recursive: true, force: true }));
  const ports = await findPorts(5 * zones.length);
  const vms = zones.map((zone, index) => {
    const own = ports.slice(5 * index, 5 * index + 5);
    const name = `frontend-${zone}-${index + 1}`;
    const settings = path.join(folder, `${name}.conf`);
    writeFileSync(settings, `NodeName=${name}\nZone=${zone}\n`);
    return new Vm({
      name,
      zone,
      ports: own,
      settings,
      storePort: options.storePorts?.[index] ?? storePort,
      extraEnv: options.extraEnv?.(index, own) ?? {},
    });
  });
  const seeds = vms.slice(0, 3).map((vm) => `${HOST}:${vm.ports[3]}`);
  for (const vm of vms) vm.seeds = options.seeds ?? seeds;
  const stop = () => {
    for (const vm of vms) if (vm.child && vm.isRunning) vm.child.kill(9);
  };
  process.once("exit", stop);
  return vms;
}

let counter = 0;

/** Sends a request; resolves to its answer, with status 0 if there is none. */
export function send(port, options) {
  counter += 1;
  const id = options.id ?? `a${process.pid.toString(16)}${counter}`;
  const sentAt = performance.now();
  return new Promise((resolve) => {
    const done = (status, extra = {}) =>
      resolve({ id, sentAt, endedAt: performance.now(), status, ...extra });
    const request = http.request({
      host: HOST,
      port,
      path: options.path,
      method: options.method ?? "GET",
      agent: options.agent ?? false,
      headers: {
        host: ROUTE_HOST,
        "Rhubarbwall-Attempt-Id": id,
        "Rhubarbwall-Deadline-Remaining": String(options.remainingMs ?? 2_000),
        ...(options.key && { authorization: `Bearer ${options.key}` }),
        ...(options.body &&
          { "content-length": String(options.body.length) }),
        ...options.headers,
      },
    }, (response) => {
      const chunks = [];
      response.on("data", (chunk) => chunks.push(chunk));
      response.on("error", () => done(0, { broken: true }));
      response.on("end", () => {
        if (!response.complete) return done(0, { broken: true });
        done(response.statusCode, {
          headers: response.headers,
          body: Buffer.concat(chunks).toString("utf8"),
        });
      });
    });
    request.on("error", () => done(0));
    request.setTimeout(options.remainingMs ?? 2_000, () => request.destroy());
    options.onRequest?.(request);
    request.end(options.body);
  });
}

/** Waits until all machines answer `path` with success. */
export async function waitForSuccess(vms, options, limitMs = 20_000) {
  const endAt = performance.now() + limitMs;
  for (const vm of vms) {
    while (true) {
      const { status } = await send(vm.callerPort, options);
      if (status === 200) break;
      if (performance.now() > endAt) return false;
      await sleep(100);
    }
  }
  return true;
}

/** Creates a configuration; routes default to one safe and one unsafe one. */
export function createConfig({ version, tenants, routes, services }) {
  const names = services ?? ["rota"];
  return {
    Version: version.toString(16).padStart(8, "0"),
    Routes: (routes ?? [
      { Name: "look", PathPrefix: "/look/", Kind: "safe" },
      { Name: "swap", PathPrefix: "/swap/", Kind: "unsafe" },
      { Name: "open", PathPrefix: "/open/", Kind: "safe", Public: true },
    ]).map((route) => ({
      Host: ROUTE_HOST,
      Timeout: "2000ms",
      TargetLatency: "800ms",
      Priority: 1,
      Service: names[0],
      Attempts: 2,
      Public: false,
      ...route,
    })),
    Services: names.map((Name) => ({
      Name,
      HealthCheckPath: "/health",
      MaxConnections: 330,
      Protocol: "h1",
      Tls: false,
    })),
    Limits: {
      MaxHeaderBytes: 16_384,
      MaxBodyBytes: 67_108_864,
      HeaderTimeout: "3000ms",
      IdleTimeout: "15000ms",
    },
    Tenants: tenants,
  };
}
