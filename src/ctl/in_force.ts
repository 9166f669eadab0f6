/** Waits until an offset is in force on all daemons and their peers. */
import * as z from "zod";
import type { Offset } from "../model/mod.ts";
import { OperatorQuery } from "../services/operator_front/mod.ts";
import type { CommandContext } from "./command.ts";
import { DaemonResponseKind, fetchFromDaemons } from "./daemons.ts";
import type { DaemonResponse } from "./daemons.ts";
import { ExitCode, printValue } from "./output.ts";

const statusSchema = z.object({
  vm: z.string(),
  offset: z.number(),
  peers: z.array(z.object({ vm: z.string(), offset: z.number() })),
});

const POLL_INTERVAL_MS = 100;
const WAIT_TIMEOUT_MS = 10_000;

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
  const deadline = clock.now() + WAIT_TIMEOUT_MS;
  let pendingVms: string[] = [];
  do {
    const responses = await fetchFromDaemons(
      clock,
      settings,
      OperatorQuery.Status,
    );
    const offsets = findOffsets(responses);
    pendingVms = [...offsets]
      .filter(([, confirmed]) => confirmed < offset)
      .map(([vm]) => vm);
    if (pendingVms.length === 0) {
      const text = `in force on ${offsets.size} VMs`;
      printValue(settings.output, { inForce: [...offsets.keys()] }, text);
      return ExitCode.Done;
    }
    await clock.sleep(POLL_INTERVAL_MS);
  } while (clock.now() < deadline);
  const text = `not in force on ${pendingVms.join(", ")}`;
  printValue(settings.output, { notInForce: pendingVms }, text);
  return ExitCode.NotInForce;
}

/** Finds the newest offset that each VM has confirmed, as far as is known. */
function findOffsets(
  responses: readonly DaemonResponse[],
): Map<string, Offset> {
  const offsets = new Map<string, Offset>();
  const record = (vm: string, offset: Offset): void =>
    void offsets.set(vm, Math.max(offsets.get(vm) ?? 0, offset));
  for (const response of responses) {
    switch (response.kind) {
      case DaemonResponseKind.Failed:
        record(response.daemon, 0);
        break;
      case DaemonResponseKind.Responded: {
        const status = statusSchema.parse(response.value);
        record(status.vm, status.offset);
        for (const peer of status.peers) record(peer.vm, peer.offset);
      }
    }
  }
  return offsets;
}
