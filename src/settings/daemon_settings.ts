/** Settings of the daemon, resolved once into a frozen object. */
import * as z from "zod";
import { ADDRESS_TTL_MS, LOG_RETENTION_MS } from "../constants.ts";
import {
  Backing,
  LogFormat,
  LogLevel,
  OverloadPolicyKind,
} from "../model/mod.ts";
import type {
  CellId,
  Incarnation,
  MemoryLimits,
  VmName,
} from "../model/mod.ts";
import {
  addressSchema,
  countSchema,
  digestsSchema,
  durationSchema,
  listSchema,
  millisecondsSchema,
  nameSchema,
  optionalCountSchema,
  positiveIntegerSchema,
  ratioSchema,
  ResolutionKind,
  resolveFlags,
  urlSchema,
} from "./flags.ts";
import type { Address, Flag, Resolution } from "./flags.ts";

/** Settings of one daemon. */
export interface DaemonSettings {
  /** Name of the VM. */
  readonly vm: VmName;
  /** Identifies this start; greater than that of any earlier start. */
  readonly incarnation: Incarnation;
  /** Cell that the VM belongs to. */
  readonly cell: CellId;
  /** Region that the VM runs in. */
  readonly region: string;
  /** Failure domain that the VM runs in. */
  readonly failureDomain: string;
  /** Address on which the daemon listens for callers. */
  readonly callerListen: Address;
  /** Address advertised to callers; port 0 means the listening port. */
  readonly callerAdvertise: Address;
  /** Address on which the daemon listens for peers. */
  readonly peerListen: Address;
  /** Address advertised to peers; port 0 means the listening address. */
  readonly peerAdvertise: Address;
  /** Address on which the daemon listens for operators. */
  readonly operatorListen: Address;
  /** Base URL of the platform's log service. */
  readonly logUrl: URL;
  /** URL of the platform's VM list. */
  readonly vmListUrl: URL;
  /** SHA-256 digests of the keys for the operator port; empty denies access. */
  readonly operatorKeys: readonly string[];
  /** Time that callers may cache an address response, in milliseconds. */
  readonly addressTtlMs: number;
  /** Retention time of the log, in milliseconds. */
  readonly logRetentionMs: number;
  /** Where the daemon gets its configuration and its list of peers from. */
  readonly backing: Backing;
  /** Address of the platform's store; only for {@linkcode Backing.Platform}. */
  readonly storeAddress: Address;
  /** Address on which the platform checks whether this VM is ready. */
  readonly readyListen: Address;
  /** Address on which callers request the addresses of VMs. */
  readonly directoryListen: Address;
  /** Address on which metrics are served as text. */
  readonly metricsListen: Address;
  /** Peer addresses of some VMs, used if the directory is unavailable. */
  readonly seeds: readonly string[];
  /** Maximum time until a withdrawn key is refused, in milliseconds. */
  readonly revokeMs: number;
  /** Time from a stop signal until the process is killed, in milliseconds. */
  readonly graceMs: number;
  /** Retries that the fleet may send per request of a service, 0 to 1. */
  readonly retryRatio: number;
  /** Retries that the fleet may send beyond the ratio, per window. */
  readonly retrySlack: number;
  /** Length of the window in which retries are counted, in milliseconds. */
  readonly retryWindowMs: number;
  /** Number of CPU cores that this VM may use; may be fractional. */
  readonly cores: number;
  /** Bandwidth of this VM's link, in Mbit/s. */
  readonly linkMbps: number;
  /** Maximum number of requests of a connection that run at the same time. */
  readonly pipelineLimit: number;
  /** Limits on the data that is held for callers and servers. */
  readonly memoryLimits: MemoryLimits;
  /** Policy by which requests are refused when capacity is scarce. */
  readonly overloadPolicy: OverloadPolicyKind;
  /** The platform's contracts of this deployment, as it names them. */
  readonly contracts: readonly string[];
  /** Least severe level that is logged. */
  readonly logLevel: LogLevel;
  /** Format of log lines. */
  readonly logFormat: LogFormat;
}

/** The daemon's flags by name. */
export const DAEMON_FLAGS = {
  "vm": {
    description: "name of this VM, unique in the fleet",
    schema: nameSchema,
  },
  "cell": {
    description: "cell that this VM belongs to",
    schema: nameSchema,
    fallback: "cell-1",
  },
  "region": {
    description: "region that this VM runs in",
    schema: nameSchema,
    fallback: "region-1",
  },
  "failure-domain": {
    description: "failure domain that this VM runs in",
    schema: nameSchema,
  },
  "caller-listen": {
    description: "HOST:PORT on which callers connect",
    schema: addressSchema,
    fallback: "127.0.0.1:8080",
  },
  "caller-advertise": {
    description:
      "HOST:PORT advertised to callers; port 0 means the listening port",
    schema: addressSchema,
    fallback: "127.0.0.1:0",
  },
  "peer-listen": {
    description: "HOST:PORT on which other daemons connect",
    schema: addressSchema,
    fallback: "127.0.0.1:8081",
  },
  "peer-advertise": {
    description:
      "HOST:PORT advertised to peers; port 0 means the listening address",
    schema: addressSchema,
    fallback: "127.0.0.1:0",
  },
  "operator-listen": {
    description: "HOST:PORT on which operators connect",
    schema: addressSchema,
    fallback: "127.0.0.1:8082",
  },
  "log-url": {
    description: "base URL of the log service, for --backing log",
    schema: urlSchema,
    fallback: "http://127.0.0.1:7001",
  },
  "vm-list-url": {
    description: "URL of the VM list, for --backing log",
    schema: urlSchema,
    fallback: "http://127.0.0.1:7002/vms",
  },
  "operator-keys": {
    description:
      "comma-separated SHA-256 digests of operator keys; empty denies access",
    schema: digestsSchema,
    fallback: "",
  },
  "address-ttl-ms": {
    description: "time that callers may cache address responses, milliseconds",
    schema: millisecondsSchema,
    fallback: String(ADDRESS_TTL_MS),
  },
  "log-retention-ms": {
    description: "retention time of the log, milliseconds",
    schema: millisecondsSchema,
    fallback: String(LOG_RETENTION_MS),
  },
  "backing": {
    description: "where configuration comes from: log or platform",
    schema: z.enum(Backing),
    fallback: Backing.Log,
  },
  "store-address": {
    description: "HOST:PORT of the platform's store",
    schema: addressSchema,
    fallback: "127.0.0.1:7003",
  },
  "ready-listen": {
    description: "HOST:PORT on which readiness checks are served",
    schema: addressSchema,
    fallback: "127.0.0.1:8083",
  },
  "directory-listen": {
    description: "HOST:PORT on which callers request addresses of VMs",
    schema: addressSchema,
    fallback: "127.0.0.1:8084",
  },
  "metrics-listen": {
    description: "HOST:PORT on which metrics are served",
    schema: addressSchema,
    fallback: "127.0.0.1:8085",
  },
  "seeds": {
    description: "comma-separated peer addresses of some VMs",
    schema: listSchema,
    fallback: "",
  },
  "revoke-ms": {
    description: "time after which withdrawn keys are refused, e.g. 5000 or 5s",
    schema: durationSchema,
    fallback: "5000",
  },
  "grace-ms": {
    description: "time from a stop signal until the kill, e.g. 6000 or 6s",
    schema: durationSchema,
    fallback: "60000",
  },
  "retry-ratio": {
    description: "retries of the whole fleet per request, 0 to 1",
    schema: ratioSchema,
    fallback: "0.1",
  },
  "retry-slack": {
    description: "retries of the whole fleet beyond the ratio",
    schema: countSchema,
    fallback: "50",
  },
  "retry-window-ms": {
    description: "window in which retries are counted, e.g. 10000 or 10s",
    schema: durationSchema,
    fallback: "10000",
  },
  "cores": {
    description: "number of CPU cores that this VM may use; may be fractional",
    schema: countSchema,
    fallback: "1",
  },
  "link-mbps": {
    description: "bandwidth of this VM's link, Mbit/s",
    schema: countSchema,
    fallback: "1000",
  },
  "pipeline-limit": {
    description: "requests of a caller's connection that run at once",
    schema: positiveIntegerSchema,
    fallback: "8",
  },
  "memory-mb": {
    description: "memory of this VM in MB; empty for no limits",
    schema: optionalCountSchema,
    fallback: "",
  },
  "memory-vm-bytes": {
    description: "bytes held for all callers; default 1/4 of the memory",
    schema: optionalCountSchema,
    fallback: "",
  },
  "memory-connection-bytes": {
    description: "bytes held for a connection; default 1/256 of the memory",
    schema: optionalCountSchema,
    fallback: "",
  },
  "memory-server-bytes": {
    description: "bytes in flight to a server; default 1/32 of the memory",
    schema: optionalCountSchema,
    fallback: "",
  },
  "overload-policy": {
    description: "who is refused when capacity is scarce: priority or cost",
    schema: z.enum(OverloadPolicyKind),
    fallback: OverloadPolicyKind.Priority,
  },
  "contracts": {
    description: "comma-separated contracts of the platform's deployment",
    schema: listSchema,
    fallback: "",
  },
  "settings": {
    description: "path of the platform's settings file; accepted but not read",
    schema: z.string(),
    fallback: "",
  },
  "log-level": {
    description: "least severe level to log: error, warn, info or debug",
    schema: z.enum(LogLevel),
    fallback: LogLevel.Info,
  },
  "log-format": {
    description: "format of log lines: json or text",
    schema: z.enum(LogFormat),
    fallback: LogFormat.Text,
  },
} as const satisfies Record<string, Flag>;

type FlagValues = {
  [Name in keyof typeof DAEMON_FLAGS]: z.infer<
    (typeof DAEMON_FLAGS)[Name]["schema"]
  >;
};

/**
 * Resolves the daemon's settings from the text of its flags.
 *
 * `incarnation` is the time of the start in milliseconds since 1970.
 */
export function resolveDaemonSettings(
  input: Readonly<Record<string, unknown>>,
  incarnation: Incarnation,
): Resolution<DaemonSettings> {
  const resolution = resolveFlags(DAEMON_FLAGS, input);
  if (resolution.kind === ResolutionKind.Invalid) return resolution;
  const values = resolution.settings as FlagValues;
  return {
    kind: ResolutionKind.Resolved,
    settings: Object.freeze({
      vm: values["vm"],
      incarnation,
      cell: values["cell"],
      region: values["region"],
      failureDomain: values["failure-domain"],
      callerListen: values["caller-listen"],
      callerAdvertise: values["caller-advertise"],
      peerListen: values["peer-listen"],
      peerAdvertise: values["peer-advertise"],
      operatorListen: values["operator-listen"],
      logUrl: values["log-url"],
      vmListUrl: values["vm-list-url"],
      operatorKeys: values["operator-keys"],
      addressTtlMs: values["address-ttl-ms"],
      logRetentionMs: values["log-retention-ms"],
      backing: values["backing"],
      storeAddress: values["store-address"],
      readyListen: values["ready-listen"],
      directoryListen: values["directory-listen"],
      metricsListen: values["metrics-listen"],
      seeds: values["seeds"],
      revokeMs: values["revoke-ms"],
      graceMs: values["grace-ms"],
      retryRatio: values["retry-ratio"],
      retrySlack: values["retry-slack"],
      retryWindowMs: values["retry-window-ms"],
      cores: values["cores"],
      linkMbps: values["link-mbps"],
      pipelineLimit: values["pipeline-limit"],
      memoryLimits: resolveMemoryLimits(values),
      overloadPolicy: values["overload-policy"],
      contracts: values["contracts"],
      logLevel: values["log-level"],
      logFormat: values["log-format"],
    }),
  };
}

/** Shares of a VM's memory that its limits are derived from. */
const VM_SHARE = 1 / 4;
const CONNECTION_SHARE = 1 / 256;
const SERVER_SHARE = 1 / 32;
const BYTES_PER_MB = 1_000_000;

function resolveMemoryLimits(values: FlagValues): MemoryLimits {
  const bytes = (values["memory-mb"] ?? Infinity) * BYTES_PER_MB;
  return {
    vmBytes: values["memory-vm-bytes"] ?? bytes * VM_SHARE,
    connectionBytes: values["memory-connection-bytes"] ??
      bytes * CONNECTION_SHARE,
    serverBytes: values["memory-server-bytes"] ?? bytes * SERVER_SHARE,
  };
}
