/**
 * Stand-in for a backend server that sends bytes until the client closes the
 * connection.
 */
import { once } from "node:events";
import net from "node:net";
import type { AddressInfo, Socket } from "node:net";

/**
 * Interval between two writes in milliseconds; the server and the code under
 * test share one event loop, which the writes must not block.
 */
const CHUNK_INTERVAL_MS = 1;
const CHUNK_BYTES = 4_096;

/** Bytes that the server sends after each request. */
export interface EndlessResponse {
  /** Sent once, at the start. */
  readonly start: string;
  /** Sent repeatedly after the start. */
  readonly filler: string;
}

/** A running endless server. */
export interface EndlessServer {
  /** TCP port on the loopback address. */
  readonly port: number;
  /** Number of requests to which it has started to respond. */
  readonly requests: number;
  /** Number of connections on which it is currently sending. */
  readonly sending: number;
  /** Number of bytes sent on all connections. */
  readonly sentBytes: number;
  /** Closes the listener and all connections. */
  close(): void;
}

/** Starts an endless server on a free loopback port. */
export async function startEndlessServer(
  response: EndlessResponse,
): Promise<EndlessServer> {
  const chunk = Buffer.from(
    response.filler.repeat(Math.ceil(CHUNK_BYTES / response.filler.length)),
  );
  const sockets = new Set<Socket>();
  const counts = { requests: 0, sending: 0, sentBytes: 0 };
  const server = net.createServer((socket) => {
    sockets.add(socket);
    socket.on("error", () => socket.destroy());
    socket.once("close", () => sockets.delete(socket));
    socket.once("data", () => void sendEndlessResponse(socket));
  });
  const sendEndlessResponse = async (socket: Socket): Promise<void> => {
    counts.requests += 1;
    counts.sending += 1;
    socket.write(response.start);
    while (!socket.destroyed) {
      counts.sentBytes += chunk.length;
      if (!socket.write(chunk)) await waitForDrain(socket);
      await new Promise((resolve) => setTimeout(resolve, CHUNK_INTERVAL_MS));
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

function waitForDrain(socket: Socket): Promise<void> {
  return new Promise((resolve) => {
    socket.once("drain", resolve);
    socket.once("close", resolve);
  });
}
