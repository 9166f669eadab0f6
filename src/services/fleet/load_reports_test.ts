import assert from "node:assert/strict";
import { test } from "node:test";
import type { PeerConnection } from "../membership/transport.ts";
import type { LoadByServer } from "../selection/load_exchange.ts";
import { Link, LinkKind } from "./link.ts";
import { LoadReports } from "./load_reports.ts";
import { FleetMessageKind, FleetRole, HelloPurpose } from "./message.ts";
import type { FleetMessage, VmEntry } from "./message.ts";

function createVm(name: string, failureDomain = "a"): VmEntry {
  return {
    name,
    incarnation: 1,
    failureDomain,
    callerAddress: `${name}:80`,
    peerAddress: name,
    capacity: 1,
  };
}

function createLink(kind: LinkKind, vm: VmEntry): Link {
  const connection: PeerConnection<FleetMessage> = {
    send: () => {},
    listMessages: () => {
      throw new Error("unexpected read of messages");
    },
    close: () => {},
  };
  const hello = {
    kind: FleetMessageKind.Hello,
    vm,
    role: FleetRole.Follower,
    known: { version: 0, serversDigest: 0 },
    purpose: HelloPurpose.Link,
  } as const;
  return new Link(kind, hello, connection, 0);
}

for (const kind of [LinkKind.Follower, LinkKind.FromHub]) {
  test(`a link that closes after a new one was opened removes no load (${kind})`, () => {
    let others: LoadByServer | undefined;
    const reports = new LoadReports({ isHub: () => true });
    reports.setSource({
      countInFlight: () => new Map(),
      recordOthers: (load) => void (others = load),
    });
    const vm = createVm("other", kind === LinkKind.Follower ? "a" : "b");
    const [oldLink, newLink] = [createLink(kind, vm), createLink(kind, vm)];
    const report = {
      kind: FleetMessageKind.Load,
      load: [{ server: "s1", inFlight: 2 }],
    } as const;
    for (const link of [oldLink, newLink]) {
      reports.applyChanges(report, link);
    }
    reports.removeLink(oldLink);
    reports.recordLocal();
    assert.equal(others?.get("s1"), 2);
    reports.removeLink(newLink);
    reports.recordLocal();
    assert.equal(others?.get("s1"), undefined);
  });
}
