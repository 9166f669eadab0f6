/** Stand-in of a backend server that sends bytes until its caller closes. */
import { once } from "node:events";
import net from "node:net";
import type { AddressInfo, Socket } from "node:net";

/** Time between two pieces, so that one loop serves sender and receiver. */
const PIECE_PAUSE_MS = 1;
const PIECE_BYTES = 4_096;

/** What a server sends after a request. */
export interface EndlessAnswer {
  /** Sent once. */
  readonly start: string;
  /** Sent again and again. */
  readonly filler: string;
}

/** A running server. */
export interface EndlessServer {
  readonly port: number;
  /** Number of requests that it has begun to answer. */
  readonly requests: number;
  /** Connections on which it sends. */
  readonly sending: number;
  /** Bytes that it has sent. */
  readonly sentBytes: number;
  close(): void;
}

/** Starts a server on the loopback address. */
export async function startEndlessServer(
  answer: EndlessAnswer,
): Promise<EndlessServer> {
  const piece = Buffer.from(
    answer.filler.repeat(Math.ceil(PIECE_BYTES / answer.filler.length)),
  );
  const sockets = new Set<Socket>();
  const counts = { requests: 0, sending: 0, sentBytes: 0 };
  const server = net.createServer((socket) => {
    sockets.add(socket);
    socket.on("error", () => socket.destroy());
    socket.once("close", () => sockets.delete(socket));
    socket.once("data", () => void sendEndless(socket));
  });
  const sendEndless = async (socket: Socket): Promise<void> => {
    counts.requests += 1;
    counts.sending += 1;
    socket.write(answer.start);
    while (!socket.destroyed) {
      counts.sentBytes += piece.length;
      if (!socket.write(piece)) await waitForRoom(socket);
      await new Promise((resolve) => setTimeout(resolve, PIECE_PAUSE_MS));
    }
    counts.sending -= 1;
  };
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  return {
    port: (server.address() as AddressInfo).port,
    get requests() {
      return counts.requests;
    },
    get sending() {
      return counts.sending;
    },
    get sentBytes() {
      return counts.sentBytes;
    },
    close: () => {
      server.close();
      for (const socket of sockets) socket.destroy();
    },
  };
}

function waitForRoom(socket: Socket): Promise<void> {
  return new Promise((resolve) => {
    socket.once("drain", resolve);
    socket.once("close", resolve);
  });
}
