/** One team as one VM serves it: demand, borrowed tokens, whom to ask. */
import type { VmName } from "../../model/mod.ts";
import { BorrowedTokens } from "./borrowed.ts";
import { Demand } from "./demand.ts";

const PAUSE_MIN_MS = 20;
const PAUSE_MAX_MS = 1_000;

/** What this VM knows of one team that sends it requests. */
export interface TeamShare {
  readonly borrowed: BorrowedTokens;
  readonly demand: Demand;
  /** Time before which each peer is not asked again. */
  readonly askAgainAt: Map<string, number>;
  readonly pauseMs: Map<string, number>;
  /** When each peer was asked last. */
  readonly askedAt: Map<string, number>;
  /** The search for tokens under way; undefined when there is none. */
  search: Promise<boolean> | undefined;
  /** Requests that wait for the search. */
  waiting: number;
}

/** Creates the share of a team that has sent nothing yet. */
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

/** How a peer answered a request for tokens. */
export interface PeerAnswer {
  readonly vm: VmName;
  /** Whether it lent what was wanted, or a whole token at least. */
  readonly isFull: boolean;
  /** Time in which it gains as much as is worth asking for, in milliseconds. */
  readonly gainMs: number;
  readonly now: number;
}

/** Leaves a peer without tokens alone for a while, longer each time. */
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
