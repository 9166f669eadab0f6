/** Stand-in for the platform's list of live and leaving VMs, which lags. */
import { startJsonServer } from "./json_server.ts";
import type { StandinServer } from "./json_server.ts";

/** A VM in the platform's list. */
export interface ListedVm {
  readonly name: string;
  /** `host:port` at which peers connect to the VM. */
  readonly peerAddress: string;
  readonly leaving: boolean;
}

interface Version {
  /** Time at which it was set, in Unix milliseconds. */
  readonly at: number;
  readonly vms: readonly ListedVm[];
}

/** Options of {@linkcode startVmListStandin}. */
export interface VmListOptions {
  /**
   * TCP port on the loopback address.
   * @default 0, which selects a free port
   */
  port?: number;
  /**
   * Delay until reads return a new version of the list, in milliseconds.
   * @default 0
   */
  lagMs?: number;
}

/**
 * Starts the VM list; `PUT /vms` replaces it, and `GET /vms` reads it with the
 * configured lag.
 */
export function startVmListStandin(
  options: VmListOptions = {},
): Promise<StandinServer> {
  const lagMs = options.lagMs ?? 0;
  let versions: Version[] = [{ at: -Infinity, vms: [] }];
  return startJsonServer(options.port ?? 0, (request) => {
    const now = Date.now();
    if (request.method === "PUT") {
      versions.push({ at: now, vms: request.body as ListedVm[] });
      return Promise.resolve({ status: 200, value: {} });
    }
    const visible = versions.findLast((version) => version.at <= now - lagMs);
    versions = versions.filter((version) =>
      version === visible || version.at > now - lagMs
    );
    return Promise.resolve({ status: 200, value: visible?.vms ?? [] });
  });
}
