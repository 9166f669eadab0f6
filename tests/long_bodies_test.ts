import assert from "node:assert/strict";
import { createHash } from "node:crypto";
import http from "node:http";
import { test } from "node:test";
import { startDaemon, startScriptedServer, TEAM_KEY } from "./harness.ts";

/** Size of a body that is streamed, since it is too long to be buffered. */
const BODY_BYTES = 200_000;
const PIECE_BYTES = 16_384;
/**
 * Time for which servers hold their responses, in milliseconds: well beyond the
 * delay of a hedge, which is 100 ms on a route that is known to be fast.
 */
const HOLD_MS = 400;
/** Time after the stop for which a daemon keeps a timer, in milliseconds. */
const GRACE_MS = "1000";
/** Requests after which the daemon knows the time that the route takes. */
const WARM_UP_REQUESTS = 8;

/** How callers send their bodies. */
const UPLOADS: Record<string, { hasLength: boolean; pauseMs: number }> = {
  "with a length": { hasLength: true, pauseMs: 0 },
  "in chunks": { hasLength: false, pauseMs: 0 },
  "slowly, with a length": { hasLength: true, pauseMs: 20 },
  "slowly, in chunks": { hasLength: false, pauseMs: 20 },
};

/** What servers received: one digest for each request. */
type Received = string[];

function createBody(): Buffer {
  return Buffer.from(
    Array.from({ length: BODY_BYTES }, (_byte, index) => index * 31 % 251),
  );
}

function computeDigest(body: Uint8Array): string {
  return createHash("sha256").update(body).digest("hex");
}

const EMPTY_DIGEST = computeDigest(Buffer.alloc(0));

/** Reads a request's body; resolves to its digest or why there is none. */
async function readDigest(request: http.IncomingMessage): Promise<string> {
  const chunks: Buffer[] = [];
  try {
    for await (const chunk of request) chunks.push(chunk as Buffer);
  } catch {
    return "incomplete";
  }
  return computeDigest(Buffer.concat(chunks));
}

function sleepMs(ms: number): Promise<void> {
  return new Promise((resolve) => void setTimeout(resolve, ms));
}

/** Sends `body` to `/turns`; resolves to the status of the response. */
async function sendBody(
  port: number,
  body: Buffer,
  upload: { readonly hasLength: boolean; readonly pauseMs: number },
): Promise<number> {
  const request = http.request({
    port,
    host: "127.0.0.1",
    method: "POST",
    path: "/turns",
    agent: false,
    headers: {
      authorization: `Bearer ${TEAM_KEY}`,
      ...(upload.hasLength
        ? { "content-length": String(body.length) }
        : { "transfer-encoding": "chunked" }),
    },
  });
  const status = new Promise<number>((resolve, reject) => {
    request.once("error", reject);
    request.once("response", (response) => {
      response.resume();
      response.once("end", () => resolve(response.statusCode ?? 0));
    });
  });
  for (let offset = 0; offset < body.length; offset += PIECE_BYTES) {
    request.write(body.subarray(offset, offset + PIECE_BYTES));
    if (upload.pauseMs > 0) await sleepMs(upload.pauseMs);
  }
  request.end();
  return await status;
}

/** Sends a body through a daemon to servers that all run `serve`. */
async function runUpload(
  serve: (received: Received) => http.RequestListener,
  upload: { readonly hasLength: boolean; readonly pauseMs: number },
  unreachablePorts: readonly number[] = [],
): Promise<{ readonly status: number; readonly received: Received }> {
  const received: Received = [];
  const servers = await Promise.all(
    [1, 2].map(() => startScriptedServer(serve(received))),
  );
  const ports = servers.map(({ port }) => port);
  const daemon = await startDaemon({
    servers: [...unreachablePorts, ...ports],
    flags: { "grace-ms": GRACE_MS },
  });
  try {
    for (let index = 0; index < WARM_UP_REQUESTS; index += 1) {
      await sendBody(daemon.port, Buffer.alloc(0), upload);
    }
    const status = await sendBody(daemon.port, createBody(), upload);
    return { status, received };
  } finally {
    await daemon.stop();
    await Promise.all(servers.map((server) => server.close()));
  }
}

/** Serves requests without a body at once, and others by `serve`. */
function createServer(
  serve: (response: http.ServerResponse) => Promise<void>,
): (received: Received) => http.RequestListener {
  return (received) => (request, response) => {
    void readDigest(request).then(async (digest) => {
      if (digest === EMPTY_DIGEST) return void response.end();
      received.push(digest);
      await serve(response);
    });
  };
}

/** Responds after a time in which a hedge would have been sent. */
const createSlowServer = createServer(async (response) => {
  await sleepMs(HOLD_MS);
  response.end();
});

/** Reads the body and closes the connection without a response. */
const createFailingServer = createServer((response) => {
  response.destroy();
  return Promise.resolve();
});

for (const [manner, upload] of Object.entries(UPLOADS)) {
  // Guards against a hedge that sends the part of a body that is left.
  test(`a long body sent ${manner} reaches one server, unchanged`, async () => {
    const { status, received } = await runUpload(createSlowServer, upload);
    assert.equal(status, 200);
    assert.deepEqual(received, [computeDigest(createBody())]);
  });

  // Guards against a retry that sends the part of a body that is left.
  test(`a long body sent ${manner} is not sent again after a failure`, async () => {
    const { status, received } = await runUpload(createFailingServer, upload);
    assert.equal(status, 502);
    assert.deepEqual(received, [computeDigest(createBody())]);
  });
}

// Guards against a claim that is kept by an attempt that sent nothing.
test("a long body is sent to another server after a refused connection", async () => {
  const closed = await startScriptedServer(() => {});
  await closed.close();
  const upload = { hasLength: true, pauseMs: 0 };
  for (let index = 0; index < 3; index += 1) {
    const { status, received } = await runUpload(
      createSlowServer,
      upload,
      [closed.port, closed.port],
    );
    assert.equal(status, 200);
    assert.deepEqual(received, [computeDigest(createBody())]);
  }
});
