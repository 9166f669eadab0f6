/** A logger that writes nothing. */
import type { Logger } from "../src/services/logging/mod.ts";

/** Drops every line. */
export const SILENT_LOGGER: Logger = {
  debug: () => {},
  info: () => {},
  warn: () => {},
  error: () => {},
};
