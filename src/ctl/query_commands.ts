/** Read-only commands. */
import { OperatorQuery } from "../services/operator_front/mod.ts";
import type { CommandFlags } from "./changes.ts";
import type { Command, CommandContext } from "./command.ts";
import { DaemonAnswerKind, fetchFromDaemons } from "./daemons.ts";
import type { DaemonAnswer } from "./daemons.ts";
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
  const answers = await fetchFromDaemons(
    context.clock,
    context.settings,
    query,
  );
  const text = answers.map(formatAnswer).join("\n");
  printValue(context.settings.output, answers, text);
  const isWhole = answers.every((answer) =>
    answer.kind === DaemonAnswerKind.Answered
  );
  return isWhole ? ExitCode.Done : ExitCode.Failed;
}

function formatAnswer(answer: DaemonAnswer): string {
  switch (answer.kind) {
    case DaemonAnswerKind.Failed:
      return `${answer.daemon}: ${answer.reason}`;
    case DaemonAnswerKind.Answered:
      return `${answer.daemon}:\n${formatTree(answer.value, "  ")}`;
  }
}

async function runStatus(
  context: CommandContext,
  flags: CommandFlags,
): Promise<ExitCode> {
  const isDone = await runQuery(context, OperatorQuery.Status);
  if (flags["wait"] !== true) return isDone;
  const { offset } = await readConfiguration(context);
  return await waitUntilInForce(context, offset);
}

async function runList(
  context: CommandContext,
  pick: (state: ListedState) => Iterable<unknown>,
): Promise<ExitCode> {
  const { state } = await readConfiguration(context);
  const items = [...pick(state)];
  const text = items.map((item) => JSON.stringify(item)).join("\n");
  printValue(context.settings.output, items, text);
  return ExitCode.Done;
}

type ListedState = Awaited<ReturnType<typeof readConfiguration>>["state"];

function createListCommand(
  noun: string,
  pick: (state: ListedState) => Iterable<unknown>,
): Command {
  return {
    usage: `${noun} list`,
    describe: `list every ${noun} as of the log's head`,
    flags: {},
    example: `${noun} list --output json`,
    run: (context) => runList(context, pick),
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
