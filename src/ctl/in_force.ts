/** Waits until an offset is in force on all daemons and their peers. */
import * as z from "zod";
import type { Offset } from "../model/mod.ts";
import { OperatorQuery } from "../services/operator_front/mod.ts";
import type { CommandContext } from "./command.ts";
import { DaemonAnswerKind, fetchFromDaemons } from "./daemons.ts";
import type { DaemonAnswer } from "./daemons.ts";
import { ExitCode, printValue } from "./output.ts";

const statusSchema = z.object({
  vm: z.string(),
  offset: z.number(),
  peers: z.array(z.object({ vm: z.string(), offset: z.number() })),
});

const POLL_INTERVAL_MS = 100;
const WAIT_LIMIT_MS = 10_000;

/**
 * Polls the daemons until they and all their known peers have confirmed
 * `offset`.
 *
 * On a timeout, prints the VMs that have not confirmed it.
 */
export async function waitUntilInForce(
  context: CommandContext,
  offset: Offset,
): Promise<ExitCode> {
  const { clock, settings } = context;
  const deadline = clock.now() + WAIT_LIMIT_MS;
  let missing: string[] = [];
  do {
    const answers = await fetchFromDaemons(
      clock,
      settings,
      OperatorQuery.Status,
    );
    const offsets = findOffsets(answers);
    missing = [...offsets]
      .filter(([, confirmed]) => confirmed < offset)
      .map(([vm]) => vm);
    if (missing.length === 0) {
      const text = `in force on ${offsets.size} VMs`;
      printValue(settings.output, { inForce: [...offsets.keys()] }, text);
      return ExitCode.Done;
    }
    await clock.sleep(POLL_INTERVAL_MS);
  } while (clock.now() < deadline);
  const text = `not in force on ${missing.join(", ")}`;
  printValue(settings.output, { notInForce: missing }, text);
  return ExitCode.NotInForce;
}

/** Finds the newest offset that each VM has confirmed, as far as is known. */
function findOffsets(answers: readonly DaemonAnswer[]): Map<string, Offset> {
  const offsets = new Map<string, Offset>();
  const record = (vm: string, offset: Offset): void =>
    void offsets.set(vm, Math.max(offsets.get(vm) ?? 0, offset));
  for (const answer of answers) {
    switch (answer.kind) {
      case DaemonAnswerKind.Failed:
        record(answer.daemon, 0);
        break;
      case DaemonAnswerKind.Answered: {
        const status = statusSchema.parse(answer.value);
        record(status.vm, status.offset);
        for (const peer of status.peers) record(peer.vm, peer.offset);
      }
    }
  }
  return offsets;
}
