/** Read-only commands. */
import { OperatorQuery } from "../services/operator_front/mod.ts";
import type { CommandFlags } from "./changes.ts";
import type { Command, CommandContext } from "./command.ts";
import { DaemonResponseKind, fetchFromDaemons } from "./daemons.ts";
import type { DaemonResponse } from "./daemons.ts";
import { waitUntilInForce } from "./in_force.ts";
import { ExitCode, formatTree, printValue } from "./output.ts";
import { readConfiguration } from "./publisher.ts";

async function runQuery(
  context: CommandContext,
  query: OperatorQuery,
): Promise<ExitCode> {
  if (context.settings.daemons.length === 0) {
    throw new Error("--daemons lists no daemon to query");
  }
  const responses = await fetchFromDaemons(
    context.clock,
    context.settings,
    query,
  );
  const text = responses.map(formatResponse).join("\n");
  printValue(context.settings.output, responses, text);
  const isComplete = responses.every((response) =>
    response.kind === DaemonResponseKind.Responded
  );
  return isComplete ? ExitCode.Done : ExitCode.Failed;
}

function formatResponse(response: DaemonResponse): string {
  switch (response.kind) {
    case DaemonResponseKind.Failed:
      return `${response.daemon}: ${response.reason}`;
    case DaemonResponseKind.Responded:
      return `${response.daemon}:\n${formatTree(response.value, "  ")}`;
  }
}

async function runStatus(
  context: CommandContext,
  flags: CommandFlags,
): Promise<ExitCode> {
  const exitCode = await runQuery(context, OperatorQuery.Status);
  if (flags["wait"] !== true) return exitCode;
  const { offset } = await readConfiguration(context);
  return await waitUntilInForce(context, offset);
}

async function runList(
  context: CommandContext,
  listItems: (state: ListedState) => Iterable<unknown>,
): Promise<ExitCode> {
  const { state } = await readConfiguration(context);
  const items = [...listItems(state)];
  const text = items.map((item) => JSON.stringify(item)).join("\n");
  printValue(context.settings.output, items, text);
  return ExitCode.Done;
}

type ListedState = Awaited<ReturnType<typeof readConfiguration>>["state"];

function createListCommand(
  noun: string,
  listItems: (state: ListedState) => Iterable<unknown>,
): Command {
  return {
    usage: `${noun} list`,
    describe: `list every ${noun} as of the log's head`,
    flags: {},
    example: `${noun} list --output json`,
    run: (context) => runList(context, listItems),
  };
}

/** All read-only commands. */
export const QUERY_COMMANDS: readonly Command[] = [
  createListCommand("team", (state) => state.teams.values()),
  createListCommand("key", (state) => state.keys.values()),
  createListCommand("service", (state) => state.services.values()),
  createListCommand("server", (state) => state.servers.values()),
  createListCommand("route", (state) => state.routes.values()),
  createListCommand("preset", (state) => [
    { inForce: state.presetInForce },
    ...state.presets.values(),
  ]),
  {
    usage: "status",
    describe: "show the offset in force on each daemon",
    flags: {
      wait: {
        describe: "wait until the log's head is in force on all daemons",
        type: "boolean",
        default: false,
      },
    },
    example: "status --wait --daemons http://127.0.0.1:8082",
    run: runStatus,
  },
  {
    usage: "dump",
    describe: "dump the state of each daemon",
    flags: {},
    example: "dump --output json --daemons http://127.0.0.1:8082",
    run: (context) => runQuery(context, OperatorQuery.Dump),
  },
];
