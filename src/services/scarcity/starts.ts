/** Number of waiting requests that a VM starts at a check. */
import type { Random } from "../random/mod.ts";
import {
  computeFreeSlots,
  computeOwnShare,
  computeStartLimitMs,
} from "./assessment.ts";
import type { Assessment } from "./assessment.ts";
import { getSlackMs } from "./service_state.ts";
import type { ServiceState } from "./service_state.ts";

/**
 * Time after which all VMs know of a start, in milliseconds: the reports of two
 * hubs. Slots that are free are taken over this time, because a VM that takes
 * its share at once takes it again until the others' starts are known.
 */
const PROPAGATION_MS = 250;
/** Excess of requests in flight at which no ended request is replaced. */
const NO_REPLACEMENT_RATIO = 0.2;

/**
 * Computes how many waiting requests start now.
 *
 * A request that ends is replaced by a waiting one of the same VM, which keeps
 * the number in flight and needs no view of the others. In addition, each VM
 * takes its share of the slots that the view shows as free.
 */
export function computeStarts(
  state: ServiceState,
  assessment: Assessment,
  random: Random,
): number {
  const first = state.waiting.getFirst();
  if (first === undefined) return 0;
  const { view, now } = assessment;
  const level = state.waiting.getLevel(first);
  const limitMs = computeStartLimitMs(assessment, level, getSlackMs(first));
  const free = computeFreeSlots(assessment, level, limitMs);
  const share = computeOwnShare(assessment, level);
  const ageMs = Number.isFinite(view.ageMs) ? view.ageMs : 0;
  const elapsedMs = now - state.checkedAt;
  const part = Math.min(1, elapsedMs / (PROPAGATION_MS + ageMs));
  const excess = Math.max(0, -free) / Math.max(1, view.slots);
  const replaced = Math.max(0, 1 - excess / NO_REPLACEMENT_RATIO);
  const expected = Math.max(0, free) * share * part +
    state.completions * replaced;
  // The fraction is drawn, so that many VMs with small shares start their sum.
  const drawn = Math.floor(expected) + (random() < expected % 1 ? 1 : 0);
  return Math.min(drawn, countLevel(state, level));
}

/** Counts the waiting requests of a level. */
function countLevel({ waiting }: ServiceState, level: number): number {
  return waiting.list().filter((item) => waiting.getLevel(item) === level)
    .length;
}
