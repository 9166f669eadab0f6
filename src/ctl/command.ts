/** Types of the commands of `rhubarbctl`. */
import type { Clock } from "../services/clock/mod.ts";
import type { LogClient } from "../services/log_client/mod.ts";
import type { CtlSettings } from "../settings/mod.ts";
import type { CommandFlags } from "./changes.ts";
import type { ExitCode } from "./output.ts";

/** Settings and services that every command gets. */
export interface CommandContext {
  readonly settings: CtlSettings;
  readonly clock: Clock;
  readonly log: LogClient;
}

/** A flag of one command. */
export interface CommandFlag {
  readonly describe: string;
  readonly type: "string" | "number" | "boolean";
  readonly default?: string | number | boolean;
  readonly choices?: readonly string[];
  readonly demandOption?: boolean;
}

/** A command, such as `team create`. */
export interface Command {
  /** Noun and verb, with positional arguments such as `<id>`. */
  readonly usage: string;
  readonly describe: string;
  readonly flags: Readonly<Record<string, CommandFlag>>;
  readonly example: string;
  readonly run: (
    context: CommandContext,
    flags: CommandFlags,
  ) => Promise<ExitCode>;
}
