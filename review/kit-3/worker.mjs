/** Stand-in for a worker, and its entry in the store. */
import http from "node:http";

const HOST = "127.0.0.1";
const HEARTBEAT_MS = 1_500;

export class Worker {
  /** Requests that were run: id, time, tenant, method, path, body. */
  runs = [];
  /** Arrivals, also of rejected requests: id, time and whether it ran. */
  arrivals = [];
  /** Handles a request instead of the usual answer, if set. */
  behave;
  state = "ready";
  #sequence = 0;
  #born = Date.now();
  #server;
  #timer;

  constructor({ id, service, zone, workMs = 20, slots = 4, onRun }) {
    Object.assign(this, { id, service, zone, workMs, slots, onRun });
    this.running = 0;
    this.#server = http.createServer((request, response) => {
      this.#serve(request, response).catch(() => response.destroy());
    });
    this.#server.keepAliveTimeout = 10_000;
  }

  get port() {
    return this.#server.address().port;
  }

  open() {
    return new Promise((resolve) => this.#server.listen(0, HOST, resolve));
  }

  /** Writes the entry to the store and renews it at each heartbeat. */
  register(store) {
    this.store = store;
    const write = () => {
      if (!store.isAway) this.writeEntry();
    };
    write();
    this.#timer = setInterval(write, HEARTBEAT_MS);
  }

  writeEntry() {
    this.#sequence += 1;
    this.store.put("keyed.servers", this.id, {
      Service: this.service,
      Address: `${HOST}:${this.port}`,
      Zone: this.zone,
      Version: "v1",
      Slots: this.slots,
      State: this.state,
      ColdRemaining: "0ms",
      Sequence: this.#sequence,
      born: this.#born,
    });
  }

  close() {
    clearInterval(this.#timer);
    this.#server.close();
    this.#server.closeAllConnections();
  }

  async #serve(request, response) {
    const at = performance.now();
    const id = request.headers["rhubarbwall-attempt-id"] ?? "";
    if (request.url === "/health") {
      response.writeHead(200, { "Rhubarbwall-Instance-Id": this.id }).end();
      return;
    }
    const expected = request.headers["rhubarbwall-expected-instance"];
    if (expected !== undefined && expected !== this.id) {
      response.writeHead(421, { "Rhubarbwall-Instance-Id": this.id }).end();
      return;
    }
    const arrival = { id, at, ran: false, closedAt: undefined };
    this.arrivals.push(arrival);
    const chunks = [];
    for await (const chunk of request) chunks.push(chunk);
    const body = Buffer.concat(chunks);
    const common = {
      "Rhubarbwall-Attempt-Id": id,
      "Rhubarbwall-Server-Load": `${this.running},0,${this.slots}`,
    };
    if (this.behave?.(request, response, { arrival, common, body })) return;
    if (this.running >= this.slots) {
      response.writeHead(503, { ...common, "Rhubarbwall-Not-Executed": "1" })
        .end();
      return;
    }
    this.running += 1;
    arrival.ran = true;
    const run = {
      id,
      at,
      worker: this.id,
      tenant: request.headers["rhubarbwall-tenant"] ?? "",
      method: request.method,
      path: request.url,
      bodyBytes: body.length,
    };
    this.runs.push(run);
    this.onRun?.(run);
    const isClosed = await new Promise((resolve) => {
      const timer = setTimeout(() => resolve(false), this.workMs);
      response.once("close", () => {
        clearTimeout(timer);
        arrival.closedAt = performance.now();
        resolve(true);
      });
    });
    this.running -= 1;
    arrival.endedAt = performance.now();
    if (isClosed) return;
    const text = Buffer.from(`${this.id} ran ${id}\n`);
    response.writeHead(200, {
      ...common,
      "Rhubarbwall-Response-Signature": `sig-${this.id}-${id}`,
      "content-length": String(text.length),
    }).end(text);
  }
}
