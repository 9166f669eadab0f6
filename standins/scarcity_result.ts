/** What callers got in a simulation of scarcity. */
import type { ScarcityKindSpec } from "./scarcity_loads.ts";

/** A request of a caller. */
export interface SimulatedRequest {
  readonly kind: ScarcityKindSpec;
  readonly team: number;
  readonly domain: number;
  readonly sentAt: number;
  readonly workMs: number;
  /** Number of times that it was refused before. */
  readonly repeats: number;
}

/** Totals of a kind or a team. */
interface Totals {
  requests: number;
  served: number;
  inTime: number;
  refused: number;
  value: number;
  offered: number;
  waitMs: number;
}

/** Share of its target for which holding a refused request costs nothing. */
const FREE_HOLD_RATIO = 1 / 8;
/** Share of its time after which holding it has cost its whole value. */
const FULL_HOLD_RATIO = 3 / 4;
/** Cost of another refusal of a repeated request, relative to its value. */
const REPEATED_REFUSAL_COST = 0.3;
/** Share of free slots from which a refusal counts as unnecessary. */
const FREE_SLOTS_RATIO = 0.1;

/** Collects outcomes by kind and team. */
export class ScarcityResult {
  readonly kinds = new Map<string, Totals>();
  readonly teams = new Map<number, Totals>();
  /** Refusals while at least a tenth of the slots were free. */
  refusedWhileFree = 0;
  /** Requests in flight, relative to the slots, at regular times. */
  readonly loads: number[] = [];
  /** Shares of slots that are in use, at the same times. */
  readonly uses: number[] = [];
  /** Requests that waited beyond their deadline. */
  overdue = 0;

  /** Records a request when its caller first sends it. */
  recordRequest({ kind, team, repeats }: SimulatedRequest): void {
    if (repeats > 0) return;
    for (const totals of this.#list(kind.name, team)) {
      totals.requests += 1;
      totals.offered += kind.value;
    }
  }

  /** Records a response. */
  recordResponse(request: SimulatedRequest, waitMs: number, now: number): void {
    const { kind, team, sentAt } = request;
    const latencyMs = now - sentAt;
    if (latencyMs > kind.timeoutMs) return this.recordRefusal(request, now, 0);
    const isInTime = latencyMs <= kind.targetMs;
    for (const totals of this.#list(kind.name, team)) {
      totals.served += 1;
      totals.inTime += isInTime ? 1 : 0;
      totals.value += isInTime ? kind.value : kind.lateValue;
      totals.waitMs += waitMs;
    }
  }

  /** Records a refusal, or the loss of a request. */
  recordRefusal(
    { kind, team, sentAt, repeats }: SimulatedRequest,
    now: number,
    freeRatio: number,
  ): void {
    const heldMs = now - sentAt;
    const freeMs = kind.targetMs * FREE_HOLD_RATIO;
    const fullMs = kind.timeoutMs * FULL_HOLD_RATIO;
    const held = (heldMs - freeMs) / (fullMs - freeMs);
    const cost = Math.min(1, Math.max(0, held)) +
      (repeats > 0 ? REPEATED_REFUSAL_COST : 0);
    if (freeRatio >= FREE_SLOTS_RATIO) this.refusedWhileFree += 1;
    for (const totals of this.#list(kind.name, team)) {
      totals.refused += 1;
      totals.value -= cost * kind.value;
    }
  }

  /** Value relative to that of responses in time to all requests. */
  get valueRatio(): number {
    const all = [...this.kinds.values()];
    const value = all.reduce((sum, totals) => sum + totals.value, 0);
    return value / all.reduce((sum, { offered }) => sum + offered, 0);
  }

  /** Lowest share served of a kind, relative to that of all requests. */
  get worstKind(): number {
    return computeWorst([...this.kinds.values()]);
  }

  /** Lowest share served of a team, relative to that of all requests. */
  get worstTeam(): number {
    return computeWorst([...this.teams.values()]);
  }

  /** Mean share of slots in use. */
  get use(): number {
    return this.uses.reduce((sum, use) => sum + use, 0) / this.uses.length;
  }

  /** Standard deviation of the load. */
  get oscillation(): number {
    const mean = this.loads.reduce((sum, load) => sum + load, 0) /
      this.loads.length;
    const squares = this.loads.reduce(
      (sum, load) => sum + (load - mean) ** 2,
      0,
    );
    return Math.sqrt(squares / this.loads.length);
  }

  #list(kind: string, team: number): Totals[] {
    return [getTotals(this.kinds, kind), getTotals(this.teams, team)];
  }
}

function getTotals<Key>(totals: Map<Key, Totals>, key: Key): Totals {
  const existing = totals.get(key);
  if (existing !== undefined) return existing;
  const created = {
    requests: 0,
    served: 0,
    inTime: 0,
    refused: 0,
    value: 0,
    offered: 0,
    waitMs: 0,
  };
  totals.set(key, created);
  return created;
}

function computeWorst(totals: readonly Totals[]): number {
  const served = totals.reduce((sum, entry) => sum + entry.served, 0);
  const requests = totals.reduce((sum, entry) => sum + entry.requests, 0);
  const ratios = totals.map((entry) => entry.served / entry.requests);
  return Math.min(...ratios) / (served / requests);
}
