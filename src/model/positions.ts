/**
 * Positions in a topic of the store: the store's era and an offset in it.
 *
 * The era increases whenever the store was restored from an old copy, after
 * which offsets are assigned again. Both are combined in one number, so that
 * every position of a later era is after all positions of earlier ones.
 */
import type { Offset } from "./ids.ts";

/** Number of offsets of one era. */
const OFFSETS_PER_ERA = 2 ** 32;
/** Maximum era whose positions are exact as numbers. */
export const ERA_MAX: number = 2 ** 21 - 1;
/** Maximum offset within an era. */
export const ERA_OFFSET_MAX: number = OFFSETS_PER_ERA - 1;

/** Creates the position of an offset in an era. */
export function createPosition(era: number, offset: number): Offset {
  return era * OFFSETS_PER_ERA + offset;
}

/** Returns the era of a position. */
export function getEra(position: Offset): number {
  return Math.floor(position / OFFSETS_PER_ERA);
}

/** Returns the offset of a position within its era. */
export function getOffsetInEra(position: Offset): number {
  return position - getEra(position) * OFFSETS_PER_ERA;
}
