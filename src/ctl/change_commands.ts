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
  computeSecretDigest,
  createKeyChange,
  createPresetChange,
  createRouteChange,
  createServerChange,
  createTeamChange,
} from "./changes.ts";
import type { CommandFlags } from "./changes.ts";
import type { Command, CommandContext, CommandFlag } from "./command.ts";
import { ExitCode, formatResult, getExitCode, printValue } from "./output.ts";
import { EVACUATION_COMMANDS } from "./evacuation_commands.ts";
import { publishChange, PublishKind, readConfiguration } from "./publisher.ts";
import { createChangeCommand, WAIT_FLAG } from "./run_change.ts";
import { formatShardKey } from "../services/configuration/mod.ts";
import type { Configuration } from "../services/configuration/mod.ts";
import { waitUntilInForce } from "./in_force.ts";

const TEAM_FLAGS = {
  rate: {
    describe: "maximum requests per second, summed over all VMs",
    type: "number",
    demandOption: true,
  },
  burst: {
    describe: "maximum burst of requests, summed over all VMs",
    type: "number",
    demandOption: true,
  },
} as const satisfies Record<string, CommandFlag>;

async function runKeyIssue(
  context: CommandContext,
  flags: CommandFlags,
): Promise<ExitCode> {
  const configuration = await readConfiguration(context);
  const { secret, change } = createKeyChange(String(flags["team"]));
  const result = await publishChange(context, configuration, change);
  const isAccepted = result.kind === PublishKind.Accepted;
  const isUnknown = result.kind === PublishKind.Unknown;
  const shownSecret = isAccepted || isUnknown ? secret : "";
  printValue(
    context.settings.output,
    { ...result, key: shownSecret },
    shownSecret === ""
      ? formatResult(result)
      : `${formatResult(result)}\n${shownSecret}`,
  );
  if (!isAccepted || flags["wait"] !== true) return getExitCode(result);
  return await waitUntilInForce(context, result.offset);
}

/** Creates a change of a server's phase only; throws for an unknown server. */
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

/** Creates a change of a team's limits only; throws for an unknown team. */
function createLimitChange(
  configuration: Configuration,
  flags: CommandFlags,
): Change {
  const id = String(flags["id"]);
  const team = configuration.state.teams.get(id);
  if (team === undefined) throw new Error(`team ${id} is unknown`);
  return createTeamChange({ ...flags, cell: team.cell });
}

/**
 * Creates a change that ends the newest epoch of a quota shard; throws if the
 * shard was never claimed.
 */
function createShardRelease(
  configuration: Configuration,
  flags: CommandFlags,
): Change {
  const cell = String(flags["cell"]);
  const index = Number(flags["seat"]);
  const shard = configuration.state.shards.get(formatShardKey(cell, index));
  if (shard === undefined) throw new Error(`shard ${index} was never claimed`);
  return {
    kind: RecordKind.ShardRelease,
    cell,
    seat: index,
    epoch: shard.epoch,
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
    describe: "issue a new API key, which is shown only once",
    flags: { wait: WAIT_FLAG },
    example: "key issue chaudhry",
    run: runKeyIssue,
  },
  createChangeCommand({
    usage: "key withdraw <key>",
    describe: "withdraw a key, given as the key or as its digest",
    flags: {},
    example: "key withdraw rbw_... --wait",
  }, (flags) => ({
    kind: RecordKind.KeyWithdraw,
    digest: computeSecretDigest(String(flags["key"])),
  })),
];

const SERVER_COMMANDS: readonly Command[] = [
  createChangeCommand({
    usage: "service set <id>",
    describe: "add a service, which is a group of backend servers",
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
      service: {
        describe: "service of the server",
        type: "string",
        demandOption: true,
      },
      host: {
        describe: "address of the server",
        type: "string",
        demandOption: true,
      },
      port: {
        describe: "TCP port of the server",
        type: "number",
        demandOption: true,
      },
      "failure-domain": {
        describe: "failure domain of the server",
        type: "string",
        default: "domain-1",
      },
      slots: {
        describe: "number of requests that the server runs concurrently",
        type: "number",
        default: 4,
      },
      phase: {
        describe: "whether the server gets new requests",
        type: "string",
        choices: Object.values(ServerPhase),
        default: ServerPhase.Active,
      },
    },
    example: "server set rota-1 --service rota --host 127.0.0.1 --port 9001",
  }, createServerChange),
  createChangeCommand({
    usage: "server drain <id>",
    describe: "stop sending new requests to a backend server",
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
    describe: "route requests of a method and path to a service",
    flags: {
      path: {
        describe: "path of the requests; matches all paths below it too",
        type: "string",
        demandOption: true,
      },
      service: {
        describe: "service of the route",
        type: "string",
        demandOption: true,
      },
      method: {
        describe: "HTTP method, or * for any",
        type: "string",
        default: "*",
      },
      access: {
        describe: "which callers may use the route",
        type: "string",
        choices: Object.values(RouteAccess),
        default: RouteAccess.TeamBound,
      },
      idempotency: {
        describe: "whether a request may be run more than once",
        type: "string",
        choices: Object.values(Idempotency),
        default: Idempotency.NonIdempotent,
      },
      "deadline-ms": {
        describe: "deadline of the complete response, in milliseconds",
        type: "number",
        default: 5_000,
      },
      floor: {
        describe:
          "fraction of the service's slots that must remain after ejections",
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
        describe: "factor for the rate and burst of every team",
        type: "number",
        default: 1,
      },
      "deadline-factor": {
        describe: "factor for the deadline of every route",
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

const SHARD_COMMANDS: readonly Command[] = [
  createChangeCommand({
    usage: "seat release <seat>",
    describe:
      "declare the owner of a quota shard dead, so that others may claim it",
    flags: {
      cell: {
        describe: "cell of the quota shard",
        type: "string",
        default: "cell-1",
      },
    },
    example: "seat release 17 --cell cell-1",
  }, (flags, configuration) => createShardRelease(configuration, flags)),
];

/** All commands that change the configuration. */
export const CHANGE_COMMANDS: readonly Command[] = [
  ...TEAM_COMMANDS,
  ...KEY_COMMANDS,
  ...SERVER_COMMANDS,
  ...ROUTE_COMMANDS,
  ...PRESET_COMMANDS,
  ...EVACUATION_COMMANDS,
  ...SHARD_COMMANDS,
];
