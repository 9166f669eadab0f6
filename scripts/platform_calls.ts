/** Requests of callers and of the platform to a fleet on stand-ins. */
import http from "node:http";
import { PLATFORM_DIALECT } from "../platform/dialect.ts";
import type { PlatformVm } from "./platform_fleet.ts";

/** Host of all routes. */
export const ROUTE_HOST = "rota.example";

/** A response to a caller. */
export interface PlatformResponse {
  readonly status: number;
  readonly headers: http.IncomingHttpHeaders;
  readonly body: string;
}

/** A request of a caller. */
export interface PlatformRequest {
  readonly path: string;
  readonly method?: string;
  readonly key?: string;
  readonly host?: string;
  readonly attempt?: string;
  readonly remainingMs?: number;
  readonly body?: string;
  readonly agent?: http.Agent;
}

/** Sends a request to a VM as a caller; rejects without a complete response. */
export function sendToVm(
  vm: PlatformVm,
  request: PlatformRequest,
): Promise<PlatformResponse> {
  return fetchResponse({
    port: vm.callerPort,
    path: request.path,
    method: request.method ?? "GET",
    ...(request.agent && { agent: request.agent }),
    headers: {
      host: request.host ?? ROUTE_HOST,
      [PLATFORM_DIALECT.attemptField]: request.attempt ??
        Math.random().toString(16).slice(2),
      [PLATFORM_DIALECT.deadlineField]: String(request.remainingMs ?? 2_000),
      ...(request.key && { authorization: `Bearer ${request.key}` }),
      ...(request.body && {
        "content-length": String(Buffer.byteLength(request.body)),
      }),
    },
  }, request.body);
}

/** Fetches whether a VM is ready. */
export async function fetchReadiness(vm: PlatformVm): Promise<boolean> {
  const response = await fetchResponse({
    port: vm.readyPort,
    path: "/readiness",
  });
  return response.status === 200;
}

/** Fetches the addresses that a VM returns to callers in a failure domain. */
export async function fetchVmAddresses(
  vm: PlatformVm,
  failureDomain: string,
): Promise<string[]> {
  const path = `/resolve?Name=${ROUTE_HOST}&Region=r&Zone=${failureDomain}`;
  const response = await fetchResponse({ port: vm.directoryPort, path });
  return (JSON.parse(response.body) as { Addresses: string[] }).Addresses;
}

/** Fetches a VM's metrics as text. */
export async function fetchMetrics(vm: PlatformVm): Promise<string> {
  const response = await fetchResponse({
    port: vm.metricsPort,
    path: "/metrics",
  });
  return response.body;
}

function fetchResponse(
  options: http.RequestOptions,
  body?: string,
): Promise<PlatformResponse> {
  return new Promise((resolve, reject) => {
    const request = http.request(
      { host: "127.0.0.1", ...options },
      (response) => {
        let text = "";
        response.on("data", (chunk) => text += chunk);
        response.on("error", reject);
        response.on("end", () => {
          if (!response.complete) return reject(new Error("incomplete body"));
          const status = response.statusCode ?? 0;
          resolve({ status, headers: response.headers, body: text });
        });
      },
    );
    request.on("error", reject);
    request.end(body);
  });
}
