/** Owners of a cold server: the VMs that may send requests to it. */
import type { Server, VmName } from "../../model/mod.ts";
import { computeHash } from "../hashing/mod.ts";

/**
 * Minimum number of owners. With two VMs that wrongly consider themselves
 * owners, and permits used within 0.1 s, a server gets at most
 * `(1.1 * rate / owners + 1) * (owners + 2)` requests in a second. These
 * constants keep that below `1.5 * rate + 8`, which servers tolerate.
 */
const OWNERS_MIN = 4;
/** Maximum number of owners; each adds one request to a burst. */
const OWNERS_MAX = 16;
/** Rate for which one owner is added, in requests per second. */
const RATE_PER_OWNER = 3;
/**
 * Minimum number of parts of the rate. A VM that knows of no other one may be
 * mistaken, so it doesn't use the whole rate.
 */
const PARTS_MIN = 2;

/** A VM in the directory. */
export interface RosterVm {
  readonly name: VmName;
  readonly failureDomain: string;
}

/** The VMs in the directory, including dead ones. */
export interface Roster {
  /** Changes whenever the list changes. */
  readonly version: number;
  readonly listVms: () => readonly RosterVm[];
}

/** Part of the requests to a cold server that one owner may send. */
export interface OwnerShare {
  /** Position among the owners, from 0. */
  readonly rank: number;
  /** Number of owners. */
  readonly owners: number;
  readonly perSecond: number;
}

/** Counts the owners of a server that takes `perSecond` requests. */
export function countOwners(perSecond: number): number {
  const needed = Math.ceil(perSecond / RATE_PER_OWNER);
  return Math.min(OWNERS_MAX, Math.max(OWNERS_MIN, needed));
}

/**
 * Finds the share of the VM `name`; undefined if it is not an owner.
 *
 * The owners are the VMs of the server's failure domain with the highest hashes
 * for this server, or those of all domains if that one has no VMs.
 */
export function findShare(
  name: VmName,
  server: Server,
  perSecond: number,
  vms: readonly RosterVm[],
): OwnerShare | undefined {
  const local = vms.filter((vm) => vm.failureDomain === server.failureDomain);
  const candidates = local.length > 0 ? local : vms;
  if (!candidates.some((vm) => vm.name === name)) return undefined;
  const own = computeScore(server, name);
  const rank =
    candidates.filter((vm) =>
      isBefore(computeScore(server, vm.name), vm.name, own, name)
    ).length;
  const owners = Math.min(countOwners(perSecond), candidates.length);
  if (rank >= owners) return undefined;
  return { rank, owners, perSecond: perSecond / Math.max(PARTS_MIN, owners) };
}

function computeScore(server: Server, vm: VmName): number {
  return computeHash(`warm-up ${server.id} ${vm}`);
}

function isBefore(
  score: number,
  name: VmName,
  otherScore: number,
  otherName: VmName,
): boolean {
  return score === otherScore ? name < otherName : score > otherScore;
}
