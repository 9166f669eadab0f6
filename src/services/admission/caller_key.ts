/** Parses a caller's key and removes it from the forwarded header fields. */
import { createHash } from "node:crypto";
import type { HeaderField, KeyDigest } from "../../model/mod.ts";

/** Whether a request contains a key. */
export enum KeyPresence {
  None = "none",
  One = "one",
  /** More than one key, or a key in a place that would be forwarded. */
  Misplaced = "misplaced",
}

/** Key of a request, and the header fields that may be forwarded. */
export interface CallerKey {
  readonly presence: KeyPresence;
  /** Digest of the key; empty if there is no usable key. */
  readonly digest: KeyDigest;
  /**
   * Header fields without the key and without fields reserved for this proxy.
   */
  readonly forwarded: readonly HeaderField[];
}

const KEY_FIELD = "authorization";
const KEY_SCHEME = /^bearer +(\S+)$/i;
const RESERVED_FIELD_PREFIX = "rhubarbwall-";

/** Computes the digest that identifies a key in the configuration. */
export function computeKeyDigest(key: string): KeyDigest {
  return createHash("sha256").update(key).digest("hex");
}

/** Parses the key of a request and checks that it occurs nowhere else. */
export function parseKey(
  fields: readonly HeaderField[],
  target: string,
): CallerKey {
  const forwarded: HeaderField[] = [];
  const keys: string[] = [];
  for (const field of fields) {
    const name = field.name.toLowerCase();
    if (name === KEY_FIELD) keys.push(field.value);
    else if (!name.startsWith(RESERVED_FIELD_PREFIX)) forwarded.push(field);
  }
  const [first] = keys;
  if (first === undefined) {
    return { presence: KeyPresence.None, digest: "", forwarded };
  }
  const key = KEY_SCHEME.exec(first.trim())?.[1];
  if (keys.length > 1 || key === undefined) {
    return { presence: KeyPresence.Misplaced, digest: "", forwarded };
  }
  if (isKeyRepeated(key, forwarded, target)) {
    return { presence: KeyPresence.Misplaced, digest: "", forwarded };
  }
  return {
    presence: KeyPresence.One,
    digest: computeKeyDigest(key),
    forwarded,
  };
}

function isKeyRepeated(
  key: string,
  fields: readonly HeaderField[],
  target: string,
): boolean {
  if (target.includes(key)) return true;
  return fields.some((field) => field.value.includes(key));
}
