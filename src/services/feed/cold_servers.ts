/** Cold times of servers, from the entries that they write. */
import type { Server, ServerId } from "../../model/mod.ts";
import type { ServerEntry, ServerListing } from "./source.ts";

/**
 * Time by which a server's cold time may seem to end later because an entry
 * took longer to arrive than the earlier one, in milliseconds.
 */
const COLD_TOLERANCE_MS = 250;

/** Returns the monotonic time until which a server is cold by its entry. */
export function getColdUntil({ listedAt, coldMs }: Server): number {
  return (listedAt ?? -Infinity) + (coldMs ?? 0);
}

/**
 * Whether a server's cold time ends later than by its earlier entry: it has
 * become cold again without a new start. The entries in between repeat the same
 * end.
 */
export function isColdAgain(
  known: Server,
  { coldMs }: ServerEntry["server"],
  now: number,
): boolean {
  if (!coldMs) return false;
  return now + coldMs > getColdUntil(known) + COLD_TOLERANCE_MS;
}

/** Lists the entries of cold servers, with their remaining cold time. */
export function listCold(
  listings: readonly ServerListing[],
  servers: ReadonlyMap<ServerId, Server>,
  now: number,
): ServerListing[] {
  return listings.flatMap(({ offset, entry }) => {
    const known = servers.get(entry.server.id);
    const coldMs = known === undefined ? 0 : getColdUntil(known) - now;
    if (coldMs <= 0) return [];
    return [{
      offset,
      entry: { ...entry, server: { ...entry.server, coldMs } },
    }];
  });
}
