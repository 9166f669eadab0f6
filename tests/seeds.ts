/** Seeds of a test, which an environment variable can set. */

/** Parses a list of seeds and ranges of seeds, such as `1,5,10-20`. */
export function parseSeeds(text: string): number[] {
  return text.split(",").flatMap((range) => {
    const [first = NaN, last = first] = range.split("-").map(Number);
    return Array.from(
      { length: last - first + 1 },
      (_, index) => first + index,
    );
  });
}
