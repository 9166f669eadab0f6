/** State of one team on one VM: demand, borrowed tokens, backoff of peers. */
import type { VmName } from "../../model/mod.ts";
import { BorrowedTokens } from "./borrowed.ts";
import { Demand } from "./demand.ts";

/**
 * Minimum and maximum backoff after a peer lent too few tokens, in
 * milliseconds.
 */
const BACKOFF_MIN_MS = 20;
const BACKOFF_MAX_MS = 1_000;

/** State of a team that sends requests to this VM. */
export interface TeamShare {
  readonly borrowed: BorrowedTokens;
  readonly demand: Demand;
  /**
   * Monotonic time before which no further request is sent to a peer, by VM.
   */
  readonly retryAt: Map<string, number>;
  /** Next backoff of a peer in milliseconds, by VM. */
  readonly backoffMs: Map<string, number>;
  /** Monotonic time of the last request to a peer, by VM. */
  readonly requestedAt: Map<string, number>;
  /**
   * Running search for tokens; resolves to whether any request was sent.
   * Undefined if no search is running.
   */
  search: Promise<boolean> | undefined;
  /** Number of requests that wait for the search. */
  waiting: number;
}

/** Creates the state of a team that has sent no requests yet. */
export function createTeamShare(now: number): TeamShare {
  return {
    borrowed: new BorrowedTokens(),
    demand: new Demand(now),
    retryAt: new Map(),
    backoffMs: new Map(),
    requestedAt: new Map(),
    search: undefined,
    waiting: 0,
  };
}

/** Response of a peer to a token request. */
export interface PeerResponse {
  readonly vm: VmName;
  /** Whether the peer lent the wanted amount, or at least one whole token. */
  readonly isSufficient: boolean;
  /** Time in which the peer refills one whole token, in milliseconds. */
  readonly refillMs: number;
  readonly now: number;
}

/**
 * Sets how long no request is sent to a peer that lent too few tokens. The time
 * doubles with each such response, up to the time in which the peer refills.
 */
export function setBackoff(share: TeamShare, response: PeerResponse): void {
  const { vm, isSufficient, refillMs, now } = response;
  if (isSufficient) {
    share.backoffMs.delete(vm);
    return;
  }
  const maxBackoffMs = Math.max(
    BACKOFF_MIN_MS,
    Math.min(BACKOFF_MAX_MS, refillMs),
  );
  const backoffMs = Math.min(
    maxBackoffMs,
    share.backoffMs.get(vm) ?? BACKOFF_MIN_MS,
  );
  share.backoffMs.set(vm, backoffMs * 2);
  share.retryAt.set(vm, now + backoffMs);
}
