import assert from "node:assert/strict";
import { test } from "node:test";
import { SILENT_LOGGER } from "../../../standins/silent_logger.ts";
import { VirtualClock, VirtualTime } from "../../../standins/virtual_clock.ts";
import {
  Idempotency,
  KeyPhase,
  RefusalKind,
  RouteAccess,
  RunState,
} from "../../model/mod.ts";
import type { ConfigurationDocument } from "../../model/mod.ts";
import { Configuration } from "../configuration/mod.ts";
import { FreshnessKind } from "../freshness/mod.ts";
import type { FreshnessSource } from "../freshness/mod.ts";
import { Overload } from "../overload/mod.ts";
import { Shutdown } from "../planned_stop/shutdown.ts";
import { createSeededRandom } from "../random/mod.ts";
import { Admission, AdmissionKind, computeKeyDigest } from "./mod.ts";

const CELL = "cell";
const KEY = "2b9wu3fexd9dnn2ctnfz";
const FRESH: FreshnessSource = {
  isFresh: () => true,
  getReport: () => ({ kind: FreshnessKind.ConfirmedByLog, ageMs: 0 }),
  recordLogRead: () => {},
  recordLogFailure: () => {},
};

/** Creates a document in which the key belongs to `holder`. */
function createDocument(
  version: number,
  holder: string,
): ConfigurationDocument {
  return {
    version,
    routes: [{
      id: "swaps",
      method: "*",
      path: "/swaps",
      service: "rota",
      access: RouteAccess.TeamBound,
      idempotency: Idempotency.NonIdempotent,
      deadlineMs: 10_000,
      floor: 0.5,
      revision: version,
    }],
    services: [{ id: "rota", revision: version }],
    teams: ["huka", "nalo"].map((id) => ({
      id,
      cell: CELL,
      ratePerSecond: Infinity,
      burst: Infinity,
      revision: version,
    })),
    keys: [{
      digest: computeKeyDigest(KEY),
      team: holder,
      phase: KeyPhase.Issued,
      revision: version,
    }],
    limits: {
      headerBytes: 1,
      bodyBytes: 1,
      headerTimeoutMs: 1,
      idleTimeoutMs: 1,
    },
  };
}

// Guards against a request that runs for the team that had the key: its body
// was still arriving when the key went over to another team.
test("a request is refused as not run if its key changed hands before it is sent", () => {
  const clock = new VirtualClock(new VirtualTime());
  const random = createSeededRandom(1);
  const configuration = new Configuration(CELL, clock);
  const admission = new Admission({
    clock,
    configuration,
    freshness: FRESH,
    shutdown: new Shutdown({
      clock,
      graceMs: 10_000,
      logger: SILENT_LOGGER,
      overload: new Overload(random),
    }),
    random,
  });
  configuration.loadDocument(createDocument(1, "huka"));
  const decision = admission.admit({
    method: "POST",
    target: "/swaps",
    headers: [{ name: "authorization", value: `Bearer ${KEY}` }],
    receivedAt: clock.now(),
  });
  assert.ok(decision.kind === AdmissionKind.Admitted);
  configuration.loadDocument(createDocument(2, "huka"));
  assert.equal(admission.checkPlan(decision.plan), undefined);
  configuration.loadDocument(createDocument(3, "nalo"));
  const refusal = admission.checkPlan(decision.plan);
  assert.equal(refusal?.kind, RefusalKind.KeyReassigned);
  assert.equal(refusal?.run, RunState.NotRun);
  assert.ok(refusal.retryAfterMs > 0);
});
