/** Enums that describe the process itself. */

/** Format of log lines. */
export enum LogFormat {
  Json = "json",
  Text = "text",
}

/** Severity of log lines. */
export enum LogLevel {
  Error = "error",
  Warn = "warn",
  Info = "info",
  Debug = "debug",
}

/** Lifecycle phase of a daemon. */
export enum VmPhase {
  Starting = "starting",
  Serving = "serving",
  Leaving = "leaving",
}

/** Where the daemon gets its configuration and its list of peers from. */
export enum Backing {
  /** This project's own records in an append-only log. */
  Log = "log",
  /** The store of the users' platform. */
  Platform = "platform",
}

/** Limits in bytes; `Infinity` for none. */
export interface MemoryLimits {
  readonly connectionBytes: number;
  readonly serverBytes: number;
  readonly vmBytes: number;
}

/** Limits of a VM whose memory is not known. */
export const NO_MEMORY_LIMITS: MemoryLimits = {
  connectionBytes: Infinity,
  serverBytes: Infinity,
  vmBytes: Infinity,
};

/** Policies for requests of a service without enough capacity. */
export enum OverloadPolicyKind {
  /** Refuses requests of lower priority while the queue is too long. */
  Priority = "priority",
  /** Lets requests wait in the VM, or refuses them, by what that costs. */
  Cost = "cost",
}

/** Behaviour beyond the default that a deployment asks for. */
export enum Feature {
  /** Requests are admitted by what their wait or refusal costs. */
  CostAdmission = "cost_admission",
}
