/** Stand-in of the platform's lagging list of live and leaving VMs. */
import { startJsonServer } from "./json_server.ts";
import type { StandinServer } from "./json_server.ts";

/** A VM as the platform lists it. */
export interface ListedVm {
  readonly name: string;
  /** `host:port` on which the VM's peers reach it. */
  readonly peerAddress: string;
  readonly leaving: boolean;
}

interface Version {
  readonly at: number;
  readonly vms: readonly ListedVm[];
}

/** Options of {@linkcode startVmListStandin}. */
export interface VmListOptions {
  /**
   * TCP port on the loopback address.
   * @default 0, which picks a free one
   */
  port?: number;
  /**
   * Age in milliseconds of what a read returns.
   * @default 0
   */
  lagMs?: number;
}

/** Starts the list; `PUT /vms` replaces it, `GET /vms` reads it late. */
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
