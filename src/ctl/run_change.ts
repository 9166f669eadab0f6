/** Runs commands that publish one change. */
import type { Change } from "../model/mod.ts";
import type { Configuration } from "../services/configuration/mod.ts";
import type { CommandFlags } from "./changes.ts";
import type { Command, CommandContext, CommandFlag } from "./command.ts";
import { waitUntilInForce } from "./in_force.ts";
import { formatResult, getExitCode, printValue } from "./output.ts";
import type { ExitCode } from "./output.ts";
import { publishChange, PublishKind, readConfiguration } from "./publisher.ts";

/** Flag of all commands that change the configuration. */
export const WAIT_FLAG: CommandFlag = {
  describe: "wait until the change is in force on all --daemons",
  type: "boolean",
  default: false,
};

type ChangeBuilder = (
  flags: CommandFlags,
  configuration: Configuration,
) => Change;

/** Publishes a change and, with `--wait`, waits until it is in force. */
async function runChange(
  context: CommandContext,
  flags: CommandFlags,
  build: ChangeBuilder,
): Promise<ExitCode> {
  const configuration = await readConfiguration(context);
  const change = build(flags, configuration);
  const result = await publishChange(context, configuration, change);
  printValue(context.settings.output, result, formatResult(result));
  if (result.kind !== PublishKind.Accepted || flags["wait"] !== true) {
    return getExitCode(result);
  }
  return await waitUntilInForce(context, result.offset);
}

/** Creates a command that publishes the change that `build` returns. */
export function createChangeCommand(
  definition: Omit<Command, "run">,
  build: ChangeBuilder,
): Command {
  return {
    ...definition,
    flags: { ...definition.flags, wait: WAIT_FLAG },
    run: (context, flags) => runChange(context, flags, build),
  };
}
