/** Commands that change the configuration. */
import {
  Idempotency,
  PresetName,
  RecordKind,
  RouteAccess,
  ServerPhase,
} from "../model/mod.ts";
import type { Change } from "../model/mod.ts";
import {
  createKeyChange,
  createPresetChange,
  createRouteChange,
  createServerChange,
  createTeamChange,
  digestSecret,
} from "./changes.ts";
import type { CommandFlags } from "./changes.ts";
import type { Command, CommandContext, CommandFlag } from "./command.ts";
import { ExitCode, formatResult, getExitCode, printValue } from "./output.ts";
import { publishChange, PublishKind, readConfiguration } from "./publisher.ts";
import { formatShardKey } from "../services/configuration/mod.ts";
import type { Configuration } from "../services/configuration/mod.ts";
import { waitUntilInForce } from "./in_force.ts";

const WAIT_FLAG: CommandFlag = {
  describe: "wait until the change is in force on all --daemons",
  type: "boolean",
  default: false,
};
const TEAM_FLAGS = {
  rate: {
    describe: "requests a second over all VMs together",
    type: "number",
    demandOption: true,
  },
  burst: {
    describe: "requests at once over all VMs together",
    type: "number",
    demandOption: true,
  },
} as const satisfies Record<string, CommandFlag>;

type ChangeBuilder = (
  flags: CommandFlags,
  configuration: Configuration,
) => Change;

/** Publishes a change and, if wanted, waits until it is in force. */
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

function createChangeCommand(
  parts: Omit<Command, "run">,
  build: ChangeBuilder,
): Command {
  return {
    ...parts,
    flags: { ...parts.flags, wait: WAIT_FLAG },
    run: (context, flags) => runChange(context, flags, build),
  };
}

async function runKeyIssue(
  context: CommandContext,
  flags: CommandFlags,
): Promise<ExitCode> {
  const configuration = await readConfiguration(context);
  const { secret, change } = createKeyChange(String(flags["team"]));
  const result = await publishChange(context, configuration, change);
  const isAccepted = result.kind === PublishKind.Accepted;
  const isUnknown = result.kind === PublishKind.Unknown;
  const shown = isAccepted || isUnknown ? secret : "";
  printValue(
    context.settings.output,
    { ...result, key: shown },
    shown === "" ? formatResult(result) : `${formatResult(result)}\n${shown}`,
  );
  if (!isAccepted || flags["wait"] !== true) return getExitCode(result);
  return await waitUntilInForce(context, result.offset);
}

/** Changes a server's phase alone; throws when there is no such server. */
function createPhaseChange(
  configuration: Configuration,
  id: string,
  phase: ServerPhase,
): Change {
  const server = configuration.state.servers.get(id);
  if (server === undefined) throw new Error(`server ${id} is unknown`);
  const { revision: _revision, ...rest } = server;
  return { kind: RecordKind.ServerSet, server: { ...rest, phase } };
}

/** Changes a team's limits alone; throws when there is no such team. */
function createLimitChange(
  configuration: Configuration,
  flags: CommandFlags,
): Change {
  const id = String(flags["id"]);
  const team = configuration.state.teams.get(id);
  if (team === undefined) throw new Error(`team ${id} is unknown`);
  return createTeamChange({ ...flags, cell: team.cell });
}

/** Ends the newest epoch of a seat; throws when it was never claimed. */
function createSeatRelease(
  configuration: Configuration,
  flags: CommandFlags,
): Change {
  const cell = String(flags["cell"]);
  const index = Number(flags["seat"]);
  const seat = configuration.state.shards.get(formatShardKey(cell, index));
  if (seat === undefined) throw new Error(`seat ${index} was never claimed`);
  return {
    kind: RecordKind.SeatRelease,
    cell,
    seat: index,
    epoch: seat.epoch,
  };
}

const TEAM_COMMANDS: readonly Command[] = [
  createChangeCommand({
    usage: "team create <id>",
    describe: "create a team with its rate and burst",
    flags: {
      ...TEAM_FLAGS,
      cell: {
        describe: "cell that serves the team",
        type: "string",
        default: "cell-1",
      },
    },
    example: "team create chaudhry --rate 50 --burst 100",
  }, createTeamChange),
  createChangeCommand({
    usage: "team remove <id>",
    describe: "remove a team and withdraw its keys",
    flags: {},
    example: "team remove chaudhry",
  }, (flags) => ({ kind: RecordKind.TeamRemove, team: String(flags["id"]) })),
  createChangeCommand({
    usage: "limit set <id>",
    describe: "set a team's rate and burst",
    flags: TEAM_FLAGS,
    example: "limit set chaudhry --rate 80 --burst 160",
  }, (flags, configuration) => createLimitChange(configuration, flags)),
];

const KEY_COMMANDS: readonly Command[] = [
  {
    usage: "key issue <team>",
    describe: "issue a new key; it is shown once",
    flags: { wait: WAIT_FLAG },
    example: "key issue chaudhry",
    run: runKeyIssue,
  },
  createChangeCommand({
    usage: "key withdraw <key>",
    describe: "withdraw a key, given itself or by its digest",
    flags: {},
    example: "key withdraw rbw_... --wait",
  }, (flags) => ({
    kind: RecordKind.KeyWithdraw,
    digest: digestSecret(String(flags["key"])),
  })),
];

const SERVER_COMMANDS: readonly Command[] = [
  createChangeCommand({
    usage: "service set <id>",
    describe: "name a group of backend servers",
    flags: {},
    example: "service set rota",
  }, (flags) => ({
    kind: RecordKind.ServiceSet,
    service: { id: String(flags["id"]) },
  })),
  createChangeCommand({
    usage: "server set <id>",
    describe: "add or change a backend server",
    flags: {
      service: { describe: "its service", type: "string", demandOption: true },
      host: { describe: "its address", type: "string", demandOption: true },
      port: { describe: "its TCP port", type: "number", demandOption: true },
      "failure-domain": {
        describe: "its failure domain",
        type: "string",
        default: "domain-1",
      },
      slots: {
        describe: "requests that it runs at the same time",
        type: "number",
        default: 4,
      },
      phase: {
        describe: "whether it gets new work",
        type: "string",
        choices: Object.values(ServerPhase),
        default: ServerPhase.Active,
      },
    },
    example: "server set rota-1 --service rota --host 127.0.0.1 --port 9001",
  }, createServerChange),
  createChangeCommand({
    usage: "server drain <id>",
    describe: "give a backend server no new work",
    flags: {},
    example: "server drain rota-1 --wait",
  }, (flags, configuration) =>
    createPhaseChange(
      configuration,
      String(flags["id"]),
      ServerPhase.Draining,
    )),
  createChangeCommand({
    usage: "server remove <id>",
    describe: "remove a backend server",
    flags: {},
    example: "server remove rota-1",
  }, (flags) => ({
    kind: RecordKind.ServerRemove,
    server: String(flags["id"]),
  })),
];

const ROUTE_COMMANDS: readonly Command[] = [
  createChangeCommand({
    usage: "route set <id>",
    describe: "send a method and path to a service",
    flags: {
      path: {
        describe: "path; all paths below it match too",
        type: "string",
        demandOption: true,
      },
      service: { describe: "service", type: "string", demandOption: true },
      method: {
        describe: "HTTP method, or * for any",
        type: "string",
        default: "*",
      },
      access: {
        describe: "who may use it",
        type: "string",
        choices: Object.values(RouteAccess),
        default: RouteAccess.TeamBound,
      },
      idempotency: {
        describe: "whether a request may be sent a second time",
        type: "string",
        choices: Object.values(Idempotency),
        default: Idempotency.NonIdempotent,
      },
      "deadline-ms": {
        describe: "time for a whole answer, in milliseconds",
        type: "number",
        default: 5_000,
      },
      floor: {
        describe: "share of the service's slots that ejection must leave",
        type: "number",
        default: 0.5,
      },
    },
    example: "route set turns --path /turns --service rota --method GET",
  }, createRouteChange),
  createChangeCommand({
    usage: "route remove <id>",
    describe: "remove a route",
    flags: {},
    example: "route remove turns",
  }, (flags) => ({ kind: RecordKind.RouteRemove, route: String(flags["id"]) })),
];

const PRESET_COMMANDS: readonly Command[] = [
  createChangeCommand({
    usage: "preset set <name>",
    describe: "set the limits and policies of a preset",
    flags: {
      "rate-factor": {
        describe: "multiplies every team's rate and burst",
        type: "number",
        default: 1,
      },
      "deadline-factor": {
        describe: "multiplies every route's deadline",
        type: "number",
        default: 1,
      },
      retries: {
        describe: "whether requests may be retried",
        type: "boolean",
        default: true,
      },
    },
    example: "preset set peak --rate-factor 1.5",
  }, createPresetChange),
  createChangeCommand({
    usage: "preset switch <name>",
    describe: "put a preset in force",
    flags: {},
    example: "preset switch peak --wait",
  }, (flags) => ({
    kind: RecordKind.PresetSwitch,
    preset: String(flags["name"]) as PresetName,
  })),
];

const SEAT_COMMANDS: readonly Command[] = [
  createChangeCommand({
    usage: "seat release <seat>",
    describe: "say that a seat's holder is dead, so that it may be claimed",
    flags: {
      cell: { describe: "cell of the seat", type: "string", default: "cell-1" },
    },
    example: "seat release 17 --cell cell-1",
  }, (flags, configuration) => createSeatRelease(configuration, flags)),
];

/** All commands that change the configuration. */
export const CHANGE_COMMANDS: readonly Command[] = [
  ...TEAM_COMMANDS,
  ...KEY_COMMANDS,
  ...SERVER_COMMANDS,
  ...ROUTE_COMMANDS,
  ...PRESET_COMMANDS,
  ...SEAT_COMMANDS,
];
