/** Rendezvous hashing, with the same results on every VM. */

const FNV_OFFSET_BASIS = 0x811c9dc5;
const FNV_PRIME = 0x01000193;
const UINT32_RANGE = 4_294_967_296;

/** Computes a 32-bit hash: FNV-1a, then MurmurHash3's finalizer to mix it. */
export function computeHash(text: string): number {
  let hash = FNV_OFFSET_BASIS;
  for (let index = 0; index < text.length; index += 1) {
    hash = Math.imul(hash ^ text.charCodeAt(index), FNV_PRIME);
  }
  hash = Math.imul(hash ^ (hash >>> 16), 0x85ebca6b);
  hash = Math.imul(hash ^ (hash >>> 13), 0xc2b2ae35);
  return (hash ^ (hash >>> 16)) >>> 0;
}

/** Lists items by descending score; items of equal score keep their order. */
export function listRanked<T>(
  items: readonly T[],
  getScore: (item: T) => number,
): T[] {
  const scored = items.map((item) => ({ item, score: getScore(item) }));
  scored.sort((left, right) => right.score - left.score);
  return scored.map(({ item }) => item);
}

/**
 * Computes the score of weighted rendezvous hashing.
 *
 * Over many keys, an item has the highest score of all in proportion to its
 * weight.
 */
export function computeWeightedScore(text: string, weight: number): number {
  const uniform = (computeHash(text) + 0.5) / UINT32_RANGE;
  return weight / -Math.log(uniform);
}
