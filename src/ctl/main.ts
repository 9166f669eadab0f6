#!/usr/bin/env node
/** `rhubarbctl`: the command line tool for operators. */
import process from "node:process";
import yargs from "yargs";
import type { Argv } from "yargs";
import { hideBin } from "yargs/helpers";
import * as z from "zod";
import { ENVIRONMENT_PREFIX } from "../constants.ts";
import { createHttpLogClient } from "../protocols/log/http_log_client.ts";
import { createSystemClock } from "../services/clock/mod.ts";
import { formatCause } from "../services/logging/mod.ts";
import {
  CTL_FLAGS,
  formatVariable,
  ResolutionKind,
  resolveCtlSettings,
} from "../settings/mod.ts";
import type { CtlSettings } from "../settings/mod.ts";
import { CHANGE_COMMANDS } from "./change_commands.ts";
import type { CommandFlags } from "./changes.ts";
import type { Command } from "./command.ts";
import { ExitCode } from "./output.ts";
import { QUERY_COMMANDS } from "./query_commands.ts";

const COMMANDS: readonly Command[] = [...CHANGE_COMMANDS, ...QUERY_COMMANDS];

function stopOnUsageError(errors: readonly string[]): never {
  for (const error of errors) process.stderr.write(`rhubarbctl: ${error}\n`);
  process.exit(ExitCode.Usage);
}

function createParser(): Argv {
  const parser = yargs(hideBin(process.argv))
    .scriptName("rhubarbctl")
    .env(ENVIRONMENT_PREFIX)
    .usage("$0 <command>\n\nChanges and shows the configuration.")
    .demandCommand(1, "a command is required")
    .strict()
    .fail((message) => stopOnUsageError([message]));
  for (const [name, flag] of Object.entries(CTL_FLAGS)) {
    const fallback = flag.fallback === "" ? "" : ` [${flag.fallback}]`;
    parser.option(name, {
      type: "string",
      global: true,
      describe: `${flag.description}${fallback} (${formatVariable(name)})`,
    });
  }
  for (const group of new Set(COMMANDS.map(getGroup))) {
    addGroup(parser, group);
  }
  return parser;
}

function getGroup(command: Command): string {
  return command.usage.split(" ", 1)[0] ?? "";
}

/** Whether a command's name is one word, followed by arguments at most. */
function isStandalone({ usage }: Command): boolean {
  const second = usage.split(" ")[1];
  return second === undefined || second.startsWith("<");
}

function addGroup(parser: Argv, group: string): void {
  const members = COMMANDS.filter((command) => getGroup(command) === group);
  const [first] = members;
  if (first !== undefined && isStandalone(first)) {
    addCommand(parser, first, first.usage);
    return;
  }
  parser.command(group, `commands for a ${group}`, (nested) => {
    for (const command of members) {
      addCommand(nested, command, command.usage.slice(group.length + 1));
    }
    return nested.demandCommand(1, `a command for a ${group} is required`);
  });
}

function addCommand(parser: Argv, command: Command, usage: string): void {
  parser.command(
    usage,
    command.describe,
    (nested) =>
      nested.options({ ...command.flags })
        .example(`$0 ${command.example}`, command.describe),
    async (flags) => {
      process.exitCode = await runCommand(command, flags);
    },
  );
}

async function runCommand(
  command: Command,
  flags: CommandFlags,
): Promise<ExitCode> {
  const resolution = resolveCtlSettings(flags);
  switch (resolution.kind) {
    case ResolutionKind.Invalid:
      return stopOnUsageError(resolution.errors);
    case ResolutionKind.Resolved:
      return await runWithSettings(command, flags, resolution.settings);
  }
}

async function runWithSettings(
  command: Command,
  flags: CommandFlags,
  settings: CtlSettings,
): Promise<ExitCode> {
  const clock = createSystemClock();
  const log = createHttpLogClient({ url: settings.logUrl, clock });
  try {
    return await command.run({ settings, clock, log }, flags);
  } catch (error) {
    if (error instanceof z.ZodError) {
      return stopOnUsageError(
        error.issues.map((issue) =>
          `--${issue.path.join(".")}: ${issue.message}`
        ),
      );
    }
    process.stderr.write(`rhubarbctl: ${formatCause(error)}\n`);
    return ExitCode.Failed;
  }
}

await createParser().parseAsync();
process.exit();
