/** A fleet on stand-ins of the users' platform, for tests and benchmarks. */
import type { ChildProcess } from "node:child_process";
import { PLATFORM_DIALECT } from "../platform/dialect.ts";
import { startServerStandin } from "../standins/server_standin.ts";
import type { ServerStandin } from "../standins/server_standin.ts";
import { startStoreStandin } from "../standins/store_standin.ts";
import type { StoreStandin } from "../standins/store_standin.ts";
import { ROUTE_HOST } from "./platform_calls.ts";
import { findFreePorts, ProcessGroup } from "./processes.ts";

/** Service of all servers. */
const SERVICE = "rota";
/** Interval at which servers renew their entries, in milliseconds. */
const HEARTBEAT_INTERVAL_MS = 500;
const REVOKE_MS = 5_000;
const GRACE_MS = 6_000;

/** A VM: its daemon process and ports. */
export interface PlatformVm {
  readonly name: string;
  readonly failureDomain: string;
  readonly callerPort: number;
  readonly peerPort: number;
  readonly readyPort: number;
  readonly directoryPort: number;
  readonly metricsPort: number;
  process: ChildProcess;
  /** Whether the process has written output. */
  hasStarted: boolean;
}

/** Configuration of a team; without a rate it has no limits. */
export interface TeamConfig {
  readonly name: string;
  readonly keys: readonly string[];
  readonly ratePerS?: number;
  readonly burst?: number;
}

/** Requests to a server that is cold after its return. */
export interface WarmUpConfig {
  /** Requests per second that the configuration allows. */
  readonly perSecond: number;
  /** Requests in any second above which a cold server crashes. */
  readonly maxPerSecond: number;
  readonly coldMs: number;
}

/** Options of {@linkcode startPlatformFleet}. */
export interface PlatformFleetOptions {
  /** Number of VMs in each failure domain, in order. */
  readonly vms: readonly number[];
  /** Number of backend servers. */
  readonly servers: number;
  /**
   * Time that a server takes for each request, in milliseconds.
   * @default 2
   */
  readonly workMs?: number;
  /**
   * Limit of the requests to a cold server, which crashes at more.
   * @default no limit
   */
  readonly warmUp?: WarmUpConfig;
  /**
   * Resolves the port to connect to instead of `port`, such as a proxy's.
   * @default `port` itself
   */
  readonly resolvePort?: (hop: Hop, port: number) => Promise<number>;
}

/** Kinds of connections of a daemon. */
export enum HopKind {
  /** From one VM to the store. */
  Store = "store",
  /** From other VMs to one VM. */
  Peer = "peer",
  /** From all VMs to one backend server. */
  Server = "server",
}

/** Connections to one port, which a test may route through a proxy. */
export interface Hop {
  readonly kind: HopKind;
  /** Name of the VM or server. */
  readonly name: string;
}

/** A running fleet. */
export interface PlatformFleet {
  readonly group: ProcessGroup;
  readonly store: StoreStandin;
  readonly servers: readonly ServerStandin[];
  readonly vms: readonly PlatformVm[];
  /** Publishes a configuration with these teams under a newer version. */
  publish(teams: readonly TeamConfig[]): void;
  /** Writes a server's entry with the given state and keeps renewing it. */
  announceServer(index: number, state: "ready" | "draining"): void;
  /** Lets a server return, cold if there is a limit for that. */
  restoreServer(index: number): void;
  /** Removes a server's entry and stops renewing it. */
  removeServer(index: number): void;
  /**
   * Replaces the store's content by a copy that is `ageMs` old. The operator and
   * the servers write again what it lacks after `rewriteMs`.
   */
  restoreStore(ageMs: number, rewriteMs: number): Promise<void>;
  /** Starts a VM's daemon again, on the same ports. */
  startVm(vm: PlatformVm): void;
  /** Stops everything. */
  stop(): Promise<void>;
}

/** Starts the store, backend servers with their entries, and daemons. */
export async function startPlatformFleet(
  options: PlatformFleetOptions,
): Promise<PlatformFleet> {
  const group = new ProcessGroup();
  const store = await startStoreStandin();
  const servers = await Promise.all(
    Array.from(
      { length: options.servers },
      (_server, index) =>
        startServerStandin({
          name: `i-${index}`,
          workMs: options.workMs ?? 2,
          maxColdPerSecond: options.warmUp?.maxPerSecond ?? Infinity,
          dialect: PLATFORM_DIALECT,
          formatLoad: ({ running, waiting }, slots) =>
            `${running},${waiting},${slots}`,
        }),
    ),
  );
  const resolvePort = options.resolvePort ??
    ((_hop: Hop, port: number) => Promise.resolve(port));
  const serverPorts = await Promise.all(
    servers.map((server, index) =>
      resolvePort({ kind: HopKind.Server, name: `i-${index}` }, server.port)
    ),
  );
  const registry = createRegistry(store, serverPorts);
  const vms = await createVms(options.vms);
  const hopPorts = new Map<PlatformVm, HopPorts>();
  for (const vm of vms) {
    const { name } = vm;
    hopPorts.set(vm, {
      store: await resolvePort({ kind: HopKind.Store, name }, store.port),
      peer: await resolvePort({ kind: HopKind.Peer, name }, vm.peerPort),
    });
  }
  const seeds = vms.slice(0, 3)
    .map((vm) => `127.0.0.1:${hopPorts.get(vm)?.peer}`);
  const startVm = (vm: PlatformVm): void => {
    const daemon = group.start("src/daemon/main.js", [], {
      ...createEnvironment(vm, hopPorts.get(vm), seeds),
    });
    vm.process = daemon;
    vm.hasStarted = false;
    daemon.stdout?.once("data", () => {
      if (vm.process === daemon) vm.hasStarted = true;
    });
  };
  for (const vm of vms) startVm(vm);
  let version = 0;
  let newestTeams: readonly TeamConfig[] | undefined;
  const writeConfiguration = (): void => {
    if (newestTeams === undefined) return;
    const configuration = createConfiguration(
      version,
      newestTeams,
      options.warmUp,
    );
    store.put("keyed.op", "config", configuration);
  };
  return {
    group,
    store,
    servers,
    vms,
    publish: (teams) => {
      version += 3;
      newestTeams = teams;
      writeConfiguration();
    },
    restoreStore: async (ageMs, rewriteMs) => {
      store.restoreCopy(ageMs);
      await new Promise((resolve) => setTimeout(resolve, rewriteMs));
      writeConfiguration();
      registry.writeRemovals();
    },
    announceServer: registry.announce,
    restoreServer: (index) => {
      const coldMs = options.warmUp?.coldMs ?? 0;
      servers[index]?.startCold(coldMs);
      registry.announce(index, "ready", coldMs);
    },
    removeServer: registry.remove,
    startVm,
    stop: async () => {
      registry.stop();
      await group.stop(GRACE_MS);
      await Promise.all(servers.map((server) => server.close()));
      await store.close();
    },
  };
}

/** Ports by which a VM connects to the store, and peers connect to the VM. */
interface HopPorts {
  readonly store: number;
  readonly peer: number;
}

/** Writes the servers' entries to the store and renews them. */
interface Registry {
  announce(index: number, state: "ready" | "draining", coldMs?: number): void;
  remove(index: number): void;
  /** Removes the entries of servers that are away once more. */
  writeRemovals(): void;
  stop(): void;
}

function createRegistry(
  store: StoreStandin,
  ports: readonly number[],
): Registry {
  const states = ports.map((): string | undefined => "ready");
  let sequence = 0;
  const coldUntil = ports.map(() => 0);
  const announce = (index: number, state: string, coldMs?: number): void => {
    const now = performance.now();
    states[index] = state;
    if (coldMs !== undefined) coldUntil[index] = now + coldMs;
    const remainingMs = Math.max(0, (coldUntil[index] ?? 0) - now);
    sequence += 1;
    store.put("keyed.servers", `i-${index}`, {
      Service: SERVICE,
      Address: `127.0.0.1:${ports[index]}`,
      Zone: "domain-1",
      Version: "v1",
      Slots: 4,
      State: state,
      ColdRemaining: `${Math.round(remainingMs)}ms`,
      Sequence: sequence,
      born: 1,
    });
  };
  const renewAll = (): void =>
    states.forEach((state, index) => {
      if (state !== undefined) announce(index, state);
    });
  renewAll();
  const timer = setInterval(renewAll, HEARTBEAT_INTERVAL_MS);
  return {
    announce,
    remove: (index) => {
      states[index] = undefined;
      store.remove("keyed.servers", `i-${index}`);
    },
    writeRemovals: () =>
      states.forEach((state, index) => {
        if (state === undefined) store.remove("keyed.servers", `i-${index}`);
      }),
    stop: () => clearInterval(timer),
  };
}

async function createVms(counts: readonly number[]): Promise<PlatformVm[]> {
  const total = counts.reduce((sum, count) => sum + count, 0);
  const ports = await findFreePorts(5 * total);
  return counts.flatMap((count, domain) =>
    Array.from({ length: count }, (_vm, index): PlatformVm => {
      const [
        callerPort = 0,
        peerPort = 0,
        readyPort = 0,
        directoryPort = 0,
        metricsPort = 0,
      ] = ports.splice(0, 5);
      return {
        name: `vm-${domain + 1}-${index + 1}`,
        failureDomain: `domain-${domain + 1}`,
        callerPort,
        peerPort,
        readyPort,
        directoryPort,
        metricsPort,
        process: undefined as unknown as ChildProcess,
        hasStarted: false,
      };
    })
  );
}

function createEnvironment(
  vm: PlatformVm,
  hopPorts: HopPorts | undefined,
  seeds: readonly string[],
): Record<string, string> {
  const host = "127.0.0.1";
  return {
    RHUBARBWALL_BACKING: "platform",
    RHUBARBWALL_VM: vm.name,
    RHUBARBWALL_FAILURE_DOMAIN: vm.failureDomain,
    RHUBARBWALL_CALLER_LISTEN: `${host}:${vm.callerPort}`,
    RHUBARBWALL_CALLER_ADVERTISE: `${host}:${vm.callerPort}`,
    RHUBARBWALL_PEER_LISTEN: `${host}:${vm.peerPort}`,
    RHUBARBWALL_READY_LISTEN: `${host}:${vm.readyPort}`,
    RHUBARBWALL_DIRECTORY_LISTEN: `${host}:${vm.directoryPort}`,
    RHUBARBWALL_METRICS_LISTEN: `${host}:${vm.metricsPort}`,
    RHUBARBWALL_SEEDS: seeds.join(),
    RHUBARBWALL_STORE_ADDRESS: `${host}:${hopPorts?.store}`,
    RHUBARBWALL_PEER_ADVERTISE: `${host}:${hopPorts?.peer}`,
    RHUBARBWALL_ADDRESS_TTL_MS: "1000",
    RHUBARBWALL_REVOKE_MS: String(REVOKE_MS),
    RHUBARBWALL_GRACE_MS: String(GRACE_MS),
    RHUBARBWALL_RETRY_RATIO: "0.2",
    RHUBARBWALL_RETRY_SLACK: "50",
    RHUBARBWALL_LOG_FORMAT: "json",
  };
}

function createConfiguration(
  version: number,
  teams: readonly TeamConfig[],
  warmUp: WarmUpConfig | undefined,
): unknown {
  const route = {
    Host: ROUTE_HOST,
    Timeout: "2000ms",
    TargetLatency: "800ms",
    Priority: 1,
    Service: SERVICE,
    Attempts: 2,
  };
  return {
    Version: version.toString(16).padStart(8, "0"),
    Routes: [
      { ...route, Name: "look", PathPrefix: "/look/", Kind: "safe" },
      { ...route, Name: "swap", PathPrefix: "/swap/", Kind: "unsafe" },
      {
        ...route,
        Name: "open",
        PathPrefix: "/open/",
        Kind: "safe",
        Public: true,
      },
    ],
    Services: [{
      Name: SERVICE,
      HealthCheckPath: "/health",
      MaxConnections: 330,
      Protocol: "h1",
      Tls: false,
      WarmupPerS: warmUp?.perSecond ?? 0,
      ColdStart: `${warmUp?.coldMs ?? 0}ms`,
    }],
    Limits: {
      MaxHeaderBytes: 16_384,
      MaxBodyBytes: 1_048_576,
      HeaderTimeout: "3000ms",
      IdleTimeout: "15000ms",
    },
    Tenants: teams.map(({ name, keys, ratePerS, burst }) => ({
      Name: name,
      ApiKeys: keys,
      Priority: 1,
      RatePerS: ratePerS ?? 0,
      Burst: burst ?? 0,
    })),
  };
}
