/** Connections between daemons, independent of the transport protocol. */
import type { PeerMessage } from "./peer_message.ts";

/** A connection to one peer. */
export interface PeerConnection<Message = PeerMessage> {
  /** Sends a message; silently drops one that can't be sent. */
  send(message: Message): void;
  /** Yields received messages until the connection closes. */
  listMessages(): AsyncIterable<Message>;
  /** Closes the connection. */
  close(): void;
}

/** Opens and accepts connections between daemons. */
export interface PeerTransport<Message = PeerMessage> {
  /** Opens the listener; rejects if the address is in use. */
  open(): Promise<void>;
  /** `host:port` on which this daemon accepts peers. */
  readonly address: string;
  /** Yields connections that peers opened, until the listener closes. */
  listAccepted(): AsyncIterable<PeerConnection<Message>>;
  /** Connects to a peer; resolves to undefined on failure. */
  connect(
    address: string,
    signal: AbortSignal,
  ): Promise<PeerConnection<Message> | undefined>;
  /** Closes the listener and its connections. */
  close(): Promise<void>;
  /** Messages and bytes sent and received so far. */
  readonly traffic: PeerTraffic;
}

/** Traffic between daemons; bytes include the frame headers. */
export interface PeerTraffic {
  readonly sentBytes: number;
  readonly receivedBytes: number;
  readonly sentMessages: number;
}

/** An entry of the platform's VM list. */
export interface ListedVm {
  readonly name: string;
  /** `host:port` on which the VM accepts peers. */
  readonly peerAddress: string;
  readonly leaving: boolean;
}

/** Reads the platform's VM list, which lags behind the actual VMs. */
export interface VmListClient {
  /** Reads the list; resolves to undefined on failure. */
  fetchVms(): Promise<readonly ListedVm[] | undefined>;
}
