/** Readiness service: whether this VM of a fleet can serve callers. */
import { VmPhase } from "../../model/mod.ts";
import type { Configuration } from "../configuration/mod.ts";
import type { FreshnessSource } from "../freshness/mod.ts";

/** Dependencies of {@linkcode Readiness}. */
export interface ReadinessDependencies {
  readonly configuration: Configuration;
  readonly freshness: FreshnessSource;
}

/** Determines whether this VM can serve callers. */
export class Readiness {
  readonly #deps: ReadinessDependencies;
  #isLeaving = false;

  /** Creates the service of a VM that is not leaving. */
  constructor(deps: ReadinessDependencies) {
    this.#deps = deps;
  }

  /** Records that a planned stop of this VM has begun. */
  setLeaving(): void {
    this.#isLeaving = true;
  }

  /** Whether this VM has a configuration and is not leaving. */
  isReady(): boolean {
    return !this.#isLeaving && this.#deps.configuration.offset > 0;
  }

  /** Returns the phase by which callers choose VMs; they avoid a stale one. */
  getPhase(): VmPhase {
    if (this.#isLeaving) return VmPhase.Leaving;
    return this.#deps.freshness.isFresh() ? VmPhase.Serving : VmPhase.Starting;
  }
}
