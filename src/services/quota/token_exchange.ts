/** How VMs pass tokens of teams to each other; a port of the quota service. */
import type { TeamId, VmName } from "../../model/mod.ts";

/** Asks another VM for tokens. */
export interface TokenAsk {
  readonly team: TeamId;
  /** Tokens that are wanted at once; a hub may want a part of one. */
  readonly count: number;
  /** Tokens to hold ready; the sender holds none then. */
  readonly spare: number;
  /** Names the ask among those of its sender. */
  readonly id: number;
}

/** Answers an ask; the giver has set the tokens aside. */
export interface TokenGrant {
  /** Tokens that are given, those to hold ready included; 0 for none. */
  readonly count: number;
  /** The ask's `id`. */
  readonly id: number;
  /** Time until a token is expected where none is given, in milliseconds. */
  readonly waitMs: number;
}

/** Another VM, as far as tokens are concerned. */
export interface TokenPeer {
  readonly vm: VmName;
  /** Asks for tokens; an ask that is lost gets no answer. */
  sendAsk(ask: TokenAsk): void;
  /** Answers an ask. */
  sendGrant(grant: TokenGrant): void;
  /** Returns a token of a request that was not run. */
  sendReturned(team: TeamId): void;
}

/** Kinds of {@linkcode Standing}. */
export enum StandingKind {
  /** No hub can be asked: this VM has its own part of each team's rate. */
  Alone = "alone",
  /** A hub has this VM's part. */
  Follower = "follower",
  /** This VM has the parts of the VMs that follow it. */
  Hub = "hub",
}

/** Who has this VM's part of each team's rate, and whom it may ask. */
export type Standing =
  | {
    readonly kind: StandingKind.Alone;
    /** Whether it looks for a hub; else its hub is too slow to be asked. */
    readonly isSearching: boolean;
  }
  | { readonly kind: StandingKind.Follower; readonly hub: TokenPeer }
  | {
    readonly kind: StandingKind.Hub;
    /** VMs that have left their part to this one, as of late. */
    readonly followers: number;
    /** Time of theirs that they have not left yet, in milliseconds in sum. */
    readonly notLeftMs: number;
    /** Hubs of other failure domains. */
    readonly hubs: readonly TokenPeer[];
  };

/** What a VM that asks is to the one that is asked. */
export enum AskerKind {
  Follower = "follower",
  Hub = "hub",
}

/** Keeps this VM's tokens. */
export interface TokenKeeper {
  /** Takes note that time passes, at each beat of the fleet. */
  recordBeat(): void;
  /**
   * Takes the time whose tokens this VM leaves to its hub, in milliseconds;
   * undefined while it keeps its part itself. No time is taken twice, and none
   * that this VM has made tokens of.
   */
  takeElapsed(): number | undefined;
  /** Adds time that a follower has left to this VM, in milliseconds. */
  addElapsed(ms: number): void;
  /** Answers an ask of another VM. */
  answerAsk(ask: TokenAsk, asker: AskerKind, peer: TokenPeer): void;
  /** Takes the answer to an ask of this VM. */
  applyGrant(grant: TokenGrant): void;
  /** Takes a token back. */
  addReturned(team: TeamId): void;
}

/** The other VMs. */
export interface TokenExchange {
  getStanding(): Standing;
  /**
   * Counts the VMs that may have a part of the rate, dead ones included;
   * undefined while this VM does not know.
   */
  countHolders(): number | undefined;
  /** Sets who keeps this VM's tokens. */
  setKeeper(keeper: TokenKeeper): void;
}
