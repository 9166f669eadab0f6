/** Errors of the service registry. */

/** Kinds of {@linkcode KernelFault}. */
export enum KernelErrorKind {
  ServiceMissing = "service_missing",
  NeedUndeclared = "need_undeclared",
  NeedsCyclic = "needs_cyclic",
}

/** Details of an error in the wiring of services. */
export type KernelFault =
  | {
    readonly kind: KernelErrorKind.ServiceMissing;
    readonly name: string;
    readonly neededBy: string;
  }
  | {
    readonly kind: KernelErrorKind.NeedUndeclared;
    readonly name: string;
    readonly neededBy: string;
  }
  | {
    readonly kind: KernelErrorKind.NeedsCyclic;
    readonly path: readonly string[];
  };

function formatFault(fault: KernelFault): string {
  switch (fault.kind) {
    case KernelErrorKind.ServiceMissing:
      return `service ${fault.name}, needed by ${fault.neededBy}, is missing`;
    case KernelErrorKind.NeedUndeclared:
      return `${fault.neededBy} looked up ${fault.name} without declaring it`;
    case KernelErrorKind.NeedsCyclic:
      return `services depend on each other: ${fault.path.join(" -> ")}`;
  }
}

/** Thrown by the kernel when services are wired incorrectly. */
export class KernelError extends Error {
  readonly fault: KernelFault;

  /** Creates an error whose message describes `fault`. */
  constructor(fault: KernelFault) {
    super(formatFault(fault));
    this.name = "KernelError";
    this.fault = fault;
  }
}
