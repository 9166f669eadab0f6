/** Micro-kernel: service registry and lifecycle manager. */
export { Channel } from "./channel.ts";
export { createDefinition, Kernel } from "./kernel.ts";
export type { Finder, ServiceDefinition } from "./kernel.ts";
export { KernelError, KernelErrorKind } from "./kernel_error.ts";
export { LifeCycle, Scope } from "./life_cycle.ts";
export type { HandlerBoundary, LifeCycleObserver, Task } from "./life_cycle.ts";
