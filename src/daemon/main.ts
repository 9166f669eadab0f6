#!/usr/bin/env node
/**
 * `rhubarbwalld`: the daemon, one on each entry VM.
 *
 * All static imports are loaded before the first of them runs. The rest is
 * therefore imported dynamically, once the handler of SIGHUP is installed.
 */
import "./signals.ts";

// No `await`: the bundle is CommonJS, which has no top-level await.
void import("./run.ts").then(({ run }) => run());
