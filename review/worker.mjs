/**
 * Stand-in for a worker. It reads a whole request, waits for one of its slots,
 * works, and answers with a digest of the body that it was given.
 */
import { createHash } from "node:crypto";
import http from "node:http";

const QUEUE_LIMIT = 16;

/**
 * Starts a worker; `onRun` is called when it begins to work on a request. It
 * answers a request for which `isEmpty` is true with 204, which has no body.
 */
export async function startWorker(
  { host, id, slots, getWorkMs, onRun, isEmpty = () => false },
) {
  let running = 0;
  const waiting = [];
  const getLoad = () => `${running},${waiting.length},${slots}`;
  const server = http.createServer((request, response) => {
    const chunks = [];
    request.on("data", (chunk) => chunks.push(chunk));
    // A request that breaks off isn't run.
    request.on("error", () => response.destroy());
    request.on("end", () => void serve(request, response, chunks));
  });
  server.keepAliveTimeout = 10_000;

  async function serve(request, response, chunks) {
    const { headers } = request;
    const attempt = headers["rhubarbwall-attempt-id"];
    if (request.url === "/health") {
      response.writeHead(200, {
        "rhubarbwall-instance-id": id,
        "rhubarbwall-server-load": getLoad(),
      }).end();
      return;
    }
    const common = {
      "rhubarbwall-server-load": getLoad(),
      ...(attempt !== undefined && { "rhubarbwall-attempt-id": attempt }),
    };
    const expected = headers["rhubarbwall-expected-instance"];
    if (expected !== undefined && expected !== id) {
      response.writeHead(421, { "rhubarbwall-instance-id": id }).end();
      return;
    }
    if (running >= slots && waiting.length >= QUEUE_LIMIT) {
      response.writeHead(503, {
        ...common,
        "rhubarbwall-not-executed": "1",
        "content-length": "0",
      }).end();
      return;
    }
    if (running >= slots) await new Promise((resolve) => waiting.push(resolve));
    running += 1;
    const body = Buffer.concat(chunks);
    const sha256 = createHash("sha256").update(body).digest("hex");
    if (!request.socket.destroyed) {
      onRun({
        attempt,
        worker: id,
        method: request.method,
        target: request.url,
        bytes: body.length,
        sha256,
        at: Date.now(),
      });
      const workMs = getWorkMs();
      const leftMs = Number(headers["rhubarbwall-deadline-remaining"]);
      await new Promise((resolve) =>
        setTimeout(resolve, Math.min(workMs, leftMs))
      );
      const isLate = workMs > leftMs;
      const signed = {
        ...common,
        "rhubarbwall-server-load": getLoad(),
        "rhubarbwall-response-signature": `signed-by-${id}`,
      };
      if (!isLate && isEmpty(request.url)) {
        response.writeHead(204, signed).end();
      } else {
        const answer = JSON.stringify({ bytes: body.length, sha256 });
        response.writeHead(isLate ? 504 : 200, {
          ...signed,
          "content-length": String(answer.length),
        }).end(answer);
      }
    }
    running -= 1;
    waiting.shift()?.();
  }

  await new Promise((resolve, reject) => {
    server.once("error", reject);
    server.listen(0, host, resolve);
  });
  return {
    id,
    slots,
    address: `${host}:${server.address().port}`,
    close: () => {
      server.close();
      server.closeAllConnections();
    },
  };
}
