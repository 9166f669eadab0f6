/** Servers that are retained for a while although their entry is missing. */
import type { Offset, ServerId } from "../../model/mod.ts";

/**
 * Time after an outage or a restore of the store in which a missing entry may
 * be written again; the platform guarantees about two seconds.
 */
const EXPIRY_GRACE_MS = 2_200;

/** Why the entry of a server that is retained may be missing. */
export enum MissingCause {
  /** It expired while the server could not reach the store. */
  Outage = "outage",
  /** The store was restored from a copy that did not contain it. */
  NewEra = "new_era",
}

/** A server that is retained although its entry is missing. */
export interface MissingServer {
  readonly id: ServerId;
  readonly cause: MissingCause;
  /** Offset at which the entry was found missing. */
  readonly offset: Offset;
  /** Monotonic time at which the server is removed, in milliseconds. */
  readonly until: number;
}

/** Grace periods after outages and restores, and the servers retained. */
export class MissingServers {
  readonly #servers = new Map<ServerId, MissingServer>();
  /** Monotonic times until which a missing entry may be due to each cause. */
  readonly #graceUntil = {
    [MissingCause.Outage]: -Infinity,
    [MissingCause.NewEra]: -Infinity,
  };

  /** Number of servers that are retained. */
  get size(): number {
    return this.#servers.size;
  }

  /** Lists the servers that are retained. */
  list(): MissingServer[] {
    return [...this.#servers.values()];
  }

  /** Finds a server that is retained. */
  find(id: ServerId): MissingServer | undefined {
    return this.#servers.get(id);
  }

  /** Whether the grace period of a cause has not ended. */
  isGrace(cause: MissingCause, now: number): boolean {
    return now < this.#graceUntil[cause];
  }

  /** Starts the grace period of a cause, also of servers retained already. */
  start(cause: MissingCause, now: number): void {
    const until = now + EXPIRY_GRACE_MS;
    this.#graceUntil[cause] = until;
    for (const server of this.#servers.values()) {
      const isRestored = cause === MissingCause.NewEra;
      this.#servers.set(server.id, {
        ...server,
        cause: isRestored ? cause : server.cause,
        until,
      });
    }
  }

  /** Retains a server; returns false if no grace period lasts. */
  tryAdd(id: ServerId, offset: Offset, now: number): boolean {
    const causes = [MissingCause.NewEra, MissingCause.Outage];
    const cause = causes.find((known) => this.isGrace(known, now));
    if (cause === undefined) return false;
    if (this.#servers.has(id)) return true;
    const until = Math.max(...Object.values(this.#graceUntil));
    this.#servers.set(id, { id, cause, offset, until });
    return true;
  }

  /** Ends the retention of a server; returns whether it was retained. */
  remove(id: ServerId): boolean {
    return this.#servers.delete(id);
  }

  /** Ends the retention of all servers. */
  removeAll(): void {
    this.#servers.clear();
  }
}
