/** Stand-in for the platform's metadata store: keyed topics over HTTP. */
import http from "node:http";

const HOST = "127.0.0.1";
const LENGTH_BYTES = 4;

export class Store {
  /** Number of restores from a copy; in all answers once it is above 0. */
  era = 0;
  /** While the store is away, it resets all connections. */
  isAway = false;
  #topics = new Map();
  #sockets = new Set();
  #server = http.createServer((request, response) => {
    this.#serve(request, response).catch(() => response.destroy());
  });

  get port() {
    return this.#server.address().port;
  }

  open() {
    this.#server.keepAliveTimeout = 60_000;
    this.#server.on("connection", (socket) => {
      if (this.isAway) return socket.resetAndDestroy();
      this.#sockets.add(socket);
      socket.on("error", () => {});
      socket.once("close", () => this.#sockets.delete(socket));
    });
    return new Promise((resolve) => this.#server.listen(0, HOST, resolve));
  }

  close() {
    this.#server.close();
    this.#server.closeAllConnections();
  }

  /** Goes away: calls that wait get no answer. */
  goAway() {
    this.isAway = true;
    for (const socket of this.#sockets) socket.resetAndDestroy();
  }

  /** Returns from a copy taken at the monotonic time `copiedAt`. */
  returnFromCopy(copiedAt) {
    for (const topic of this.#topics.values()) {
      topic.records = topic.records.filter(({ at }) => at <= copiedAt);
    }
    this.era += 1;
    this.isAway = false;
  }

  /** Returns with all that it had. */
  comeBack() {
    this.isAway = false;
  }

  /** Writes a value of a key, or removes it; the write is acknowledged. */
  put(topicName, key, value) {
    const bytes = value === undefined
      ? Buffer.alloc(0)
      : Buffer.from(JSON.stringify(value));
    this.#append(this.#getTopic(topicName), key, bytes);
  }

  #getTopic(name) {
    let topic = this.#topics.get(name);
    if (topic === undefined) {
      topic = { records: [], waiting: new Set() };
      this.#topics.set(name, topic);
    }
    return topic;
  }

  #append(topic, key, value) {
    const keyBytes = Buffer.from(key);
    const bytes = Buffer.concat([
      Buffer.from([keyBytes.length]),
      keyBytes,
      value,
    ]);
    topic.records.push({ key, value, bytes, at: performance.now() });
    for (const wake of topic.waiting) wake();
    topic.waiting.clear();
  }

  async #serve(request, response) {
    const chunks = [];
    for await (const chunk of request) chunks.push(chunk);
    const url = new URL(request.url, `http://${HOST}`);
    const topic = this.#getTopic(url.searchParams.get("Topic") ?? "");
    if (this.era > 0) response.setHeader("Store-Era", String(this.era));
    switch (url.pathname) {
      case "/log-append":
        return this.#serveAppend(topic, Buffer.concat(chunks), response);
      case "/log-read":
        return await this.#serveRead(topic, url.searchParams, response);
      case "/log-newest":
        return this.#serveNewest(topic, response);
      default:
        response.writeHead(404).end();
    }
  }

  #serveAppend(topic, body, response) {
    const first = topic.records.length;
    for (let at = 0; at < body.length;) {
      const end = at + LENGTH_BYTES + body.readUInt32BE(at);
      const record = body.subarray(at + LENGTH_BYTES, end);
      const keyEnd = 1 + record[0];
      const key = record.subarray(1, keyEnd).toString("utf8");
      this.#append(topic, key, Buffer.from(record.subarray(keyEnd)));
      at = end;
    }
    sendJson(response, { Offset: first, End: topic.records.length });
  }

  async #serveRead(topic, query, response) {
    const from = Number(query.get("From"));
    const waitMs = Number(query.get("WaitMs") ?? 0);
    if (from === topic.records.length && waitMs > 0) {
      await new Promise((resolve) => {
        const timer = setTimeout(resolve, waitMs);
        topic.waiting.add(() => {
          clearTimeout(timer);
          resolve();
        });
      });
    }
    if (response.destroyed) return;
    if (from > topic.records.length) {
      response.writeHead(410, { "content-type": "application/json" });
      return response.end(JSON.stringify({ First: 0 }));
    }
    const header = Buffer.alloc(16);
    header.writeBigUInt64BE(BigInt(topic.records.length), 0);
    const parts = [header];
    for (const { bytes } of topic.records.slice(from)) {
      const length = Buffer.alloc(LENGTH_BYTES);
      length.writeUInt32BE(bytes.length, 0);
      parts.push(length, bytes);
    }
    response.writeHead(200).end(Buffer.concat(parts));
  }

  #serveNewest(topic, response) {
    const newest = new Map();
    for (const [offset, { key, value }] of topic.records.entries()) {
      if (value.length === 0) newest.delete(key);
      else newest.set(key, { value, offset });
    }
    const items = [...newest].map(([Key, { value, offset }]) => ({
      Key,
      Value: value.toString("base64"),
      Offset: offset,
    }));
    sendJson(response, { items, HasMore: false, End: topic.records.length });
  }
}

function sendJson(response, value) {
  response.writeHead(200, { "content-type": "application/json" });
  response.end(JSON.stringify(value));
}
