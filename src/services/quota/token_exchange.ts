/** Interface by which the quota service exchanges tokens with other VMs. */
import type { TeamId, VmName } from "../../model/mod.ts";

/** Request to another VM for tokens. */
export interface TokenRequest {
  readonly team: TeamId;
  /** Number of tokens needed now; a hub may request a fraction of one. */
  readonly count: number;
  /** Number of tokens to prefetch; if not 0, the sender has none cached. */
  readonly spare: number;
  /** Identifies the request among those of its sender. */
  readonly id: number;
}

/** Response to a token request; the sender has deducted the tokens. */
export interface TokenGrant {
  /** Number of granted tokens, including prefetched ones; 0 for none. */
  readonly count: number;
  /** `id` of the request. */
  readonly id: number;
  /** Time until a token is expected if none is granted, in milliseconds. */
  readonly waitMs: number;
}

/** Another VM with which this VM exchanges tokens. */
export interface TokenPeer {
  readonly vm: VmName;
  /** Sends a token request; a lost request gets no response. */
  sendRequest(request: TokenRequest): void;
  /** Sends the response to a token request. */
  sendGrant(grant: TokenGrant): void;
  /** Returns the token of a caller's request that was not run. */
  sendReturned(team: TeamId): void;
}

/** Kinds of {@linkcode QuotaRole}. */
export enum QuotaRoleKind {
  /** No hub is usable; this VM has only its own share of each team's rate. */
  Standalone = "alone",
  /** A hub manages this VM's share. */
  Follower = "follower",
  /** This VM also manages the shares of the VMs that follow it. */
  Hub = "hub",
}

/**
 * Role of this VM in the token exchange, and the hubs that it may borrow from.
 */
export type QuotaRole =
  | {
    readonly kind: QuotaRoleKind.Standalone;
    /**
     * Whether it searches for a hub; if not, its hub is too slow to be used.
     */
    readonly isSearching: boolean;
  }
  | { readonly kind: QuotaRoleKind.Follower; readonly hub: TokenPeer }
  | {
    readonly kind: QuotaRoleKind.Hub;
    /** Number of VMs that have recently delegated their share to this one. */
    readonly followers: number;
    /**
     * Time that these VMs have not delegated yet, as a sum over them in
     * milliseconds.
     */
    readonly undelegatedMs: number;
    /** Hubs of other failure domains. */
    readonly hubs: readonly TokenPeer[];
  };

/**
 * Role of a VM that requests tokens, as seen by the receiver of the request.
 */
export enum RequesterKind {
  Follower = "follower",
  Hub = "hub",
}

/** Handles token messages and delegated refill time of other VMs. */
export interface TokenHandler {
  /**
   * Records that this VM is running; called for each heartbeat of the fleet.
   */
  recordTick(): void;
  /**
   * Collects the refill time that this VM delegates to its hub, in
   * milliseconds; undefined while it manages its share itself. No time is
   * collected twice, nor time that this VM has already turned into tokens.
   */
  collectElapsed(): number | undefined;
  /** Adds refill time that a follower delegated to this VM, in milliseconds. */
  addElapsed(ms: number): void;
  /** Handles a token request of another VM. */
  handleRequest(
    request: TokenRequest,
    requester: RequesterKind,
    peer: TokenPeer,
  ): void;
  /** Handles the response to a token request of this VM. */
  applyGrant(grant: TokenGrant): void;
  /** Adds a token that a follower returned. */
  addReturned(team: TeamId): void;
}

/** Access to the token exchange between VMs. */
export interface TokenExchange {
  /** Returns this VM's current role. */
  getQuotaRole(): QuotaRole;
  /**
   * Counts the VMs that share the rates, dead ones included; undefined while
   * unknown to this VM.
   */
  countTotalVms(): number | undefined;
  /** Sets the handler of incoming token messages. */
  setHandler(handler: TokenHandler): void;
}
