/** Processes and ports for the demo, tests, soak and benchmarks. */
import { spawn } from "node:child_process";
import type { ChildProcess } from "node:child_process";
import { once } from "node:events";
import net from "node:net";
import process from "node:process";
import { fileURLToPath } from "node:url";

const DIST = new URL("../", import.meta.url);

/** Exit code and output of a process that has exited. */
export interface ProcessResult {
  readonly code: number;
  readonly stdout: string;
  readonly stderr: string;
}

/** Starts processes and stops those that it has started. */
export class ProcessGroup {
  readonly #children = new Set<ChildProcess>();

  /** Starts a program of this project; the path is relative to `dist`. */
  start(
    program: string,
    args: readonly string[],
    environment: Record<string, string> = {},
  ): ChildProcess {
    const child = spawn(process.execPath, [getPath(program), ...args], {
      stdio: ["ignore", "pipe", "pipe"],
      env: { ...process.env, ...environment },
    });
    this.#children.add(child);
    child.once("exit", () => this.#children.delete(child));
    if (process.env["SHOW_LOGS"] !== undefined) {
      child.stdout?.pipe(process.stderr);
      child.stderr?.pipe(process.stderr);
    } else {
      child.stdout?.resume();
      child.stderr?.resume();
    }
    return child;
  }

  /** Runs a program of this project until it exits. */
  async run(
    program: string,
    args: readonly string[],
    environment: Record<string, string> = {},
  ): Promise<ProcessResult> {
    const child = spawn(process.execPath, [getPath(program), ...args], {
      stdio: ["ignore", "pipe", "pipe"],
      env: { ...process.env, ...environment },
    });
    this.#children.add(child);
    const output = { stdout: "", stderr: "" };
    child.stdout.on("data", (chunk) => output.stdout += chunk);
    child.stderr.on("data", (chunk) => output.stderr += chunk);
    const [code] = await once(child, "close");
    this.#children.delete(child);
    return { code: Number(code ?? -1), ...output };
  }

  /**
   * Sends SIGTERM to all processes, and SIGKILL after `graceMs` to those that
   * are still running. Resolves when all have exited.
   */
  async stop(graceMs: number): Promise<void> {
    const children = [...this.#children];
    const ends = children.map((child) =>
      child.exitCode === null && child.signalCode === null
        ? once(child, "exit")
        : Promise.resolve([])
    );
    for (const child of children) child.kill("SIGTERM");
    const timer = setTimeout(() => {
      for (const child of this.#children) child.kill("SIGKILL");
    }, graceMs);
    await Promise.all(ends);
    clearTimeout(timer);
  }
}

function getPath(program: string): string {
  return fileURLToPath(new URL(program, DIST));
}

/**
 * Lowest port. All ports are below Linux's ephemeral range (32768 and above):
 * an outgoing connection could occupy the port of a daemon while it is down.
 */
const PORT_MIN = 16_000;
/** Upper bound of the ports, exclusive. */
const PORT_MAX = 32_000;
/** Ports that a process reserves at a time; a fleet of 5 daemons needs 25. */
const PORTS_PER_RANGE = 100;

/** Maximum ranges of a process, which it then reuses; 60 daemons need 3. */
const MAX_RANGES = 8;

/** First ports of the ranges that this process has reserved. */
const rangeStarts: number[] = [];
/** Number of ports that this process has acquired from its ranges. */
let acquiredCount = 0;

/**
 * Finds loopback ports on which no process listens.
 *
 * Each process reserves ranges of ports, so that others don't find the same
 * ports while the daemons that will listen on them are still starting.
 */
export async function findFreePorts(count: number): Promise<number[]> {
  const ports: number[] = [];
  while (ports.length < count) {
    const port = await acquirePort();
    const server = await openServer(port);
    if (server === undefined) continue;
    server.close();
    ports.push(port);
  }
  return ports;
}

async function acquirePort(): Promise<number> {
  const perRange = PORTS_PER_RANGE - 1;
  const index = Math.floor(acquiredCount / perRange) % MAX_RANGES;
  const port = 1 + acquiredCount % perRange;
  acquiredCount += 1;
  if (rangeStarts[index] === undefined) rangeStarts[index] = await claimRange();
  return (rangeStarts[index] ?? PORT_MIN) + port;
}

/** Reserves a range by listening on its first port until this process exits. */
async function claimRange(): Promise<number> {
  const count = (PORT_MAX - PORT_MIN) / PORTS_PER_RANGE;
  while (true) {
    const range = Math.floor(Math.random() * count);
    const first = PORT_MIN + range * PORTS_PER_RANGE;
    const server = await openServer(first);
    if (server === undefined) continue;
    server.unref();
    return first;
  }
}

/** Listens on a port; resolves to undefined if the port is in use. */
function openServer(port: number): Promise<net.Server | undefined> {
  const server = net.createServer();
  return new Promise((resolve) => {
    server.once("error", () => resolve(undefined));
    server.listen(port, "127.0.0.1", () => resolve(server));
  });
}

/** Waits until `check` resolves to true; rejects after `timeoutMs`. */
export async function waitUntil(
  check: () => Promise<boolean>,
  timeoutMs: number,
): Promise<void> {
  const end = performance.now() + timeoutMs;
  while (performance.now() < end) {
    if (await check().catch(() => false)) return;
    await new Promise((resolve) => setTimeout(resolve, 50));
  }
  throw new Error(`condition not met within ${timeoutMs} ms`);
}
