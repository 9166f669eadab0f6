import assert from "node:assert/strict";
import { test } from "node:test";
import type { TestContext } from "node:test";
import type {
  PeerConnection,
  PeerTransport,
} from "../../services/membership/transport.ts";
import { createWebSocketTransport } from "./ws_transport.ts";

const MESSAGE_BYTES = 100_000;
/** Messages that exceed what a link may hold for a reader. */
const MESSAGES = 200;
const READ_LIMIT_BYTES = 6_000_000;

interface Fixture {
  readonly sender: PeerConnection<Uint8Array>;
  readonly receiver: PeerConnection<Uint8Array>;
  readonly receiving: PeerTransport<Uint8Array>;
  /** Causes for which a transport closed a link. */
  readonly causes: string[];
}

async function createFixture(context: TestContext): Promise<Fixture> {
  const causes: string[] = [];
  const [sending, receiving] = [1, 2].map(() =>
    createWebSocketTransport<Uint8Array>(
      { host: "127.0.0.1", port: 0 },
      { encode: (message) => message, decode: (bytes) => bytes },
      {
        run: (_peer, handler, handleFailure) => {
          void Promise.resolve(handler()).catch((cause: Error) => {
            causes.push(cause.message);
            handleFailure(cause);
          });
        },
      },
    )
  );
  assert.ok(sending && receiving);
  await receiving.open();
  context.after(() => receiving.close());
  const { signal } = new AbortController();
  const accepted = receiving.listAccepted()[Symbol.asyncIterator]();
  const sender = await sending.connect(receiving.address, signal);
  const { value: receiver } = await accepted.next();
  assert.ok(sender && receiver);
  return { sender, receiver, receiving, causes };
}

function createMessage(index: number): Uint8Array {
  return new Uint8Array(MESSAGE_BYTES).fill(index);
}

// Guards against a VM that stores all messages of a peer while it is busy.
test("a link is not read while its messages are not handled", async (context) => {
  const { sender, receiver, receiving } = await createFixture(context);
  for (let index = 0; index < MESSAGES; index += 1) {
    sender.send(createMessage(index));
  }
  await new Promise((resolve) => setTimeout(resolve, 500));
  assert.ok(receiving.traffic.receivedBytes < READ_LIMIT_BYTES);
  let count = 0;
  for await (const message of receiver.listMessages()) {
    assert.equal(message[0], count);
    count += 1;
    if (count === MESSAGES) break;
  }
});

// Guards against a VM that stores all messages to a peer that does not read.
test("a link whose peer does not read is closed", async (context) => {
  const { sender, causes } = await createFixture(context);
  for (let index = 0; index < 4 * MESSAGES; index += 1) {
    sender.send(createMessage(index));
  }
  await new Promise((resolve) => setImmediate(resolve));
  assert.equal(causes[0], "the peer reads too slowly");
});
