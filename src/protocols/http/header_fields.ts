/** Converts between Node's raw header arrays and header fields. */
import type { HeaderField } from "../../model/mod.ts";

/** Fields that apply to a single connection and are never forwarded. */
const HOP_BY_HOP = new Set([
  "connection",
  "keep-alive",
  "proxy-authenticate",
  "proxy-authorization",
  "proxy-connection",
  "te",
  "trailer",
  "transfer-encoding",
  "upgrade",
]);

/** Converts Node's flat array of names and values to header fields. */
export function decodeHeaders(raw: readonly string[]): HeaderField[] {
  const fields: HeaderField[] = [];
  for (let index = 0; index + 1 < raw.length; index += 2) {
    fields.push({ name: raw[index] ?? "", value: raw[index + 1] ?? "" });
  }
  return fields;
}

/** Converts header fields to Node's flat array of names and values. */
export function encodeHeaders(fields: readonly HeaderField[]): string[] {
  const raw: string[] = [];
  for (const field of fields) raw.push(field.name, field.value);
  return raw;
}

/** Returns the fields without hop-by-hop ones and those in `Connection`. */
export function removeHopByHop(fields: readonly HeaderField[]): HeaderField[] {
  const named = new Set<string>();
  for (const field of fields) {
    if (field.name.toLowerCase() !== "connection") continue;
    for (const token of field.value.split(",")) {
      named.add(token.trim().toLowerCase());
    }
  }
  return fields.filter((field) => {
    const name = field.name.toLowerCase();
    return !HOP_BY_HOP.has(name) && !named.has(name);
  });
}

/** Returns the fields except those whose lower-case name is in `names`. */
export function removeFields(
  fields: readonly HeaderField[],
  names: ReadonlySet<string>,
): HeaderField[] {
  return fields.filter((field) => !names.has(field.name.toLowerCase()));
}
