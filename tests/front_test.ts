import assert from "node:assert/strict";
import { after, before, test } from "node:test";
import { RecordKind } from "../src/model/mod.ts";
import { computeKeyDigest } from "../src/services/admission/mod.ts";
import { startServerStandin } from "../standins/server_standin.ts";
import type { ServerStandin } from "../standins/server_standin.ts";
import {
  formatRequest,
  KEY_LINE,
  sendRaw,
  startDaemon,
  TEAM_KEY,
} from "./harness.ts";
import type { TestDaemon } from "./harness.ts";

let server: ServerStandin;
let daemon: TestDaemon;

before(async () => {
  server = await startServerStandin({ name: "rota-1", workMs: 0 });
  daemon = await startDaemon({ servers: [server.port] });
});

after(async () => {
  await daemon.stop();
  await server.close();
});

async function sendText(
  line: string,
  headers: readonly string[] = [],
  body = "",
): Promise<string> {
  return await sendRaw(daemon.port, formatRequest(line, headers, body));
}

test("a request with a key gets the complete response", async () => {
  const response = await sendText("GET /turns/7?week=3", [KEY_LINE]);
  assert.match(response, /^HTTP\/1.1 200 /);
  assert.match(response, /"path":"\/turns\/7\?week=3"/);
});

test("a long body is forwarded completely", async () => {
  const body = "x".repeat(200_000);
  const response = await sendText(
    "POST /swaps",
    [KEY_LINE, `content-length: ${body.length}`],
    body,
  );
  assert.match(response, /"bytes":200000/);
});

test("a chunked body is forwarded without its trailers", async () => {
  const response = await sendText(
    "POST /swaps",
    [KEY_LINE, "transfer-encoding: chunked", "trailer: x-late"],
    `5\r\nhello\r\n0\r\nx-late: ${TEAM_KEY}\r\n\r\n`,
  );
  assert.match(response, /"bytes":5/);
  const received = server.recordedRequests.at(-1);
  assert.equal(received?.body, "hello");
  assert.equal(JSON.stringify(received).includes("x-late"), false);
});

test("keys and hop-by-hop fields are not forwarded to a server", async () => {
  await sendText("GET /turns", [
    KEY_LINE,
    "connection: x-private",
    "x-private: 1",
    "te: trailers",
    "rhubarbwall-attempt: forged",
    "x-kept: 2",
  ]);
  const headers = server.recordedRequests.at(-1)?.headers ?? {};
  assert.equal(JSON.stringify(headers).includes(TEAM_KEY), false);
  assert.equal(headers["x-private"], undefined);
  assert.equal(headers["te"], undefined);
  assert.notEqual(headers["rhubarbwall-attempt"], "forged");
  assert.equal(headers["x-kept"], "2");
});

const REFUSALS: readonly {
  readonly name: string;
  readonly text: string;
  readonly status: number;
  readonly error: string;
}[] = [
  {
    name: "a missing key",
    text: formatRequest("GET /turns"),
    status: 401,
    error: "key_missing",
  },
  {
    name: "an unknown key",
    text: formatRequest("GET /turns", ["authorization: Bearer wrong"]),
    status: 401,
    error: "key_unknown",
  },
  {
    name: "an unknown route",
    text: formatRequest("GET /nowhere", [KEY_LINE]),
    status: 404,
    error: "route_unknown",
  },
  {
    name: "two keys",
    text: formatRequest("GET /turns", [KEY_LINE, KEY_LINE]),
    status: 400,
    error: "bad_request",
  },
  {
    name: "a key in the query",
    text: formatRequest(`GET /turns?key=${TEAM_KEY}`, [KEY_LINE]),
    status: 400,
    error: "bad_request",
  },
  {
    name: "a key in another field",
    text: formatRequest("GET /turns", [KEY_LINE, `cookie: k=${TEAM_KEY}`]),
    status: 400,
    error: "bad_request",
  },
  {
    name: "a path with dot segments",
    text: formatRequest("GET /open/../turns", [KEY_LINE]),
    status: 400,
    error: "bad_request",
  },
  {
    name: "a path with an encoded slash",
    text: formatRequest("GET /turns%2f1", [KEY_LINE]),
    status: 400,
    error: "bad_request",
  },
  {
    name: "an oversized header",
    text: formatRequest("GET /turns", [`x-long: ${"x".repeat(20_000)}`]),
    status: 431,
    error: "header_too_large",
  },
  {
    name: "a bad request line",
    text: "WHAT IS THIS\r\n\r\n",
    status: 400,
    error: "bad_request",
  },
  {
    name: "a request with conflicting lengths",
    text: formatRequest(
      "POST /swaps",
      [KEY_LINE, "content-length: 3", "transfer-encoding: chunked"],
      "0\r\n\r\n",
    ),
    status: 400,
    error: "bad_request",
  },
  {
    name: "a request with two content lengths",
    text: formatRequest(
      "POST /swaps",
      [KEY_LINE, "content-length: 3", "content-length: 4"],
      "abcd",
    ),
    status: 400,
    error: "bad_request",
  },
  {
    name: "an obfuscated transfer encoding",
    text: formatRequest(
      "POST /swaps",
      [KEY_LINE, "transfer-encoding: xchunked"],
      "0\r\n\r\n",
    ),
    status: 400,
    error: "bad_request",
  },
];

for (const { name, text, status, error } of REFUSALS) {
  test(`${name} is refused as not run and reaches no server`, async () => {
    const runCount = server.runCount;
    const response = await sendRaw(daemon.port, text);
    assert.match(response, new RegExp(`^HTTP/1.1 ${status} `));
    const body = JSON.parse(response.slice(response.indexOf("\r\n\r\n") + 4));
    assert.equal(body.error, error);
    assert.equal(body.run, "not run");
    assert.equal(server.runCount, runCount);
  });
}

test("a caller that expects 100-continue receives 100 Continue", async () => {
  const response = await sendText(
    "POST /swaps",
    [KEY_LINE, "expect: 100-continue", "content-length: 2"],
    "ab",
  );
  assert.match(response, /^HTTP\/1.1 100 Continue\r\n\r\nHTTP\/1.1 200 /);
});

test("a refused caller that expects 100-continue does not receive it", async () => {
  const response = await sendText("POST /swaps", [
    "expect: 100-continue",
    "content-length: 2",
  ]);
  assert.match(response, /^HTTP\/1.1 401 /);
});

test("the response to a HEAD request has no body", async () => {
  const response = await sendText("HEAD /turns", [KEY_LINE]);
  assert.match(response, /^HTTP\/1.1 200 /);
  assert.match(response, /\r\n\r\n$/);
});

test("responses on one connection are in the order of the requests", async () => {
  const first = `GET /turns/1 HTTP/1.1\r\nhost: t\r\n${KEY_LINE}\r\n\r\n`;
  const response = await sendRaw(
    daemon.port,
    first + formatRequest("GET /turns/2", [KEY_LINE]),
  );
  assert.ok(response.indexOf("/turns/1") < response.indexOf("/turns/2"));
  assert.ok(response.indexOf("/turns/1") > 0);
});

test("a malformed log entry does not stop later entries or requests", async () => {
  daemon.log.append("{ not a record");
  await daemon.publish({ kind: RecordKind.ServiceSet, service: { id: "new" } });
  assert.match(await sendText("GET /turns", [KEY_LINE]), /^HTTP\/1.1 200 /);
});

test("a withdrawn key is refused on a connection that is still open", async () => {
  const digest = computeKeyDigest("second-key");
  await daemon.publish({ kind: RecordKind.KeyIssue, digest, team: "team-1" });
  const line = "authorization: Bearer second-key";
  assert.match(await sendText("GET /turns", [line]), /^HTTP\/1.1 200 /);
  await daemon.publish(
    { kind: RecordKind.KeyWithdraw, digest },
    daemon.log.head,
  );
  assert.match(await sendText("GET /turns", [line]), /"key_withdrawn"/);
});
