/** WebSocket connections between daemons. */
import type { AddressInfo } from "node:net";
import { WebSocket, WebSocketServer } from "ws";
import { PEER_TIMEOUT_MS } from "../../constants.ts";
import { Channel } from "../../kernel/mod.ts";
import type { HandlerBoundary } from "../../kernel/mod.ts";
import type {
  PeerConnection,
  PeerTraffic,
  PeerTransport,
} from "../../services/membership/transport.ts";
import type { Address } from "../../settings/mod.ts";

/** Encodes and decodes messages. */
export interface MessageCodec<Message> {
  encode(message: Message): Uint8Array;
  /** Returns undefined if the bytes are not a valid message. */
  decode(bytes: Uint8Array): Message | undefined;
}

const MAX_MESSAGE_BYTES = 16_777_216;
/**
 * Bytes of received messages beyond which a link is not read until they are
 * handled. The messages of a few seconds take some kilobytes.
 */
const UNREAD_LIMIT_BYTES = 1_048_576;
/**
 * Bytes waiting to be sent beyond which a link is closed, since its peer reads
 * too slowly. The largest list of servers takes about half of it.
 */
const UNSENT_LIMIT_BYTES = 2 * MAX_MESSAGE_BYTES;
/** Size of the frame header of a short message (up to 125 bytes). */
const FRAME_HEADER_BYTES = 2;
/** Size of the mask that a client adds to each frame. */
const MASK_BYTES = 4;

interface TrafficCounts {
  sentBytes: number;
  receivedBytes: number;
  sentMessages: number;
}

/** A received message and its size. */
interface ReceivedMessage<Message> {
  readonly message: Message;
  readonly bytes: number;
}

/** A WebSocket connection to one peer. */
class WebSocketConnection<Message> implements PeerConnection<Message> {
  readonly #socket: WebSocket;
  readonly #counts: TrafficCounts;
  readonly #codec: MessageCodec<Message>;
  readonly #boundary: HandlerBoundary;
  readonly #peer: string;
  readonly #received = new Channel<ReceivedMessage<Message>>();
  #unreadBytes = 0;
  readonly #overheadBytes: number;

  constructor(
    socket: WebSocket,
    codec: MessageCodec<Message>,
    counts: TrafficCounts,
    isClient: boolean,
    boundary: HandlerBoundary,
    peer: string,
  ) {
    this.#socket = socket;
    this.#codec = codec;
    this.#counts = counts;
    this.#boundary = boundary;
    this.#peer = peer;
    this.#overheadBytes = FRAME_HEADER_BYTES + (isClient ? MASK_BYTES : 0);
    socket.on("message", (data) => {
      boundary.run(
        peer,
        () => this.#handleMessage(data as Uint8Array),
        () => this.close(),
      );
    });
    socket.on("close", () => this.#received.close());
    socket.on("error", () => socket.terminate());
  }

  send(message: Message): void {
    if (this.#socket.readyState !== WebSocket.OPEN) return;
    if (this.#socket.bufferedAmount > UNSENT_LIMIT_BYTES) {
      return this.#closeSlow(new Error("the peer reads too slowly"));
    }
    const bytes = this.#codec.encode(message);
    this.#counts.sentBytes += bytes.length + this.#overheadBytes;
    this.#counts.sentMessages += 1;
    this.#socket.send(bytes);
  }

  async *listMessages(): AsyncGenerator<Message, void, undefined> {
    for await (const { message, bytes } of this.#received) {
      this.#unreadBytes -= bytes;
      if (this.#unreadBytes <= UNREAD_LIMIT_BYTES) this.#socket.resume();
      yield message;
    }
  }

  close(): void {
    this.#received.close();
    this.#socket.terminate();
  }

  #handleMessage(bytes: Uint8Array): void {
    this.#counts.receivedBytes += bytes.length + FRAME_HEADER_BYTES;
    const message = this.#codec.decode(bytes);
    if (message === undefined) return;
    this.#unreadBytes += bytes.length;
    this.#received.send({ message, bytes: bytes.length });
    if (this.#unreadBytes > UNREAD_LIMIT_BYTES) this.#socket.pause();
  }

  /** Closes the link because of its peer; the boundary logs and counts it. */
  #closeSlow(cause: Error): void {
    this.#boundary.run(
      this.#peer,
      () => Promise.reject(cause),
      () => this.close(),
    );
  }
}

/** Creates a transport that listens on `address` after `open` is called. */
export function createWebSocketTransport<Message>(
  address: Address,
  codec: MessageCodec<Message>,
  boundary: HandlerBoundary,
): PeerTransport<Message> {
  const counts: TrafficCounts = {
    sentBytes: 0,
    receivedBytes: 0,
    sentMessages: 0,
  };
  const accepted = new Channel<PeerConnection<Message>>();
  let server: WebSocketServer | undefined;
  return {
    open: async () => {
      server = await openServer(address);
      server.on("error", (error) => {
        boundary.run("listener", () => Promise.reject(error), () => {});
      });
      server.on("connection", (socket, { socket: { remoteAddress } }) => {
        const peer = remoteAddress ?? "";
        accepted.send(
          new WebSocketConnection(socket, codec, counts, false, boundary, peer),
        );
      });
    },
    get address() {
      const bound = server?.address() as AddressInfo | undefined;
      return `${address.host}:${bound?.port ?? address.port}`;
    },
    listAccepted: () => accepted,
    connect: (peerAddress, signal) =>
      connectToPeer(peerAddress, signal, codec, counts, boundary),
    close: async () => {
      accepted.close();
      await closeServer(server);
    },
    get traffic(): PeerTraffic {
      return { ...counts };
    },
  };
}

function openServer(address: Address): Promise<WebSocketServer> {
  return new Promise((resolve, reject) => {
    const server = new WebSocketServer({
      host: address.host,
      port: address.port,
      maxPayload: MAX_MESSAGE_BYTES,
      perMessageDeflate: false,
    });
    server.once("error", reject);
    server.once("listening", () => resolve(server));
  });
}

function closeServer(server: WebSocketServer | undefined): Promise<void> {
  if (server === undefined) return Promise.resolve();
  return new Promise((resolve) => {
    for (const client of server.clients) client.terminate();
    server.close(() => resolve());
  });
}

function connectToPeer<Message>(
  address: string,
  signal: AbortSignal,
  codec: MessageCodec<Message>,
  counts: TrafficCounts,
  boundary: HandlerBoundary,
): Promise<PeerConnection<Message> | undefined> {
  const socket = createClientSocket(address);
  if (socket === undefined) return Promise.resolve(undefined);
  const cancel = (): void => socket.terminate();
  signal.addEventListener("abort", cancel, { once: true });
  return new Promise((resolve) => {
    socket.once("open", () => {
      resolve(
        new WebSocketConnection(
          socket,
          codec,
          counts,
          true,
          boundary,
          address,
        ),
      );
    });
    socket.on("error", () => resolve(undefined));
    socket.once("close", () => {
      signal.removeEventListener("abort", cancel);
      resolve(undefined);
    });
  });
}

/**
 * Starts to connect to `address`; returns undefined if it is not `host:port`.
 * The client throws for some addresses that `URL` can parse.
 */
function createClientSocket(address: string): WebSocket | undefined {
  try {
    return new WebSocket(`ws://${address}`, {
      handshakeTimeout: PEER_TIMEOUT_MS,
      maxPayload: MAX_MESSAGE_BYTES,
      perMessageDeflate: false,
    });
  } catch {
    return undefined;
  }
}
