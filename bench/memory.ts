/** Memory of a daemon whose callers do not read, or upload slowly. */
import { readFileSync } from "node:fs";
import http from "node:http";
import net from "node:net";
import { Idempotency, RouteAccess } from "../src/model/mod.ts";
import {
  findFreePorts,
  ProcessGroup,
  waitUntil,
} from "../scripts/processes.ts";
import { startLogStandin } from "../standins/log_standin.ts";
import { startVmListStandin } from "../standins/vm_list_standin.ts";
import {
  appendChange,
  createRoute,
  listBasicChanges,
  startScriptedServer,
} from "../tests/harness.ts";
import { printLine, printTable } from "./report.ts";

const CALLERS = 500;
/** Entries of servers; a VM opens at most eight connections to each. */
const SERVERS = 150;
const RESPONSE_BYTES = 1_000_000;
/** One buffer for all responses, which keeps the bench itself small. */
const LONG_RESPONSE = Buffer.alloc(RESPONSE_BYTES);
/** Bytes of an upload that are sent at once; the rest is sent slowly. */
const UPLOAD_BYTES = 40_000;
const TRICKLE_BYTES = 1_000;
const TRICKLE_MS = 200;
const RUN_MS = 10_000;
const SAMPLE_MS = 100;
const DEADLINE_MS = 20_000;
const START_LIMIT_MS = 20_000;
const KB_PER_MB = 1_024;
/** Flags of Node in deploy/system.toml that limit memory. */
const NODE_OPTIONS = "--max-old-space-size=200 --max-semi-space-size=4";

/** Prints the memory of a daemon with and without a memory setting. */
export async function runMemoryBench(): Promise<void> {
  printLine(`${CALLERS} callers that read nothing, ${CALLERS} slow uploads`);
  const rows = [["memory setting", "RSS MB idle", "highest", "refused"]];
  for (const memoryMb of ["", "250"]) rows.push(await measure(memoryMb));
  printTable(rows);
}

async function measure(memoryMb: string): Promise<string[]> {
  const server = await startScriptedServer(serveLong);
  const [log, list] = [await startLogStandin(), await startVmListStandin()];
  const servers = Array.from({ length: SERVERS }, () => server.port);
  const route = {
    access: RouteAccess.Open,
    idempotency: Idempotency.Idempotent,
    deadlineMs: DEADLINE_MS,
  };
  for (const change of listBasicChanges({ servers, route })) {
    appendChange(log.log, change);
  }
  appendChange(log.log, createRoute("uploads", route));
  const group = new ProcessGroup();
  const [port = 0, peerPort = 0, operatorPort = 0] = await findFreePorts(3);
  const daemon = group.start("src/daemon/main.js", [
    "--vm=vm-1",
    "--failure-domain=domain-1",
    `--caller-listen=127.0.0.1:${port}`,
    `--peer-listen=127.0.0.1:${peerPort}`,
    `--operator-listen=127.0.0.1:${operatorPort}`,
    `--log-url=http://127.0.0.1:${log.port}`,
    `--vm-list-url=http://127.0.0.1:${list.port}/vms`,
    `--memory-mb=${memoryMb}`,
  ], { NODE_OPTIONS });
  try {
    await waitUntil(async () => {
      const response = await fetch(`http://127.0.0.1:${port}/turns/short`);
      await response.arrayBuffer();
      return response.ok;
    }, START_LIMIT_MS);
    const idleMb = readMemoryMb(daemon.pid);
    const callers = startCallers(port);
    let highestMb = idleMb;
    const end = performance.now() + RUN_MS;
    while (performance.now() < end) {
      await sleep(SAMPLE_MS);
      highestMb = Math.max(highestMb, readMemoryMb(daemon.pid));
    }
    const refused = await countRefused(callers);
    return [
      memoryMb || "none",
      idleMb.toFixed(0),
      highestMb.toFixed(0),
      String(refused),
    ];
  } finally {
    await group.stop(1_000);
    await Promise.all([server.close(), log.close(), list.close()]);
  }
}

function serveLong(
  request: http.IncomingMessage,
  response: http.ServerResponse,
): void {
  const isShort = request.url?.endsWith("short");
  request.resume();
  request.once("end", () => response.end(isShort ? "short" : LONG_RESPONSE));
}

/** Opens all connections; none of them reads its response. */
function startCallers(port: number): net.Socket[] {
  return Array.from({ length: 2 * CALLERS }, (_caller, index) => {
    const socket = net.connect(port, "127.0.0.1");
    socket.pause();
    socket.on("error", () => {});
    if (index < CALLERS) {
      socket.write("GET /turns/long HTTP/1.1\r\nhost: t\r\n\r\n");
      return socket;
    }
    socket.write(
      "POST /uploads/short HTTP/1.1\r\nhost: t\r\n" +
        `content-length: ${RESPONSE_BYTES}\r\n\r\n`,
    );
    socket.write(Buffer.alloc(UPLOAD_BYTES));
    const timer = setInterval(
      () => socket.write(Buffer.alloc(TRICKLE_BYTES)),
      TRICKLE_MS,
    );
    socket.once("close", () => clearInterval(timer));
    return socket;
  });
}

/** Closes the connections; returns how many of them got a refusal. */
async function countRefused(callers: readonly net.Socket[]): Promise<number> {
  let count = 0;
  for (const socket of callers) {
    socket.once("data", (chunk: Buffer) => {
      if (chunk.toString("latin1", 9, 12) === "503") count += 1;
    });
    socket.resume();
  }
  await sleep(SAMPLE_MS);
  for (const socket of callers) socket.destroy();
  return count;
}

function readMemoryMb(pid: number | undefined): number {
  const status = readFileSync(`/proc/${pid}/status`, "utf8");
  const [, kilobytes] = status.match(/VmRSS:\s+(\d+)/) ?? [];
  return Number(kilobytes) / KB_PER_MB;
}

function sleep(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}
