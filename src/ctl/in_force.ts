/** Waits until an offset is in force on every daemon that is asked. */
import type { Offset } from "../model/mod.ts";
import { OperatorQuery } from "../services/operator_front/mod.ts";
import type { CommandContext } from "./command.ts";
import { DaemonAnswerKind, fetchFromDaemons } from "./daemons.ts";
import type { DaemonAnswer } from "./daemons.ts";
import { ExitCode, printValue } from "./output.ts";

const POLL_INTERVAL_MS = 100;
const WAIT_LIMIT_MS = 10_000;

/**
 * Polls the daemons until all confirm `offset`.
 *
 * Prints which daemons do not, when the time runs out.
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
    missing = answers.filter((answer) => !hasOffset(answer, offset))
      .map((answer) => answer.daemon);
    if (missing.length === 0) {
      const text = `in force on ${answers.length} daemons`;
      printValue(settings.output, { inForce: answers.length }, text);
      return ExitCode.Done;
    }
    await clock.sleep(POLL_INTERVAL_MS);
  } while (clock.now() < deadline);
  const text = `not in force on ${missing.join(", ")}`;
  printValue(settings.output, { notInForce: missing }, text);
  return ExitCode.NotInForce;
}

function hasOffset(answer: DaemonAnswer, offset: Offset): boolean {
  switch (answer.kind) {
    case DaemonAnswerKind.Failed:
      return false;
    case DaemonAnswerKind.Answered:
      return Number(answer.value["offset"]) >= offset;
  }
}
