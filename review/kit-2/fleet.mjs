/**
 * Stand-ins and helpers of the cases 6 to 10: the platform's store, backend
 * servers, callers, and daemons that run with the command and the environment
 * of the deploy file.
 */
import { spawn } from "node:child_process";
import { appendFileSync, readFileSync, writeFileSync } from "node:fs";
import http from "node:http";
import net from "node:net";
import path from "node:path";
import process from "node:process";
import { fileURLToPath } from "node:url";

export const ROOT = fileURLToPath(new URL("../../", import.meta.url));
export const HOST = "rota.example";
export const HAS_TROUBLE = process.env.TROUBLE !== "0";

export function sleep(ms) {
  return new Promise((resolve) => setTimeout(resolve, ms));
}

/** Waits until `check` returns true; throws after `timeoutMs`. */
export async function waitUntil(check, timeoutMs, what) {
  const end = performance.now() + timeoutMs;
  while (performance.now() < end) {
    if (await check()) return;
    await sleep(50);
  }
  throw new Error(`not within ${timeoutMs} ms: ${what}`);
}

/** Writes `record.txt` of a case: one line for each event. */
export class Recorder {
  #file;
  #startedAt = performance.now();

  constructor(folder) {
    this.#file = path.join(folder, "record.txt");
    writeFileSync(this.#file, "");
  }

  add(text) {
    const seconds = ((performance.now() - this.#startedAt) / 1000).toFixed(3);
    appendFileSync(this.#file, `${seconds.padStart(8)} ${text}\n`);
  }
}

/** Finds free ports on the loopback address. */
export async function findPorts(count) {
  const servers = [];
  for (let index = 0; index < count; index += 1) {
    const server = net.createServer();
    await new Promise((resolve) => server.listen(0, "127.0.0.1", resolve));
    servers.push(server);
  }
  const ports = servers.map((server) => server.address().port);
  await Promise.all(
    servers.map((server) => new Promise((resolve) => server.close(resolve))),
  );
  return ports;
}

/** The platform's store: keyed topics with one partition each. */
export class Store {
  #topics = new Map();
  #server;
  port = 0;
  /** Number of restores from a copy; sent in all answers from the first on. */
  era = 0;
  /** Whether the store is away: it rejects all calls, and nothing is done. */
  isAway = false;

  async open() {
    this.#server = http.createServer((request, response) => {
      this.#serve(request, response).catch(() => response.destroy());
    });
    this.#server.keepAliveTimeout = 60_000;
    await new Promise((resolve) =>
      this.#server.listen(0, "127.0.0.1", resolve)
    );
    this.port = this.#server.address().port;
  }

  close() {
    this.#server?.close();
    this.#server?.closeAllConnections();
  }

  /** Appends a record; without a value, its key is dropped. */
  put(topicName, key, value) {
    const bytes = value === undefined
      ? Buffer.alloc(0)
      : Buffer.from(JSON.stringify(value));
    this.#append(this.#getTopic(topicName), Buffer.from(key), bytes);
  }

  /** Comes back from a copy that is `ageMs` old, in a new era. */
  restore(ageMs) {
    this.era += 1;
    const copiedAt = performance.now() - ageMs;
    for (const topic of this.#topics.values()) {
      const count = topic.times.filter((time) => time <= copiedAt).length;
      topic.records.length = count;
      topic.times.length = count;
      topic.newest.clear();
      for (const [offset, record] of topic.records.entries()) {
        const end = 1 + record[0];
        const key = record.subarray(1, end).toString();
        const value = record.subarray(end);
        if (value.length === 0) topic.newest.delete(key);
        else topic.newest.set(key, { value, offset });
      }
      for (const wake of topic.waiting) wake();
      topic.waiting.clear();
    }
  }

  /** Lists the keys of a topic that have a value. */
  listKeys(topicName) {
    return [...this.#getTopic(topicName).newest.keys()];
  }

  #getTopic(name) {
    let topic = this.#topics.get(name);
    if (topic === undefined) {
      topic = {
        records: [],
        times: [],
        newest: new Map(),
        waiting: new Set(),
      };
      this.#topics.set(name, topic);
    }
    return topic;
  }

  #append(topic, key, value) {
    const record = Buffer.concat([Buffer.from([key.length]), key, value]);
    const offset = topic.records.length;
    topic.records.push(record);
    topic.times.push(performance.now());
    if (value.length === 0) topic.newest.delete(key.toString());
    else topic.newest.set(key.toString(), { value, offset });
    for (const wake of topic.waiting) wake();
    topic.waiting.clear();
    return offset;
  }

  async #serve(request, response) {
    const url = new URL(request.url, "http://store");
    const chunks = [];
    for await (const chunk of request) chunks.push(chunk);
    const body = Buffer.concat(chunks);
    if (this.era > 0) response.setHeader("Store-Era", String(this.era));
    if (this.isAway) return sendJson(response, 503, {});
    const topic = this.#getTopic(url.searchParams.get("Topic") ?? "");
    switch (`${request.method} ${url.pathname}`) {
      case "POST /log-append": {
        let first = topic.records.length;
        for (let at = 0; at < body.length;) {
          const length = body.readUInt32BE(at);
          const record = body.subarray(at + 4, at + 4 + length);
          const end = 1 + record[0];
          this.#append(topic, record.subarray(1, end), record.subarray(end));
          at += 4 + length;
        }
        return sendJson(response, 200, {
          Offset: first,
          End: topic.records.length,
        });
      }
      case "GET /log-read": {
        const from = Number(url.searchParams.get("From"));
        const waitMs = Number(url.searchParams.get("WaitMs") ?? 0);
        if (from > topic.records.length) {
          return sendJson(response, 410, { First: 0 });
        }
        if (from === topic.records.length && waitMs > 0) {
          const { era } = this;
          await Promise.race([
            new Promise((resolve) => topic.waiting.add(resolve)),
            sleep(waitMs),
          ]);
          if (this.isAway) return sendJson(response, 503, {});
          if (this.era !== era) {
            response.setHeader("Store-Era", String(this.era));
            return sendJson(response, 410, { First: 0 });
          }
        }
        const head = Buffer.alloc(16);
        head.writeBigUInt64BE(BigInt(topic.records.length), 0);
        const parts = [head];
        for (const record of topic.records.slice(from)) {
          const length = Buffer.alloc(4);
          length.writeUInt32BE(record.length);
          parts.push(length, record);
        }
        return void response.writeHead(200).end(Buffer.concat(parts));
      }
      case "GET /log-newest": {
        const items = [...topic.newest].map(([key, { value, offset }]) => ({
          Key: key,
          Value: value.toString("base64"),
          Offset: offset,
        }));
        return sendJson(response, 200, {
          items,
          HasMore: false,
          End: topic.records.length,
        });
      }
      default:
        return sendJson(response, 404, {});
    }
  }
}

function sendJson(response, status, value) {
  response.writeHead(status, { "content-type": "application/json" });
  response.end(JSON.stringify(value));
}

/**
 * A sound backend server: runs each request that is addressed to it and answers
 * it with its attempt id and a signature.
 */
export class Worker {
  runs = [];
  #options;
  #server;
  #sequence = 0;
  #timer;
  port = 0;

  /**
   * `options.respond(request, body, response, head)` answers a request that has
   * run; the default answers 200 with a short body.
   */
  constructor(options) {
    this.#options = { service: "rota", slots: 8, ...options };
  }

  get id() {
    return this.#options.id;
  }

  async open(store) {
    this.#server = http.createServer((request, response) => {
      this.#serve(request, response).catch(() => response.destroy());
    });
    this.#server.keepAliveTimeout = 60_000;
    await new Promise((resolve) =>
      this.#server.listen(0, "127.0.0.1", resolve)
    );
    this.port = this.#server.address().port;
    this.#announce(store);
    this.#timer = setInterval(() => this.#announce(store), 1_500);
  }

  close() {
    clearInterval(this.#timer);
    this.#server?.close();
    this.#server?.closeAllConnections();
  }

  #announce(store) {
    this.#sequence += 1;
    store.put("keyed.servers", this.id, {
      Service: this.#options.service,
      Address: `127.0.0.1:${this.port}`,
      Zone: "zone-1",
      Version: "v1",
      Slots: this.#options.slots,
      State: "ready",
      ColdRemaining: "0ms",
      Sequence: this.#sequence,
      born: 1_700_000_000_000,
    });
  }

  async #serve(request, response) {
    const chunks = [];
    for await (const chunk of request) chunks.push(chunk);
    const body = Buffer.concat(chunks);
    const attempt = request.headers["rhubarbwall-attempt-id"];
    const expected = request.headers["rhubarbwall-expected-instance"];
    if (expected !== undefined && expected !== this.id) {
      response.writeHead(421, {
        "rhubarbwall-attempt-id": attempt ?? "",
        "rhubarbwall-not-executed": "1",
        "content-length": "0",
      });
      return void response.end();
    }
    if (request.url === "/health") {
      response.writeHead(200, {
        "rhubarbwall-instance-id": this.id,
        "content-length": "0",
      });
      return void response.end();
    }
    const run = {
      attempt,
      method: request.method,
      url: request.url,
      bytes: body.length,
      tenant: request.headers["rhubarbwall-tenant"],
      at: performance.now(),
    };
    this.runs.push(run);
    this.#options.recorder?.add(
      `run     ${run.method} ${run.url} attempt ${attempt} tenant ` +
        `${run.tenant ?? "none"} at ${this.id}`,
    );
    const head = {
      "rhubarbwall-attempt-id": attempt ?? "",
      "rhubarbwall-response-signature": `s.${this.id}.${attempt}`,
    };
    if (this.#options.respond !== undefined) {
      return await this.#options.respond(request, body, response, head);
    }
    const text = Buffer.from(`${this.id} ${request.url}\n`);
    response.writeHead(200, { ...head, "content-length": text.length });
    response.end(text);
  }
}

const BOUNDS = {
  Revoke: "5000ms",
  Grace: "6s",
  BudgetRatio: "0.2",
  BudgetSlack: "56",
  BudgetWindow: "10s",
};

/** A daemon that runs as the deploy file says. */
export class Daemon {
  child;
  exit;
  #settings;
  #recorder;

  constructor(settings, recorder) {
    this.#settings = settings;
    this.#recorder = recorder;
  }

  get name() {
    return this.#settings.NodeName;
  }

  get callerPort() {
    return Number(this.#settings.ListenAddresses.Frontend.split(":")[1]);
  }

  get readyPort() {
    return Number(this.#settings.ListenAddresses.Ready.split(":")[1]);
  }

  get metricsPort() {
    return this.#settings.MetricsPort;
  }

  start() {
    const deploy = readFileSync(path.join(ROOT, "deploy/system.toml"), "utf8");
    const words = /^run = "([^"]*)"$/m.exec(deploy)[1].split(" ");
    const section = deploy.split("[roles.rhubarbwalld.env]")[1];
    const env = { PATH: process.env.PATH, HOME: process.env.HOME };
    for (const [, name, text] of section.matchAll(/^(\w+) = "([^"]*)"$/gm)) {
      env[name] = text.replace(/\{\{([\w.]+)\}\}/g, (_all, key) => {
        const value = key.split(".").reduce(
          (table, part) => table?.[part],
          this.#settings,
        );
        return Array.isArray(value) ? value.join(",") : value ?? "";
      });
    }
    // The port is fixed in the deploy file, and all daemons share an address.
    env.RHUBARBWALL_METRICS_LISTEN = `127.0.0.1:${this.metricsPort}`;
    const child = spawn(process.execPath, words.slice(1), {
      cwd: ROOT,
      env,
      stdio: ["ignore", "pipe", "pipe"],
    });
    this.child = child;
    this.log = "";
    const keep = (chunk) => this.log = (this.log + chunk).slice(-2_000_000);
    child.stdout.on("data", keep);
    child.stderr.on("data", keep);
    this.exit = new Promise((resolve) => {
      child.once("exit", (code, signal) => {
        this.#recorder.add(`exit    ${this.name} code ${code} ${signal ?? ""}`);
        resolve({ code, signal });
      });
    });
    this.#recorder.add(`start   ${this.name} pid ${child.pid}`);
  }

  signal(name) {
    this.#recorder.add(`signal  ${name} to ${this.name}`);
    this.child.kill(name);
  }

  async stop() {
    if (this.child === undefined) return;
    if (this.child.exitCode !== null || this.child.signalCode !== null) return;
    this.child.kill("SIGCONT");
    this.child.kill("SIGKILL");
    await this.exit;
  }
}

/** Creates the daemons of a small deployment, `zones` lists their zones. */
export async function createDaemons(store, zones, recorder) {
  const ports = await findPorts(6 * zones.length);
  const controls = zones.map((_zone, index) =>
    `127.0.0.1:${ports[6 * index + 2]}`
  );
  return zones.map((zone, index) => {
    const [frontend, ready, , directory, metrics] = ports.slice(6 * index);
    return new Daemon({
      NodeName: `frontend-${zone}-${index + 1}`,
      Region: "region-1",
      Zone: zone,
      Ip: "127.0.0.1",
      ListenAddresses: {
        Frontend: `127.0.0.1:${frontend}`,
        Ready: `127.0.0.1:${ready}`,
        Control: controls[index],
        Directory: `127.0.0.1:${directory}`,
      },
      MetricsPort: metrics,
      Seeds: controls.slice(0, 3),
      Limits: { CpuShare: "0.54", LinkMbps: "1000.0", MemoryMb: "350" },
      Contracts: [
        "base",
        "drain",
        "config",
        "cost",
        "retry",
        "recover",
        "health",
        "tenants",
        "quota",
        "platform",
      ],
      Platform: { Address: `127.0.0.1:${store.port}` },
      Bounds: BOUNDS,
    }, recorder);
  });
}

/** Creates a configuration like those that the operator writes. */
export function createConfiguration(version, { tenants, routes, services }) {
  const route = {
    Host: HOST,
    Timeout: "10000ms",
    TargetLatency: "800ms",
    Priority: 1,
    Service: "rota",
    Attempts: 2,
    Public: false,
  };
  return {
    Version: version.toString(16).padStart(8, "0"),
    Routes: (routes ?? [
      { Name: "look", PathPrefix: "/look/", Kind: "safe" },
      { Name: "swap", PathPrefix: "/swap/", Kind: "unsafe" },
    ]).map((own) => ({ ...route, ...own })),
    Services: (services ?? ["rota"]).map((name) => ({
      Name: name,
      HealthCheckPath: "/health",
      MaxConnections: 330,
    })),
    Limits: {
      MaxHeaderBytes: 16_384,
      MaxBodyBytes: 16_777_216,
      HeaderTimeout: "3000ms",
      IdleTimeout: "15000ms",
    },
    ...(tenants !== undefined && {
      Tenants: tenants.map((tenant) => ({
        Priority: 1,
        RatePerS: 0,
        Burst: 0,
        ...tenant,
      })),
    }),
  };
}

let attempts = 0;

export function createAttemptId() {
  attempts += 1;
  return `a${process.pid.toString(16)}x${attempts.toString(16)}`;
}

/** Error of a request whose client left at its deadline. */
export const CLIENT_LEFT = "deadline";

/**
 * Sends a request as a client; resolves to the status, or to the error code if
 * the connection ended without a complete answer.
 */
export function send(daemon, options) {
  const { path: target, method = "GET", key, body, deadlineMs = 5_000 } =
    options;
  const attempt = options.attempt ?? createAttemptId();
  return new Promise((resolve) => {
    const request = http.request({
      host: "127.0.0.1",
      port: daemon.callerPort,
      path: target,
      method,
      agent: options.agent ?? false,
      headers: {
        host: HOST,
        "rhubarbwall-attempt-id": attempt,
        "rhubarbwall-deadline-remaining": String(deadlineMs),
        ...(key && { authorization: `Bearer ${key}` }),
        ...(body && { "content-length": body.length }),
      },
    }, (response) => {
      const chunks = [];
      response.on("data", (chunk) => chunks.push(chunk));
      response.on("error", (error) => resolve({ attempt, error: error.code }));
      response.on("end", () => {
        if (!response.complete) return resolve({ attempt, error: "cut" });
        resolve({
          attempt,
          status: response.statusCode,
          headers: response.headers,
          body: Buffer.concat(chunks),
        });
      });
    });
    request.on("error", (error) => {
      // Whether the connection had carried an earlier request.
      const isKept = request.reusedSocket;
      resolve({ attempt, error: error.code, isKept });
    });
    request.setTimeout(deadlineMs, () => {
      request.destroy();
      resolve({ attempt, error: CLIENT_LEFT });
    });
    request.end(body);
  });
}

/**
 * Runs a case: `run` returns true if the rule held. Exits with 0 if it held, 1
 * if it was broken, 2 if the case could not run.
 */
export async function runCase(folder, run) {
  const recorder = new Recorder(folder);
  const open = [];
  const limit = setTimeout(() => finish(2, "time limit reached"), 110_000);
  let isFinished = false;
  async function finish(code, text) {
    if (isFinished) return;
    isFinished = true;
    clearTimeout(limit);
    recorder.add(`result  ${text}; exit ${code}`);
    for (const item of open.reverse()) {
      await (item instanceof Daemon ? item.stop() : item.close());
    }
    process.stdout.write(`${text}\n`);
    process.exit(code);
  }
  process.once("SIGTERM", () => finish(2, "stopped"));
  process.once("SIGINT", () => finish(2, "stopped"));
  try {
    const { held, text } = await run(recorder, (item) => {
      open.push(item);
      return item;
    });
    await finish(held ? 0 : 1, text);
  } catch (error) {
    await finish(2, `could not run: ${error.stack ?? error}`);
  }
}
