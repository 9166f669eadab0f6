/** Settings of `rhubarbwalld` and `rhubarbctl`. */
export { DAEMON_FLAGS, resolveDaemonSettings } from "./daemon_settings.ts";
export type { DaemonSettings } from "./daemon_settings.ts";
export { formatVariable, ResolutionKind, resolveFlags } from "./flags.ts";
export type { Address, Flag, Resolution } from "./flags.ts";
export { CTL_FLAGS, OutputFormat, resolveCtlSettings } from "./ctl_settings.ts";
export type { CtlSettings } from "./ctl_settings.ts";
