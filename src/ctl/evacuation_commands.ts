/** Commands that evacuate failure domains. */
import { RecordKind } from "../model/mod.ts";
import type { Command } from "./command.ts";
import { createChangeCommand } from "./run_change.ts";

/** Commands that evacuate a failure domain and restore it. */
export const EVACUATION_COMMANDS: readonly Command[] = [
  createChangeCommand({
    usage: "evacuate <domain>",
    describe: "stop sending requests to the servers of a failure domain",
    flags: {},
    example: "evacuate domain-1 --wait",
  }, (flags) => ({
    kind: RecordKind.DomainEvacuate,
    domain: String(flags["domain"]),
  })),
  createChangeCommand({
    usage: "restore <domain>",
    describe: "send requests to the servers of an evacuated domain again",
    flags: {},
    example: "restore domain-1 --wait",
  }, (flags) => ({
    kind: RecordKind.DomainRestore,
    domain: String(flags["domain"]),
  })),
];
