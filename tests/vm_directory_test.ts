import assert from "node:assert/strict";
import { test } from "node:test";
import { createStoreClient } from "../platform/store_client.ts";
import { createVmDirectory } from "../platform/vm_directory.ts";
import { FeedReadKind } from "../src/services/feed/source.ts";
import { startStoreStandin } from "../standins/store_standin.ts";

const ENTRY = {
  name: "vm-1",
  incarnation: 1,
  failureDomain: "a",
  callerAddress: "127.0.0.1:1",
  peerAddress: "127.0.0.1:2",
  capacity: 1,
};

// Guards against one invalid entry that keeps VMs from relaying any entry.
test("a VM entry that can't be encoded in a message is ignored", async () => {
  const standin = await startStoreStandin();
  const store = createStoreClient({ host: "127.0.0.1", port: standin.port });
  const topic = "keyed.rhubarbwall-vms";
  const longName = "v".repeat(300);
  standin.put(topic, "vm-1", ENTRY);
  standin.put(topic, "vm-2", { ...ENTRY, name: longName });
  standin.put(topic, "vm-3", { ...ENTRY, name: "vm-3", incarnation: 1.5 });
  standin.put(topic, "vm-4", { ...ENTRY, name: "vm-4", capacity: -1 });
  try {
    const read = await createVmDirectory(store).readNewest();
    assert.equal(read.kind, FeedReadKind.Updates);
    if (read.kind !== FeedReadKind.Updates) return;
    const names = read.updates.map((update) =>
      "vm" in update ? update.vm.name : ""
    );
    assert.deepEqual(names, ["vm-1"]);
  } finally {
    store.close();
    await standin.close();
  }
});
