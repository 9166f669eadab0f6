/** Errors of the service registry. */

/** Kinds of {@linkcode KernelErrorDetails}. */
export enum KernelErrorKind {
  ServiceMissing = "service_missing",
  DependencyUndeclared = "need_undeclared",
  DependencyCycle = "needs_cyclic",
}

/** Details of an error in the wiring of services. */
export type KernelErrorDetails =
  | {
    readonly kind: KernelErrorKind.ServiceMissing;
    readonly name: string;
    readonly neededBy: string;
  }
  | {
    readonly kind: KernelErrorKind.DependencyUndeclared;
    readonly name: string;
    readonly neededBy: string;
  }
  | {
    readonly kind: KernelErrorKind.DependencyCycle;
    readonly path: readonly string[];
  };

function formatDetails(details: KernelErrorDetails): string {
  switch (details.kind) {
    case KernelErrorKind.ServiceMissing:
      return `service ${details.name}, needed by ${details.neededBy}, is missing`;
    case KernelErrorKind.DependencyUndeclared:
      return `${details.neededBy} looked up ${details.name} without declaring it`;
    case KernelErrorKind.DependencyCycle:
      return `services depend on each other: ${details.path.join(" -> ")}`;
  }
}

/** Thrown by the kernel when services are wired incorrectly. */
export class KernelError extends Error {
  readonly details: KernelErrorDetails;

  /** Creates an error whose message describes `details`. */
  constructor(details: KernelErrorDetails) {
    super(formatDetails(details));
    this.name = "KernelError";
    this.details = details;
  }
}
