/**
 * Stand-in for the platform's store: keyed topics with `log-newest`, `log-read`
 * and `log-append`. Each call takes 4 ms.
 */
import http from "node:http";

const CALL_MS = 4;
const LENGTH_BYTES = 4;

/** Starts a store on `host`; `port` 0 selects a free port. */
export async function startStore(host, port = 0) {
  const topics = new Map();
  const getTopic = (name) => {
    const topic = topics.get(name) ??
      { records: [], newest: new Map(), waiting: new Set() };
    topics.set(name, topic);
    return topic;
  };
  const append = (name, key, value) => {
    const topic = getTopic(name);
    const offset = topic.records.length;
    const keyBytes = Buffer.from(key);
    topic.records.push(
      Buffer.concat([Buffer.from([keyBytes.length]), keyBytes, value]),
    );
    if (value.length === 0) topic.newest.delete(key);
    else topic.newest.set(key, { value, offset });
    for (const wake of [...topic.waiting]) wake();
    return offset;
  };
  const server = http.createServer((request, response) => {
    const chunks = [];
    request.on("data", (chunk) => chunks.push(chunk));
    request.on("error", () => response.destroy());
    request.on("end", () => {
      setTimeout(
        () => void serve(request, response, Buffer.concat(chunks)),
        CALL_MS,
      );
    });
  });
  async function serve(request, response, body) {
    const url = new URL(request.url, "http://store");
    const name = url.searchParams.get("Topic") ?? "";
    const topic = getTopic(name);
    switch (url.pathname) {
      case "/log-newest": {
        const items = [...topic.newest].map(([key, { value, offset }]) => ({
          Key: key,
          Value: value.toString("base64"),
          Offset: offset,
        }));
        const end = topic.records.length;
        return sendJson(response, { items, HasMore: false, End: end });
      }
      case "/log-read": {
        const from = Number(url.searchParams.get("From"));
        const waitMs = Number(url.searchParams.get("WaitMs") ?? 0);
        if (from >= topic.records.length && waitMs > 0) {
          await waitForRecord(topic, waitMs);
        }
        const head = Buffer.alloc(16);
        head.writeBigUInt64BE(BigInt(topic.records.length), 0);
        const parts = [head];
        for (const record of topic.records.slice(from)) {
          const length = Buffer.alloc(LENGTH_BYTES);
          length.writeUInt32BE(record.length, 0);
          parts.push(length, record);
        }
        response.writeHead(200).end(Buffer.concat(parts));
        return;
      }
      case "/log-append": {
        const first = topic.records.length;
        for (let at = 0; at < body.length;) {
          const length = body.readUInt32BE(at);
          const record = body.subarray(at + LENGTH_BYTES);
          const keyEnd = 1 + record[0];
          append(
            name,
            record.subarray(1, keyEnd).toString("utf8"),
            Buffer.from(record.subarray(keyEnd, length)),
          );
          at += LENGTH_BYTES + length;
        }
        return sendJson(response, {
          Offset: first,
          End: topic.records.length,
        });
      }
      default:
        response.writeHead(404).end();
    }
  }
  await new Promise((resolve, reject) => {
    server.once("error", reject);
    server.listen(port, host, resolve);
  });
  return {
    address: `${host}:${server.address().port}`,
    /** Writes a value like the operator or a worker does. */
    put: (topic, key, value) =>
      append(topic, key, Buffer.from(JSON.stringify(value))),
    close: () => {
      server.close();
      server.closeAllConnections();
    },
  };
}

function waitForRecord(topic, waitMs) {
  return new Promise((resolve) => {
    const timer = setTimeout(stop, waitMs);
    topic.waiting.add(stop);
    function stop() {
      clearTimeout(timer);
      topic.waiting.delete(stop);
      resolve();
    }
  });
}

function sendJson(response, value) {
  response.writeHead(200, { "content-type": "application/json" });
  response.end(JSON.stringify(value));
}
