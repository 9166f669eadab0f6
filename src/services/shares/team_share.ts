/** State of one team on one VM: demand, borrowed tokens, backoff of peers. */
import type { VmName } from "../../model/mod.ts";
import { BorrowedTokens } from "./borrowed.ts";
import { Demand } from "./demand.ts";

/**
 * Minimum and maximum backoff after a peer lent too few tokens, in
 * milliseconds.
 */
const PAUSE_MIN_MS = 20;
const PAUSE_MAX_MS = 1_000;

/** State of a team that sends requests to this VM. */
export interface TeamShare {
  readonly borrowed: BorrowedTokens;
  readonly demand: Demand;
  /**
   * Monotonic time before which no further request is sent to a peer, by VM.
   */
  readonly askAgainAt: Map<string, number>;
  /** Next backoff of a peer in milliseconds, by VM. */
  readonly pauseMs: Map<string, number>;
  /** Monotonic time of the last request to a peer, by VM. */
  readonly askedAt: Map<string, number>;
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
    askAgainAt: new Map(),
    pauseMs: new Map(),
    askedAt: new Map(),
    search: undefined,
    waiting: 0,
  };
}

/** Response of a peer to a token request. */
export interface PeerAnswer {
  readonly vm: VmName;
  /** Whether the peer lent the wanted amount, or at least one whole token. */
  readonly isFull: boolean;
  /** Time in which the peer refills one whole token, in milliseconds. */
  readonly gainMs: number;
  readonly now: number;
}

/**
 * Sets how long no request is sent to a peer that lent too few tokens. The time
 * doubles with each such response, up to the time in which the peer refills.
 */
export function setPause(share: TeamShare, answer: PeerAnswer): void {
  const { vm, isFull, gainMs, now } = answer;
  if (isFull) {
    share.pauseMs.delete(vm);
    return;
  }
  const longestMs = Math.max(PAUSE_MIN_MS, Math.min(PAUSE_MAX_MS, gainMs));
  const pauseMs = Math.min(longestMs, share.pauseMs.get(vm) ?? PAUSE_MIN_MS);
  share.pauseMs.set(vm, pauseMs * 2);
  share.askAgainAt.set(vm, now + pauseMs);
}
