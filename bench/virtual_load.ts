/** Callers of a fleet in virtual time. */
import type { RequestHead } from "../src/model/mod.ts";
import { AdmissionKind } from "../src/services/admission/mod.ts";
import type { CallerExchange } from "../src/services/caller_front/exchange.ts";
import { ServiceName } from "../src/services/catalog.ts";
import { GrantKind } from "../src/services/shares/mod.ts";
import type { Random } from "../src/services/random/mod.ts";
import type { VirtualFleet } from "../tests/virtual_fleet.ts";

/** Head of a request that is not sent yet. */
export type UnsentHead = Omit<RequestHead, "receivedAt">;

/** Outcome of a request, as its caller observed it. */
export enum CallerOutcome {
  Succeeded = "answered",
  ServerError = "server_error",
  Refused = "refused",
  OverRate = "over_rate",
}

/** Result of a request. */
export interface CallerResult {
  readonly outcome: CallerOutcome;
  /** Virtual time in milliseconds, like `endedAt`. */
  readonly sentAt: number;
  readonly endedAt: number;
}

/** Options of {@linkcode startLoad}. */
export interface LoadOptions {
  readonly ratePerSecond: number;
  /** Duration of the load, in milliseconds. */
  readonly durationMs: number;
  readonly head: UnsentHead;
  readonly random: Random;
  /** Picks the VM of the next request. */
  readonly pickVm: () => string;
}

/**
 * Sends requests at random times, regardless of responses.
 *
 * Returns at once; results are appended as the caller advances virtual time.
 */
export function startLoad(
  fleet: VirtualFleet,
  options: LoadOptions,
): CallerResult[] {
  const results: CallerResult[] = [];
  const endAt = fleet.time.now + options.durationMs;
  const sendNext = (): void => {
    if (fleet.time.now >= endAt) return;
    void sendOne(fleet, options.pickVm(), options.head)
      .then((result) => void results.push(result));
    const intervalMs = -Math.log(1 - options.random()) * 1_000 /
      options.ratePerSecond;
    fleet.time.startTimer(intervalMs, sendNext);
  };
  sendNext();
  return results;
}

/** Runs a request through admission, shares and forwarding of one VM. */
export async function sendOne(
  fleet: VirtualFleet,
  vm: string,
  head: UnsentHead,
): Promise<CallerResult> {
  const sentAt = fleet.time.now;
  const receivedAt = fleet.find(vm, ServiceName.Clock).now();
  const outcome = await runRequest(fleet, vm, { ...head, receivedAt });
  return { outcome, sentAt, endedAt: fleet.time.now };
}

async function runRequest(
  fleet: VirtualFleet,
  vm: string,
  head: RequestHead,
): Promise<CallerOutcome> {
  const decision = fleet.find(vm, ServiceName.Admission).admit(head);
  if (decision.kind === AdmissionKind.Refused) return CallerOutcome.Refused;
  const { plan } = decision;
  if (plan.team !== undefined) {
    const shares = fleet.find(vm, ServiceName.Shares);
    const grant = await shares.acquire(plan.team, plan.preset);
    if (grant.kind !== GrantKind.Granted) return CallerOutcome.OverRate;
  }
  let status = 0;
  const exchange = createExchange(head, (sent) => status = sent);
  const forwarding = fleet.find(vm, ServiceName.Forwarding);
  const wait = forwarding.startWait(plan, exchange);
  await forwarding.serve(plan, exchange, wait);
  wait.close();
  if (status === 0) return CallerOutcome.Refused;
  return status < 500 ? CallerOutcome.Succeeded : CallerOutcome.ServerError;
}

function createExchange(
  head: RequestHead,
  recordStatus: (status: number) => void,
): CallerExchange {
  return {
    peer: "caller",
    connection: "caller",
    head,
    body: {
      length: 0,
      read: () => {
        throw new Error("the request has no body");
      },
    },
    signal: new AbortController().signal,
    isResponseStarted: false,
    tryPassOn: () => true,
    sendBuffered: (response) => Promise.resolve(recordStatus(response.status)),
    sendStreamed: (response) => Promise.resolve(recordStatus(response.status)),
    sendRefusal: () => Promise.resolve(),
    sendValue: () => Promise.resolve(),
  };
}
