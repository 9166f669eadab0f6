/** Client of the platform's VM list, over HTTP and JSON. */
import * as z from "zod";
import { VM_LIST_TIMEOUT_MS } from "../../constants.ts";
import { runWithTimeout, TIMED_OUT } from "../../services/clock/mod.ts";
import type { Clock } from "../../services/clock/mod.ts";
import type {
  ListedVm,
  VmListClient,
} from "../../services/membership/transport.ts";
import { fetchJson } from "./json_client.ts";

const HTTP_OK = 200;

const listSchema = z.array(z.object({
  name: z.string().min(1),
  peerAddress: z.string().min(1),
  leaving: z.boolean(),
}));

/** Creates a client of the VM list at `url`. */
export function createHttpVmListClient(url: URL, clock: Clock): VmListClient {
  return { fetchVms: () => fetchVms(url, clock) };
}

async function fetchVms(
  url: URL,
  clock: Clock,
): Promise<readonly ListedVm[] | undefined> {
  try {
    const response = await runWithTimeout(
      clock,
      VM_LIST_TIMEOUT_MS,
      (signal) => fetchJson(url, { method: "GET", signal }),
    );
    if (response === TIMED_OUT || response.status !== HTTP_OK) return undefined;
    const parsed = listSchema.safeParse(response.value);
    return parsed.success ? parsed.data : undefined;
  } catch {
    return undefined;
  }
}
