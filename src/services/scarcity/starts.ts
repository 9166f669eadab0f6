/** Number of waiting requests that a VM starts at a check. */
import type { Random } from "../random/mod.ts";
import {
  computeFreeSlots,
  computeOwnShare,
  computeStartLimitMs,
} from "./assessment.ts";
import type { Assessment } from "./assessment.ts";
import { computeInFlight } from "./capacity_view.ts";
import { getSlackMs } from "./service_state.ts";
import type { ServiceState } from "./service_state.ts";

/**
 * Time over which free slots are taken, in milliseconds. All VMs know of a start
 * after about 250 ms, the reports of two hubs; a VM that takes its share sooner
 * takes it again before it knows of the others' starts. From 2.5 times that
 * delay the number in flight does not oscillate.
 */
const SETTLING_MS = 600;
/** The same for each millisecond by which the view is older. */
const SETTLING_PER_AGE_MS = 2.5;
/** Excess of requests in flight at which no ended request is replaced. */
const NO_REPLACEMENT_RATIO = 1;

/**
 * Computes how many waiting requests start now.
 *
 * All VMs together replace the requests that end, less those that more urgent
 * levels start without a wait, and take the slots that the view shows as free.
 * Each VM's share is that of the waiting work.
 */
export function computeStarts(
  state: ServiceState,
  assessment: Assessment,
  random: Random,
): number {
  const first = state.waiting.getFirst();
  if (first === undefined) return 0;
  const { view, shares, now } = assessment;
  // Without servers no wait helps; the request fails with that cause.
  if (view.slots === 0) return state.waiting.size;
  const level = state.waiting.getLevel(first);
  const slackMs = getSlackMs(first, state, now);
  const limitMs = computeStartLimitMs(assessment, level, slackMs);
  const free = computeFreeSlots(assessment, level, limitMs);
  const ageMs = Number.isFinite(view.ageMs) ? view.ageMs : 0;
  const settlingMs = SETTLING_MS + ageMs * SETTLING_PER_AGE_MS;
  const elapsedMs = now - state.checkedAt;
  const taken = Math.max(0, free) * Math.min(1, elapsedMs / settlingMs);
  const excess = Math.max(0, -free) / view.slots;
  const replacedMs = Math.min(computeInFlight(view), view.slots) * elapsedMs *
    (1 - shares.getMoreUrgentRatio(level, now)) *
    Math.max(0, 1 - excess / NO_REPLACEMENT_RATIO);
  const expected = computeOwnShare(assessment, level) *
    (taken + replacedMs / Math.max(1, first.workMs));
  // The fraction is drawn, so that many VMs with small shares start their sum.
  const drawn = Math.floor(expected) + (random() < expected % 1 ? 1 : 0);
  return Math.min(drawn, countLevel(state, level));
}

/** Counts the waiting requests of a level. */
function countLevel({ waiting }: ServiceState, level: number): number {
  return waiting.list().filter((item) => waiting.getLevel(item) === level)
    .length;
}
