/** Stand-in for clients and for the platform's readiness checks. */
import { randomBytes } from "node:crypto";
import http from "node:http";

/**
 * Sends one request; resolves to its answer, or to an error's code. `isKept` is
 * whether it went out on a connection that had been used before.
 */
export function send(options, chunks = []) {
  return new Promise((resolve) => {
    const request = http.request(options, (response) => {
      const parts = [];
      response.on("data", (part) => parts.push(part));
      response.on("error", (error) => resolve({ error: error.code }));
      response.on("end", () => {
        if (!response.complete) return resolve({ error: "INCOMPLETE" });
        resolve({
          status: response.statusCode,
          headers: response.headers,
          body: Buffer.concat(parts).toString("utf8"),
        });
      });
    });
    request.on(
      "error",
      (error) => resolve({ error: error.code, isKept: request.reusedSocket }),
    );
    for (const chunk of chunks) request.write(chunk);
    request.end();
  });
}

/** Whether the machine closed the connection; the client didn't leave. */
export function isClosedByMachine({ status, error }) {
  return status === undefined && error !== "ABORT_ERR";
}

/** Splits `host:port` into the options of a request. */
export function parseAddress(address) {
  const [host, port] = address.split(":");
  return { host, port: Number(port) };
}

/** Waits until all machines are ready; returns false after `limitMs`. */
export async function waitUntilReady(daemons, limitMs) {
  const endsAt = Date.now() + limitMs;
  while (Date.now() < endsAt) {
    const answers = await Promise.all(daemons.map(({ machine }) =>
      send({
        ...parseAddress(machine.ListenAddresses.Ready),
        path: "/readiness",
      })
    ));
    if (answers.every(({ status }) => status === 200)) return true;
    await sleep(100);
  }
  return false;
}

/** Asks one machine's directory where clients of a zone should connect. */
export async function resolveAddresses({ machine }, zone, name) {
  const answer = await send({
    ...parseAddress(machine.ListenAddresses.Directory),
    path: `/resolve?Name=${name}&Region=costa-norte&Zone=${zone}`,
  });
  return answer.status === 200 ? JSON.parse(answer.body).Addresses : [];
}

/** Creates an id for one client attempt. */
export function createAttemptId() {
  return randomBytes(8).toString("hex");
}

export function sleep(ms) {
  return new Promise((resolve) => setTimeout(resolve, ms));
}
