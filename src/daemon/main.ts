#!/usr/bin/env node
/**
 * `rhubarbwalld`: the daemon, one on each entry VM.
 *
 * Static imports are all looked up and read before the first of them runs, so
 * the rest is imported once signals are caught.
 */
import "./signals.ts";

// No `await` here: the bundle's format has none at its top level.
void import("./run.ts").then(({ run }) => run());
